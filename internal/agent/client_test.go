package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

func TestFetchStatus(t *testing.T) {
	var calls atomic.Int64
	a := startAgent(t, "m", fastRules(), startReplica(t, &calls, serveList(snapshotOf(10, 3))))
	nextMessage(t, watchAsNode(t, a, 0))
	status, err := FetchStatus(t.Context(), a.Addr())
	if err != nil || status.ReplicaCalls != 1 || status.ListsPublished != 1 || status.NodeWatches != 1 {
		t.Errorf("status %+v, error %v; want 1 call to replicas, 1 published list and 1 watch of a node", status, err)
	}
	other := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(other.URL, "http://")
	if _, err := FetchStatus(t.Context(), addr); err == nil || !strings.Contains(err.Error(), "response is not an agent's status") {
		t.Errorf("another server: error %v, want one about its response", err)
	}
	other.Close()
	if _, err := FetchStatus(t.Context(), addr); err == nil || !strings.Contains(err.Error(), "agent did not respond") {
		t.Errorf("no server: error %v, want one about the missing response", err)
	}
}
