package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Parameters of slowLongRequests.
const (
	shortDeadline = 0.5                     // seconds; deadline of the classes, and X-Expires-In
	drawingLength = 4800                    // bytes of the drawing in the query of a long request
	slowestPiece  = 10                      // smallest piece in which a slow client writes, in bytes
	fastestPiece  = 69                      // the largest one
	slowWrite     = 200 * time.Millisecond  // about how long a slow client writes
	lostAfter     = 550 * time.Millisecond  // after its time a request is lost: half a second, and 50 ms of slack
	clientWait    = 2500 * time.Millisecond // how long a client waits to see what comes in the end
)

// slowLongRequests has clients that write long requests slowly. It returns how many requests were lost: answered later
// than half a second after their time, or never.
func slowLongRequests(d *deployment, trouble bool) (broken int, err error) {
	if err := d.start(answerWell, shortDeadlines); err != nil {
		return 0, err
	}
	if err := usualClients(d, "before"); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for size := slowestPiece; size <= fastestPiece; size++ {
		n := d.nodes[size%len(d.nodes)]
		clients.Go(func() {
			if a, sentAt, lost := writeSlowly(d, n, size, trouble); lost {
				mu.Lock()
				defer mu.Unlock()
				broken++
				d.log.say("pieces of %d bytes: the request was whole at %.4f, its time was over at %.4f, at %.4f came %v",
					size, d.log.seconds(sentAt), d.log.seconds(sentAt)+shortDeadline, d.log.seconds(a.at), a)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	return broken, nil
}

// shortDeadlines gives the classes a short deadline.
func shortDeadlines(settings map[string]any) {
	for _, lane := range settings["lanes"].([]map[string]any) {
		lane["deadline"], lane["onTime"] = shortDeadline, shortDeadline/2
	}
}

// writeSlowly sends one long request in pieces of a size, or in one piece if nothing is to be disturbed. It reports
// whether the request was lost.
func writeSlowly(d *deployment, n *node, size int, trouble bool) (a answer, sentAt time.Time, lost bool) {
	c := &client{addr: n.listen, log: d.log}
	defer c.close()
	r := clientRequest{
		class: "price-check", id: fmt.Sprintf("slow-%d", size), expiresIn: shortDeadline,
		drawing: strings.Repeat("d", drawingLength),
	}
	pause := slowWrite / time.Duration(len(r.text())/size+1)
	if !trouble {
		size = 0
	}
	a, sentAt = c.do(r, size, pause, clientWait)
	due := sentAt.Add(time.Duration(shortDeadline * float64(time.Second)))
	return a, sentAt, a.err != nil || a.at.Sub(due) > lostAfter
}
