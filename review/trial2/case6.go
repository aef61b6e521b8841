package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = unreadBodies }

// Parameters of case 6.
const (
	badClients6 = 400
	attack6     = 8 * time.Second
	headBytes6  = 19000 // within the 16 KiB and 4 KiB that the node reads of a head
)

// unreadBodies lets bad clients send whole heads of many lines with a body that never comes. The stand-in of the
// platform kills a node that is over its memory limit.
func unreadBodies(t *trial) (breaks []string, err error) {
	c := nodeConfig{nodes: 3, memoryMB: 72, sockets: 1024}
	f, err := t.startFleet(c, nil)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	defer f.copyLogs(t)
	end := time.Now().Add(attack6)
	var clients sync.WaitGroup
	for i := range f.nodes {
		clients.Go(func() { t.usualClient(f, i, end) })
	}
	if t.trouble && !t.sleep(time.Second) {
		return nil, t.ctx.Err()
	}
	if t.trouble {
		head := unreadBodyHead()
		t.record.linef("%d bad clients send heads of %d bytes to %s, and no body", badClients6, len(head), f.nodes[0].name)
		for range badClients6 {
			clients.Go(func() { t.badClient(f.nodes[0].addr, head, end) })
		}
	}
	breaks = t.guardMemory(f, c.memoryMB, end)
	clients.Wait()
	return breaks, nil
}

// unreadBodyHead returns the head of a bad request: an unknown expectation, a body without a length, and many short
// lines.
func unreadBodyHead() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	b.WriteString("POST /quote-issue?customer=00000000b4d65521 HTTP/1.1\r\nHost: app.svc\r\nExpect: nothing\r\n" +
		"Transfer-Encoding: chunked\r\n")
	for i := 0; b.Len() < headBytes6; i++ {
		x, y, z := i%len(letters), i/len(letters)%len(letters), i/len(letters)/len(letters)
		b.Write([]byte{letters[x], letters[y], letters[z], ':', '\r', '\n'})
	}
	b.WriteString("\r\n")
	return b.String()
}

// badClient sends a text and reads what it is sent, and does the same again as soon as it is turned away.
func (t *trial) badClient(addr, text string, end time.Time) {
	for time.Now().Before(end) && t.ctx.Err() == nil {
		c, err := dial(addr)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only on a closed connection
		_, _ = io.WriteString(c, text)                     // the same
		_, _ = io.Copy(io.Discard, c)                      // ends with the connection
		_ = c.Close()                                      // not used again
	}
}

// usualClient sends ten requests a second to a node, each on a connection of its own.
func (t *trial) usualClient(f *fleet, node int, end time.Time) {
	for i := 0; time.Now().Before(end) && t.sleep(100*time.Millisecond); i++ {
		r := newRequest([]string{"price-check", "quote-issue"}[i%2], node)
		o := once(f.nodes[node].addr, r)
		t.record.linef("request %s to %s: %s", r.id, f.nodes[node].name, o.text())
	}
}

// guardMemory watches the memory of the nodes until the end, and kills a node that is over the limit. It returns a
// break for each.
func (t *trial) guardMemory(f *fleet, limitMB int, end time.Time) (breaks []string) {
	peak := make([]int, len(f.nodes))
	for time.Now().Before(end) && t.sleep(5*time.Millisecond) {
		for i, n := range f.nodes {
			kb, err := n.memoryKB()
			if n.ended() || err != nil {
				continue
			}
			peak[i] = max(peak[i], kb)
			if kb > limitMB<<10 {
				_ = n.cmd.Process.Signal(syscall.SIGKILL) // fails if the process has ended
				<-n.exited
				breaks = append(breaks, fmt.Sprintf("node %s has %d KiB of memory of its own, its limit is %d KiB: killed",
					n.name, kb, limitMB<<10))
			}
		}
	}
	for i, n := range f.nodes {
		t.record.linef("highest memory of %s: %d KiB of %d KiB", n.name, peak[i], limitMB<<10)
		if n.ended() && len(breaks) == 0 {
			breaks = append(breaks, fmt.Sprintf("node %s has ended", n.name))
		}
	}
	return breaks
}
