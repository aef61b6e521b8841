package balancer

// weightCounts counts endpoints by weight. The zero value counts none.
type weightCounts struct {
	total    int
	largest  float64 // largest weight counted; 0: none
	byWeight map[float64]int
}

// add adds change to the number of endpoints with the weight; a negative change removes endpoints.
func (c *weightCounts) add(weight float64, change int) {
	if c.byWeight == nil {
		c.byWeight = map[float64]int{}
	}
	c.total += change
	count := c.byWeight[weight] + change
	if count > 0 {
		c.byWeight[weight] = count
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

// differ reports whether the counted endpoints have different weights.
func (c *weightCounts) differ() bool { return len(c.byWeight) > 1 }

// weightOr1 returns a listed weight, or 1 if none is given.
func weightOr1(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}
