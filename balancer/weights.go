package balancer

// weightCounts counts servers by their weights.
type weightCounts struct {
	total    int
	largest  float64 // of the weights counted; 0 where there are none
	byWeight map[float64]int
}

// add counts a number of servers of a weight more, or fewer.
func (c *weightCounts) add(weight float64, by int) {
	if c.byWeight == nil {
		c.byWeight = map[float64]int{}
	}
	c.total += by
	left := c.byWeight[weight] + by
	if left > 0 {
		c.byWeight[weight] = left
		c.largest = max(c.largest, weight)
		return
	}
	delete(c.byWeight, weight)
	if weight == c.largest {
		c.findLargest()
	}
}

func (c *weightCounts) findLargest() {
	c.largest = 0
	for weight := range c.byWeight {
		c.largest = max(c.largest, weight)
	}
}

// differ tells whether the servers counted are of more than one weight.
func (c *weightCounts) differ() bool { return len(c.byWeight) > 1 }
