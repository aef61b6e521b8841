package registry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"opalhook/internal/golden"
)

// recordedService responds to each request with a golden file or a fixed outcome, and writes the requests to
// transcript.
func recordedService(t *testing.T, transcript io.Writer) *Client {
	t.Helper()
	responses := map[string][]byte{
		"/registry/instances": golden.Read(t, "golden/list.json"),
		"/registry/backup":    golden.Read(t, "golden/backup.json"),
		"/registry/status":    golden.Read(t, "golden/status.json"),
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		if _, err := fmt.Fprintf(transcript, "%s %s %s\n", r.Method, r.RequestURI, body); err != nil {
			t.Error(err)
		}
		response := []byte(`{"code":"same","generation":41,"message":"why","instanceId":"s-a","weight":0.5,"incarnation":5,"leaseMs":1000}`)
		if recorded := responses[r.URL.Path]; recorded != nil && r.Method == http.MethodGet {
			response = recorded
		}
		if _, err := w.Write(response); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(srv.Close)
	return &Client{Replicas: []string{strings.TrimPrefix(srv.URL, "http://")}}
}

// The client's requests match the golden file, and the client decodes recorded responses.
func TestGoldenClient(t *testing.T) {
	var transcript, backup bytes.Buffer
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c := recordedService(t, &transcript)
	ref := InstanceRef{"s-a", 5}
	registered, err1 := c.Register(ctx, Registration{Entry: entry("s-a", 1), Incarnation: 5, LeaseMs: 1000})
	renewed, err2 := c.Renew(ctx, ref)
	drained, err3 := c.Drain(ctx, InstanceRef{ID: "s-a"})
	removed, err4 := c.Remove(ctx, ref)
	replicaRemoved, err5 := c.RemoveReplica(ctx, "r0123456789ab@127.0.0.1:8500")
	shown, err6 := c.Show(ctx, "s-a")
	generation, entries, err7 := c.List(ctx)
	all, errs := c.Status(ctx)
	if err := errors.Join(append(errs, err1, err2, err3, err4, err5, err6, err7, c.Backup(ctx, &backup))...); err != nil {
		t.Fatal(err)
	}
	var watched uint64
	watchErr := c.Watch(ctx, 40, func(generation uint64, snapshot bool, entries []Entry) {
		if snapshot && len(entries) == 2 {
			watched = generation
		}
	})
	if !errors.Is(watchErr, ErrWatchEnded) {
		t.Errorf("the watch ends with %v, want %v", watchErr, ErrWatchEnded)
	}
	golden.Check(t, "golden/client-requests.txt", transcript.Bytes())
	for _, o := range []Outcome{registered, renewed, drained, removed, replicaRemoved} {
		if o != (Outcome{Unchanged, 41, "why"}) {
			t.Errorf("outcome %+v, want code same, generation 41 and message why", o)
		}
	}
	if shown.ID != "s-a" || shown.Weight != 0.5 || shown.Incarnation != 5 || shown.LeaseMs != 1000 || shown.Generation != 41 {
		t.Errorf("instance %+v", shown)
	}
	if generation != 7<<epochBits|8 || len(entries) != 2 || entries[1].StartedAtMs != 1700000000123 || watched != generation {
		t.Errorf("list at generation %d: %+v; generation on the watch: %d", generation, entries, watched)
	}
	if len(all) != 1 || all[0].AppliedIndex != 17 || !all[0].ExpirySuspended || all[0].SecondsSinceLeaderContact != 0.25 || !all[0].Replicas[0].Leader {
		t.Errorf("status %+v", all)
	}
	golden.Compare(t, "backup", backup.Bytes(), golden.Read(t, "golden/backup.json"))
}

// The first line of a connection between replicas matches the golden file.
func TestGoldenGreeting(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	address := raft.ServerAddress(ln.Addr().String() + "#r0123456789ab")
	conn, err := streamLayer{}.Dial(address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if err := accepted.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(accepted).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "golden/greeting.txt", line)
	if s := (streamLayer{Listener: ln, name: "r0123456789ab"}); s.Addr().String() != string(address) {
		t.Errorf("address %s, want %s", s.Addr(), address)
	}
}
