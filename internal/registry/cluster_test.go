package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Three replicas as processes. Leaders are killed and stopped, and all are killed at once, under
// writes of six clients; every replica ends with the same list.
func TestLinearizableUnderFaults(t *testing.T) {
	all := startService(t, 3)
	leader := func() *testReplica { return leaderOf(t, all) }
	stop, done := make(chan struct{}), make(chan []porcupine.Operation, 1)
	go func() { done <- runClients(t, all, stop) }()
	wrote := func() { // writes go through again
		c := &Client{Replicas: []string{all[0].listen, all[1].listen, all[2].listen}}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if _, err := c.Register(ctx, Registration{entry("s-probe", 99), uint64(time.Now().UnixMicro()), 0}); err != nil {
			t.Errorf("writes never go through again: %v", err)
		}
	}
	for range 2 {
		l := leader()
		l.kill()
		wrote()
		l.start("")
		wrote()
	}
	l := leader()
	if err := l.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	waitFor(t, "another leads", func() bool {
		for _, m := range all {
			if m != l && m.leads() {
				return true
			}
		}
		return false
	})
	if err := l.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
	wrote()
	for _, way := range [][2]bool{{true, true}, {true, false}, {false, true}} { // both ways, mute, deaf
		l := leader()
		l.cut(all, way[0], way[1])
		wrote()
		l.cut(all, false, false)
		wrote()
	}
	for _, m := range all {
		m.kill()
	}
	for _, m := range all {
		m.start("")
	}
	wrote()
	close(stop)
	ops := <-done
	if err := checkHistory(ops); err != nil {
		t.Error(err)
	}
	known := 0
	for _, o := range ops {
		if !o.Output.(result).unknown {
			known++
		}
	}
	if known < 50 {
		t.Errorf("%d writes with a known end of %d: nothing was tested", known, len(ops))
	}
	sameLists(t, all)
}

// A replica whose state is lost is not taken for the one that it was, and comes back as a new
// one; replicas are added and dismissed, the leader too, while clients write.
func TestReplicaReplacement(t *testing.T) {
	all := startService(t, 3)
	wiped := all[0]
	if wiped == leaderOf(t, all) {
		wiped = all[1]
	}
	others := slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == wiped })
	stop, done := make(chan struct{}), make(chan []porcupine.Operation, 1)
	go func() { done <- runClients(t, others, stop) }()
	status := func() Status {
		sts, errs := (&Client{Replicas: []string{leaderOf(t, others).listen}}).Status(t.Context())
		if errs[0] != nil {
			t.Fatal(errs[0])
		}
		return sts[0]
	}
	idOf := func(m *testReplica) string {
		for _, r := range status().Replicas {
			if strings.HasSuffix(r.ID, "@"+m.listen) {
				return r.ID
			}
		}
		return ""
	}
	dismiss := func(id string) {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if _, err := (&Client{Replicas: addresses(all)}).RemoveReplica(ctx, id); err != nil {
			t.Errorf("dismissing %s: %v", id, err)
		}
	}
	was := idOf(wiped)
	wiped.kill()
	files, err := os.ReadDir(wiped.dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if err := os.RemoveAll(filepath.Join(wiped.dir, f.Name())); err != nil {
			t.Fatal(err)
		}
	}
	wiped.start("") // as if nothing had been there: a service of its own
	waitFor(t, "the wiped replica leads what it alone is", wiped.leads)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for n := range 20 { // commits of the others, that they offer to the one that was
		if _, err := (&Client{Replicas: addresses(others)}).Register(ctx, Registration{entry(fmt.Sprint("s-x", n), 500+n), 1, 0}); err != nil {
			t.Fatal(err)
		}
	}
	if _, list, err := (&Client{Replicas: []string{wiped.listen}}).List(ctx); err != nil || slices.ContainsFunc(list, func(e Entry) bool { return e.InstanceID == "s-x0" }) {
		t.Errorf("a replica that lost its state is taken for the one that it was: %v", err)
	}
	wiped.kill()
	files, _ = os.ReadDir(wiped.dir)
	for _, f := range files {
		if err := os.RemoveAll(filepath.Join(wiped.dir, f.Name())); err != nil {
			t.Fatal(err)
		}
	}
	leader := leaderOf(t, others)
	if body, code := joinAs(t, leader.listen, Replica{ID: "rx@" + wiped.listen, Raft: wiped.raft + addressNameSeparator + "rx"}); code != http.StatusConflict || !strings.Contains(body, "dismiss "+was) {
		t.Errorf("a new replica at the address of one that is not dismissed: %d %s", code, body)
	}
	dismiss(was)
	wiped.start(leader.listen)
	waitFor(t, "the replica is back as a new one", func() bool { id := idOf(wiped); return id != "" && id != was })
	old := leaderOf(t, others)
	oldID := idOf(old)
	dismiss(oldID)
	old.kill()
	rest := slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == old })
	leaderOf(t, rest)
	close(stop)
	if err := checkHistory(<-done); err != nil {
		t.Error(err)
	}
	sameLists(t, rest)
}

// joinAs asks for a place in the service, once.
func joinAs(t *testing.T, addr string, r Replica) (string, int) {
	t.Helper()
	body, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+addr+"/registry/replicas", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), resp.StatusCode
}

// A reader that is ahead of a replica that lags is turned away there, and is served when the
// replica has caught up: it is never shown the past.
func TestReaderAheadOfLaggingReplica(t *testing.T) {
	all := startService(t, 3)
	c := &Client{Replicas: addresses(all)}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	register := func(n int) uint64 {
		o, err := c.Register(ctx, Registration{entry(fmt.Sprint("s-", n), n), 1, 0})
		if err != nil {
			t.Fatal(err)
		}
		return o.Generation
	}
	register(1)
	lags := all[0]
	if lags == leaderOf(t, all) {
		lags = all[1]
	}
	lags.cut(all, true, true)
	c.Replicas = addresses(slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == lags }))
	at := register(2)
	resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", lags.listen, at))
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a reader of %d gets %s %s", at, resp.Status, text)
	}
	lags.cut(all, false, false)
	w := startWatch(t, lags.listen, at)
	next := register(3)
	if m := w.next(t); m.Reset || m.Generation != next {
		t.Errorf("after it has caught up the watch gets %+v, not %d", m, next)
	}
}
