package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["10"] = costlyHeads }

// Parameters of case 10.
const (
	badClients10 = 450
	attack10     = 20 * time.Second
	shortWait    = 480 * time.Millisecond // the example of the protocol page
	// lateAfter is the time after the end of shortWait at which a request without an answer is lost: half a second,
	// and the slack of the rules.
	lateAfter = 558 * time.Millisecond
)

// costlyHeads lets bad clients send whole heads of many lines, one after the other, while usual clients wait for a
// short time.
func costlyHeads(t *trial) (breaks []string, err error) {
	f, err := t.startFleet(nodeConfig{nodes: 3, memoryMB: 192, sockets: 1024}, nil)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	defer f.copyLogs(t)
	end := time.Now().Add(attack10)
	var clients sync.WaitGroup
	var results shortResults
	for range 10 {
		clients.Go(func() {
			for time.Now().Before(end) && t.ctx.Err() == nil {
				t.askShortly(f.nodes[0], end, &results)
			}
		})
	}
	if t.trouble {
		head := strings.Replace(unreadBodyHead(), "Expect: nothing\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 0\r\n", 1)
		t.record.linef("%d bad clients send heads of %d bytes to %s", badClients10, len(head), f.nodes[0].name)
		for range badClients10 {
			clients.Go(func() {
				for time.Now().Before(end) {
					repeatHead(f.nodes[0].addr, head, end)
				}
			})
		}
	}
	clients.Wait()
	text := fmt.Sprintf("%d requests answered in time, %d connections closed, %d requests lost, slowest answer after %.3f s",
		results.answered, results.closed, len(results.lost), results.slowest.Seconds())
	t.record.linef("%s", text)
	fmt.Println(text)
	if n := f.nodes[0]; n.ended() {
		return nil, errors.New("the node has ended")
	}
	return results.lost, t.ctx.Err()
}

// repeatHead sends the same bad request again as soon as it was answered, on one connection.
func repeatHead(addr, head string, end time.Time) {
	c, err := dial(addr)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }() // not used again
	for time.Now().Before(end) {
		_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // fails only on a closed connection
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return
		}
	}
}

// shortResults are the outcomes of the requests with a short wait.
type shortResults struct {
	mu               sync.Mutex
	answered, closed int
	slowest          time.Duration
	lost             []string
}

// askShortly sends requests with a short wait on one connection until it ends.
func (t *trial) askShortly(n *edgeNode, end time.Time, results *shortResults) {
	c, err := dial(n.addr)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }() // not used again
	for time.Now().Before(end) && t.sleep(200*time.Millisecond) {
		r := newRequest("price-check", 0)
		r.wait = shortWait
		sent := time.Now()
		o := c.doWithin(r, 10*time.Second)
		took := time.Since(sent)
		t.record.linef("request %s: %s after %.3f s", r.id, o.text(), took.Seconds())
		if !results.add(&r, &o, took) || o.close {
			return
		}
	}
}

// add counts the outcome of a request. It returns false if the connection has ended.
func (s *shortResults) add(r *request, o *outcome, took time.Duration) (open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var timeout net.Error
	isTimeout := errors.As(o.err, &timeout) && timeout.Timeout()
	switch {
	case !o.answered() && !isTimeout:
		s.closed++ // unread or not, this case does not judge it
		return false
	case o.answered():
		s.slowest = max(s.slowest, took)
	}
	if took > shortWait+lateAfter {
		s.lost = append(s.lost, fmt.Sprintf("request %s, which its client waits %.3f s for: %s after %.3f s",
			r.id, shortWait.Seconds(), o.text(), took.Seconds()))
	} else {
		s.answered++
	}
	return !isTimeout
}
