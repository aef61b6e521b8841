package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["10"] = crowdOfDescriptors }

// slowWriters is a trial of clients that write some of their requests in two parts.
type slowWriters struct {
	config nodeConfig
	pause  time.Duration // between the two parts of a request
	length time.Duration // of the trial
	crowd  int           // number of idle clients
	rest   time.Duration // pause of an idle client that was turned away
}

// crowdOfDescriptors lets idle clients fill the descriptors of a node while other clients write slowly.
func crowdOfDescriptors(t *trial) (breaks []string, err error) {
	return t.playSlowWriters(&slowWriters{
		config: nodeConfig{nodes: 3, memoryMB: 72, sockets: 256},
		pause:  700 * time.Millisecond, length: 15 * time.Second,
		crowd: 300, rest: 50 * time.Millisecond,
	})
}

// slowResults are the outcomes of the requests that were written slowly on a connection that had served one before.
type slowResults struct {
	mu                       sync.Mutex
	answered, resent, unsent int
	lost                     []string
}

// playSlowWriters plays the trial. A request is lost if its last byte was written, and neither this connection nor
// the new one on which the client sends it once more brings a whole answer.
func (t *trial) playSlowWriters(s *slowWriters) (breaks []string, err error) {
	f, err := t.startFleet(s.config, nil)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	defer f.copyLogs(t)
	end := time.Now().Add(s.length)
	var results slowResults
	var clients sync.WaitGroup
	for range 10 {
		clients.Go(func() {
			for time.Now().Before(end) && t.ctx.Err() == nil {
				t.writeSlowly(f.nodes[0], s.pause, &results)
			}
		})
	}
	if t.trouble && t.sleep(2*time.Second) {
		t.record.linef("%d idle clients come to %s", s.crowd, f.nodes[0].name)
		for range s.crowd {
			clients.Go(func() {
				for time.Now().Before(end) && t.ctx.Err() == nil {
					t.badClient(f.nodes[0].addr, "", time.Now().Add(time.Millisecond))
					time.Sleep(s.rest)
				}
			})
		}
	}
	clients.Wait()
	t.record.linef("slow requests: %d answered, of these %d when sent once more; %d not completely written; %d lost",
		results.answered, results.resent, results.unsent, len(results.lost))
	fmt.Printf("slow requests: %d answered, of these %d when sent once more; %d not completely written; %d lost\n",
		results.answered, results.resent, results.unsent, len(results.lost))
	return results.lost, t.ctx.Err()
}

// writeSlowly opens a connection, sends a request at once and, if it is served, a second one slowly.
func (t *trial) writeSlowly(n *edgeNode, pause time.Duration, results *slowResults) {
	c, err := dial(n.addr)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }() // not used again
	if first := c.do(newRequest("price-check", 0)); !first.answered() || first.close {
		time.Sleep(20 * time.Millisecond)
		return
	}
	r := newRequest("price-check", 0)
	r.pause = pause
	o := c.do(r)
	t.record.linef("slow request %s: %s", r.id, o.text())
	again := outcome{}
	if !o.answered() && o.written {
		again = once(n.addr, r)
		t.record.linef("slow request %s, sent once more: %s", r.id, again.text())
	}
	results.mu.Lock()
	defer results.mu.Unlock()
	switch {
	case o.answered():
		results.answered++
	case !o.written:
		results.unsent++
	case again.answered():
		results.answered++
		results.resent++
	default:
		results.lost = append(results.lost, fmt.Sprintf("request %s: its last byte was written; %v; sent once more: %v",
			r.id, o.err, again.err))
	}
}
