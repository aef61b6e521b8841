package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["8"] = shortLengths }

// Parameters of case 8.
const (
	length8     = 10 * time.Second
	spoiltEvery = 10 // one of so many answers is spoilt
	cutBytes    = 3  // bytes of the body that the spoilt length leaves out
)

// shortLengths lets app servers spoil one of ten answers: its length does not fit, it is smaller than the body.
func shortLengths(t *trial) (breaks []string, err error) {
	var answers atomic.Int64
	f, err := t.startFleet(nodeConfig{nodes: 3, memoryMB: 72, sockets: 1024},
		func(s *appServer, w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Trace-Id")
			if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
				return false
			}
			length := len(quoteFor(id))
			if t.trouble && answers.Add(1)%spoiltEvery == 0 {
				length -= cutBytes
			}
			t.record.linef("app server %s ran %s and answers %q with Content-Length %d", s.id, id, quoteFor(id), length)
			if err := writeAnswer(w, quoteFor(id), length); err != nil {
				t.record.linef("app server %s could not answer %s: %v", s.id, id, err)
			}
			return true
		})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	defer f.copyLogs(t)
	var mu sync.Mutex
	var clients sync.WaitGroup
	served := 0
	for i := range f.nodes {
		clients.Go(func() {
			for n := 0; time.Duration(n)*50*time.Millisecond < length8 && t.sleep(50*time.Millisecond); n++ {
				r := newRequest("quote-issue", i)
				o := once(f.nodes[i].addr, r)
				t.record.linef("request %s to %s: %s with %q", r.id, f.nodes[i].name, o.text(), o.body)
				if !o.answered() || o.status != http.StatusOK {
					continue
				}
				mu.Lock()
				served++
				if o.body != quoteFor(r.id) {
					breaks = append(breaks, fmt.Sprintf("request %s was answered 200 with %q, made for it was %q", r.id, o.body, quoteFor(r.id)))
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	fmt.Printf("%d requests served, %d with another answer than the one made for them\n", served, len(breaks))
	return breaks, t.ctx.Err()
}

// quoteFor returns the body of the answer to a request: a quote with a price.
func quoteFor(id string) string { return "quote " + id + " price=148250" }

// writeAnswer writes an answer with the given length. After one whose length does not fit, the connection is left open
// for a while and is of no further use.
func writeAnswer(w http.ResponseWriter, body string, length int) error {
	if length == len(body) {
		w.Header().Set("X-Settled", "1")
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, err := io.WriteString(w, body)
		return err
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Settled: 1\r\nContent-Length: %d\r\n\r\n%s", length, body)
	time.AfterFunc(time.Second, func() { _ = c.Close() }) // not used again
	return err
}
