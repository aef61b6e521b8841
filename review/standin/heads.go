package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Parameters of unfinishedHeads.
const (
	badClients   = 290                     // bad clients, each with one connection
	headLength   = 20300                   // bytes of its head that a bad client sends
	badClientFor = 6 * time.Second         // how long a bad client stays at most
	headsAfter   = 500 * time.Millisecond  // when the bad clients come
	headsUntil   = 4500 * time.Millisecond // when the case ends
	usualPerNode = 4                       // usual clients at each edge node
	memoryPoll   = 2 * time.Millisecond    // between two looks of the platform at the memory of the edge nodes
)

// unfinishedHeads has bad clients that send the beginning of a head and stop. The platform kills an edge node whose
// memory exceeds its limit. It returns how many edge nodes were killed.
func unfinishedHeads(d *deployment, trouble bool) (broken int, err error) {
	if err := d.start(answerWell, nil); err != nil {
		return 0, err
	}
	var ended atomic.Bool
	var killed, lost atomic.Int64
	var platform, clients sync.WaitGroup
	for _, n := range d.nodes {
		platform.Go(func() {
			if limitMemory(d, n, &ended) {
				killed.Add(1)
			}
		})
		for i := range usualPerNode {
			clients.Go(func() { lost.Add(steadyClient(d, n, i, &ended)) })
		}
	}
	time.Sleep(headsAfter)
	if trouble {
		head := unfinishedHead()
		d.log.say("%d bad clients send %s the first %d bytes of a head, %d lines, and stop", badClients, d.nodes[0].name,
			len(head), strings.Count(head, "\n"))
		for range badClients {
			clients.Go(func() { badClient(d, d.nodes[0], head) })
		}
	}
	time.Sleep(headsUntil - headsAfter)
	ended.Store(true)
	clients.Wait()
	platform.Wait()
	d.log.say("%d requests of usual clients were never answered", lost.Load())
	return int(killed.Load()), nil
}

// unfinishedHead returns the beginning of a head: short header lines, without the empty line that ends a head.
func unfinishedHead() string {
	text := "GET /price-check?customer=00000000b4d65521 HTTP/1.1\r\n"
	for i := 0; len(text) < headLength; i++ {
		text += strconv.FormatInt(int64(i), 36) + ":\r\n"
	}
	return text
}

// badClient sends a text and reads until the edge node ends the connection, for at most badClientFor.
func badClient(d *deployment, n *node, text string) {
	c := &client{addr: n.listen, log: d.log}
	if err := c.connect(); err != nil {
		d.log.add("bad client: %v", err)
		return
	}
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(badClientFor))
	if _, err := io.WriteString(c.conn, text); err != nil {
		d.log.add("bad client: %v", err)
		return
	}
	sentAt := time.Now()
	got, err := io.ReadAll(c.conn)
	d.log.add("bad client got %q after %v, error %v", got, time.Since(sentAt).Round(time.Millisecond), err)
}

// steadyClient sends requests one after the other. It returns the number of those that got no answer, of which only the
// last can be the cause of the return: its edge node is gone.
func steadyClient(d *deployment, n *node, number int, ended *atomic.Bool) (lost int64) {
	c := &client{addr: n.listen, log: d.log}
	defer c.close()
	for i := 0; !ended.Load(); i++ {
		r := clientRequest{class: "price-check", id: fmt.Sprintf("%s-%d-%d", n.name, number, i), expiresIn: 4}
		if a, _ := c.do(r, 0, 0, 5*time.Second); a.err != nil {
			return 1
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// limitMemory takes the place of the platform: it kills the edge node if its private memory exceeds its limit. It
// returns whether it has done so.
func limitMemory(d *deployment, n *node, ended *atomic.Bool) bool {
	peak := 0
	for ; !ended.Load(); time.Sleep(memoryPoll) {
		used, err := privateMemory(n.command.Process.Pid)
		if err != nil {
			d.log.add("memory of %s: %v", n.name, err)
			return false
		}
		if peak = max(peak, used); used > memoryMB<<10 {
			_ = n.command.Process.Signal(syscall.SIGKILL)
			d.log.say("%s has %d KiB of private memory, its limit is %d MiB: the platform kills it", n.name, used, memoryMB)
			n.killed = true
			return true
		}
	}
	d.log.say("%s had at most %d KiB of private memory, its limit is %d MiB", n.name, peak, memoryMB)
	return false
}

// privateMemory returns the resident memory of a process in KiB, without that of files.
func privateMemory(pid int) (kib int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			_, err := fmt.Sscan(value, &kib)
			return kib, err
		}
	}
	return 0, fmt.Errorf("process %d has no RssAnon", pid)
}
