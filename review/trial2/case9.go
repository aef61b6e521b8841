package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = burstOfBodies }

// Parameters of case 9. The memory that a node counts for clients is 0.4 of memory_mb: 25.6 MiB.
const (
	rounds9     = 6
	bad9        = 266                    // bad clients, each of which announces 64 KiB; with the usual ones they use up the memory
	usual9      = 40                     // usual clients, which write slowly
	firstHalf9  = 700 * time.Millisecond // from the first half of the slow requests to the burst
	secondHalf9 = 50 * time.Millisecond  // from the burst to the second half
)

// burstOfBodies lets bad clients announce the bodies of long requests all at once, just before usual clients complete
// requests that they write slowly.
func burstOfBodies(t *trial) (breaks []string, err error) {
	f, err := t.startFleet(nodeConfig{nodes: 3, memoryMB: 64, sockets: 1024}, nil)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	defer f.copyLogs(t)
	var results slowResults
	for round := range rounds9 {
		t.record.linef("round %d", round)
		t.playBurst(f.nodes[0], &results)
		if !t.sleep(2 * time.Second) {
			return nil, t.ctx.Err()
		}
	}
	text := fmt.Sprintf("slow requests: %d answered; %d not read by the node; %d read and not answered",
		results.answered, results.unsent, len(results.lost))
	t.record.linef("%s", text)
	fmt.Println(text)
	return results.lost, nil
}

// playBurst plays one round.
func (t *trial) playBurst(n *edgeNode, results *slowResults) {
	burst := time.Now().Add(firstHalf9 + 300*time.Millisecond)
	var clients sync.WaitGroup
	for range usual9 {
		clients.Go(func() { t.completeAfter(n, burst, results) })
	}
	if t.trouble {
		for i := range bad9 {
			clients.Go(func() { announceBody(n.addr, i, burst) })
		}
	}
	clients.Wait()
}

// announceBody opens a connection, and at the time of the burst sends the head of a long request and four bytes of its
// body. It reads what it is sent until the connection ends.
func announceBody(addr string, number int, burst time.Time) {
	time.Sleep(time.Until(burst.Add(-200 * time.Millisecond)))
	c, err := dial(addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // not used again
	time.Sleep(time.Until(burst))
	text := fmt.Sprintf("POST /quote-issue?customer=00000000b4d65522 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: half-%d-%d\r\n"+
		"X-Qos: quote-issue\r\nX-Contract: grand\r\nX-Expires-In: 3.000\r\nX-Metering: units=1,spread=1,first=0\r\n"+
		"Content-Length: 65536\r\n\r\nhalf", burst.UnixNano(), number)
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only on a closed connection
	_, _ = io.WriteString(c, text)                     // the same
	_, _ = io.Copy(io.Discard, c)                      // ends with the connection
}

// completeAfter sends a request at once, and a second one on the same connection in two halves, before and after the
// burst. The second one was read by the node and not answered if the connection was open when the second half was
// written, and then ended in good order: the system resets a connection that is closed with unread bytes.
func (t *trial) completeAfter(n *edgeNode, burst time.Time, results *slowResults) {
	c, err := dial(n.addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // not used again
	if first := c.do(newRequest("price-check", 0)); !first.answered() || first.close {
		return
	}
	time.Sleep(time.Until(burst.Add(-firstHalf9)))
	r := newRequest("price-check", 0)
	text := r.text()
	half := len(text) / 2
	_, err = io.WriteString(c, text[:half])
	time.Sleep(time.Until(burst.Add(secondHalf9)))
	open := err == nil && isOpen(c.Conn)
	o := outcome{err: err}
	if open {
		o = c.send(text[half:], clientWait+answerGrace)
	}
	t.record.linef("slow request %s: open before its second half: %v, %s", r.id, open, o.text())
	results.mu.Lock()
	defer results.mu.Unlock()
	switch {
	case o.answered():
		results.answered++
	case open && o.written && errors.Is(o.err, io.ErrUnexpectedEOF):
		results.lost = append(results.lost, fmt.Sprintf("request %s: read by the node, and its connection ended without an answer", r.id))
	default:
		results.unsent++
	}
}

// isOpen reports whether the peer has neither closed the connection nor sent anything.
func isOpen(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}
