package main

import (
	"fmt"
	"time"
)

// hiddenRequests has bad clients whose requests have both a Content-Length and a Transfer-Encoding. The body that the
// Content-Length spans holds a whole request of its own. It returns how many of the hidden requests were passed on to
// app servers.
func hiddenRequests(d *deployment, trouble bool) (broken int, err error) {
	if err := d.start(answerWell, nil); err != nil {
		return 0, err
	}
	if err := usualClients(d, "before"); err != nil {
		return 0, err
	}
	var hidden []string
	if trouble {
		for i, n := range d.nodes {
			for _, line := range []string{
				"POST /quote-issue?customer=00000000b4d65521 HTTP/1.1", // for comparison
				"OPTIONS * HTTP/1.1",
			} {
				id := fmt.Sprintf("hidden%d-%c", i, line[0])
				hidden = append(hidden, id)
				sendHidden(d, n, line, id)
			}
		}
	}
	if err := usualClients(d, "after"); err != nil {
		return 0, err
	}
	byID := d.received()
	for _, id := range hidden {
		for _, r := range byID[id] {
			broken++
			d.log.say("app server %s ran %s %s id=%s at %.4f, which no client sent as a request of its own", r.server,
				r.method, r.target, r.id, d.log.seconds(r.at))
		}
	}
	return broken, nil
}

// sendHidden sends a request that hides another one in its body, and reads whatever comes back.
func sendHidden(d *deployment, n *node, line, id string) {
	c := &client{addr: n.listen, log: d.log}
	if err := c.connect(); err != nil {
		d.log.add("bad client: %v", err)
		return
	}
	defer c.close()
	body := "0\r\n\r\n" + clientRequest{class: "quote-issue", id: id, expiresIn: 4, body: "part drawing"}.text()
	text := fmt.Sprintf("%s\r\nHost: app.svc\r\nX-Trace-Id: outer-%s\r\nX-Qos: quote-issue\r\nX-Contract: moyen\r\n"+
		"X-Expires-In: 4.000\r\nX-Metering: units=1,spread=3,first=0\r\nContent-Length: %d\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n%s", line, id, len(body), body)
	d.log.add("bad client of %s sends %q", n.name, text)
	if _, err := c.conn.Write([]byte(text)); err != nil {
		d.log.add("bad client: %v", err)
	}
	for range 2 {
		a := readAnswer(c.conn, c.reader, time.Now().Add(3*time.Second))
		d.log.add("bad client of %s got %v", n.name, a)
		if a.err != nil || a.close {
			return
		}
	}
}
