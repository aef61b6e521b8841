package main

import (
	"fmt"
	"time"
)

// usualRequests is the number of requests of each class that a usual client sends.
const usualRequests = 5

// usualClients has a usual client at each edge node. It returns an error if a request does not get the answer made
// for it: nothing disturbs these requests.
func usualClients(d *deployment, when string) error {
	for _, n := range d.nodes {
		c := &client{addr: n.listen, log: d.log}
		defer c.close()
		for i := range usualRequests {
			for _, class := range []string{"price-check", "quote-issue"} {
				r := clientRequest{class: class, id: fmt.Sprintf("%s-%s-%s-%d", when, n.name, class, i), expiresIn: 4}
				if class == "quote-issue" {
					r.body = "part drawing"
				}
				a, _ := c.do(r, 0, 0, 5*time.Second)
				if a.status != 200 || a.body != answerFor(r.id) {
					return fmt.Errorf("request %s of a usual client got %v", r.id, a)
				}
			}
		}
	}
	return nil
}
