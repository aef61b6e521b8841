package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["7"] = noLength }

// Parameters of case 7.
const (
	seconds7  = 40
	perSecond = 40 // requests to each node
	window7   = 20 // the seconds at the end that are judged
)

// noLength lets the app servers answer without a length, as HTTP allows: requests and health checks alike. The
// settings allow probes.
func noLength(t *trial) (breaks []string, err error) {
	c := nodeConfig{nodes: 3, memoryMB: 72, sockets: 1024, probes: true}
	f, err := t.startFleet(c, func(_ *appServer, w http.ResponseWriter, r *http.Request) bool {
		if t.trouble {
			w.Header().Set("Transfer-Encoding", "identity") // no length: the end of the connection ends the answer
			w.Header().Set("Connection", "close")
		}
		if r.URL.Path != "/stats" {
			return false
		}
		w.Header().Set("Endpoint-Load-Metrics", "TEXT outstanding=1")
		_, _ = io.WriteString(w, "TEXT outstanding=1") // an error means that the node has gone
		return true
	})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	defer f.copyLogs(t)
	counts := make([]secondCounts, seconds7)
	var clients sync.WaitGroup
	for second := range counts {
		for range perSecond {
			if !t.sleep(time.Second / perSecond) {
				return nil, t.ctx.Err()
			}
			for node := range f.nodes {
				clients.Go(func() { t.sendCounted(f, node, &counts[second]) })
			}
		}
	}
	clients.Wait()
	return t.judgeSeconds(counts), nil
}

// secondCounts counts the requests that were sent in one second.
type secondCounts struct {
	mu                                       sync.Mutex
	sent, ran, served, refused, failed, none int
}

// sendCounted sends one request and counts its outcome.
func (t *trial) sendCounted(f *fleet, node int, counts *secondCounts) {
	r := newRequest("quote-issue", node)
	o := once(f.nodes[node].addr, r)
	ran := 0
	for _, s := range f.servers {
		ran += s.runsOf(r.id)
	}
	t.record.linef("request %s to %s: %s, ran %d times", r.id, f.nodes[node].name, o.text(), ran)
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.sent++
	counts.ran += min(ran, 1)
	switch {
	case !o.answered():
		counts.none++
	case o.status == http.StatusOK:
		counts.served++
	case o.status == http.StatusTooManyRequests, o.status == http.StatusServiceUnavailable:
		counts.refused++
	default:
		counts.failed++
	}
}

// judgeSeconds records the counts, and returns a break if under half of the answers that came whole in the last
// seconds were forwarded.
func (t *trial) judgeSeconds(counts []secondCounts) (breaks []string) {
	ran, served := 0, 0
	for i := range counts {
		c := &counts[i]
		t.record.linef("second %d: %d sent, %d ran, %d served, %d refused, %d failed, %d not answered",
			i, c.sent, c.ran, c.served, c.refused, c.failed, c.none)
		if i >= len(counts)-window7 {
			ran, served = ran+c.ran, served+c.served
		}
	}
	if 2*served < ran {
		breaks = append(breaks, fmt.Sprintf("in the last %d s %d requests ran and were answered whole by an app server, %d of "+
			"these answers were forwarded", window7, ran, served))
	}
	return breaks
}

// runsOf returns the number of times that a request ran.
func (s *appServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
