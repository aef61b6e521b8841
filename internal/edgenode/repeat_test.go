package edgenode

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/edgenode/upstream"
)

// The bound of a retry comes from the request's first attempt that may have run, and reaches the write.
func TestRetryCarriesItsDeadline(t *testing.T) {
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Method == "POST" {
			return nodetest.Say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(c, r, body)
		}
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	n := nodeOf(idleFrontend(t, testConfig(s.Endpoint("a"), s.Endpoint("b"))))
	ask := func(id, class, method string) *inflightRequest {
		q := balancer.Request{ID: id, Class: class, Plan: "wide", Timeout: 10 * time.Second, Units: 1, EntryNodes: 1}
		request := n.startRequest(q, upstream.Message{Method: method, Target: "/" + class, ID: id}, time.Now().Add(nodetest.Patience))
		nodetest.Await(t, "an answer", request.response)
		return request
	}
	for i := range 10 { // by which retries are earned
		ask(fmt.Sprint("c", i), "check", "GET")
	}
	request := ask("t1", "book", "POST")
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(request.attempts) < 2 {
		t.Fatalf("%d attempts, want a retry", len(request.attempts))
	}
	if at := request.attempts[0]; !at.limits.CompleteBefore.IsZero() {
		t.Errorf("the first attempt is bound to %v", at.limits.CompleteBefore)
	}
	window := n.cfg.Settings.Classes[1].DedupWindow - 2*n.cfg.Settings.Tick
	for _, at := range request.attempts[1:] {
		if got := at.limits.CompleteBefore.Sub(n.startedAt) + time.Duration(n.startedAt.UnixNano()) - request.attempts[0].sentAt; got > window || got < window-time.Millisecond {
			t.Errorf("a retry is bound to %v after the first send, want %v", got, window)
		}
	}
}
