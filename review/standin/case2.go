package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Parameters of shortLengths.
const (
	spoiltEvery = 10 // one answer of so many is spoilt
	lengthShort = 3  // bytes by which its Content-Length is too small
	shortRounds = 20 // requests of each class at each edge node
)

// shortLengths has app servers some of whose answers are spoilt: their Content-Length is smaller than the body. It
// returns how many requests were served with something other than the answer made for them.
func shortLengths(d *deployment, trouble bool) (broken int, err error) {
	var answers atomic.Int64
	serve := func(c net.Conn, r *received) bool {
		body := answerFor(r.id)
		if trouble && answers.Add(1)%spoiltEvery == 0 {
			d.log.add("app server %s answers %s with Content-Length %d and %d bytes", r.server, r.id,
				len(body)-lengthShort, len(body))
			return writeAnswer(c, len(body)-lengthShort, body)
		}
		return writeAnswer(c, len(body), body)
	}
	if err := d.start(serve, nil); err != nil {
		return 0, err
	}
	for i := range shortRounds {
		for _, n := range d.nodes {
			c := &client{addr: n.listen, log: d.log}
			for _, class := range []string{"price-check", "quote-issue"} {
				r := clientRequest{class: class, id: fmt.Sprintf("%s-%s-%d", n.name, class, i), expiresIn: 4}
				if class == "quote-issue" {
					r.body = "part drawing"
				}
				a, _ := c.do(r, 0, 0, 5*time.Second)
				switch {
				case a.err != nil:
					broken++
					d.log.say("%s was never answered: %v", r.id, a.err)
				case a.status == 200 && a.body != answerFor(r.id):
					broken++
					d.log.say("%s was served %q with Content-Length %d, the answer made for it is %q", r.id, a.body,
						a.length, answerFor(r.id))
				}
			}
			c.close()
		}
	}
	return broken, nil
}
