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
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// backgroundClients are the clients of a test that write while it disturbs the replicas.
type backgroundClients struct {
	stop       context.CancelFunc
	running    sync.WaitGroup
	operations []porcupine.Operation // once they have ended
}

// startClients starts clients that end with the test at the latest.
func startClients(t *testing.T, replicas []*testReplica) *backgroundClients {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &backgroundClients{stop: cancel}
	c.running.Go(func() { c.operations = runClients(ctx, replicas) })
	t.Cleanup(c.running.Wait)
	return c
}

// end stops the clients and checks what they saw. It returns their operations.
func (c *backgroundClients) end(t *testing.T) []porcupine.Operation {
	t.Helper()
	c.stop()
	c.running.Wait()
	if err := checkHistory(c.operations); err != nil {
		t.Error(err)
	}
	return c.operations
}

// checkWritable checks that a write gets through.
func checkWritable(t *testing.T, all []*testReplica) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	client := &Client{Replicas: addresses(all)}
	if _, err := client.Register(ctx, Registration{entry("s-probe", 99), uint64(time.Now().UnixMicro()), 0}); err != nil {
		t.Errorf("writes never go through again: %v", err)
	}
}

// stopLeader stops the leader's process until another replica leads.
func stopLeader(t *testing.T, all []*testReplica) {
	t.Helper()
	stopped := leaderOf(t, all)
	if err := stopped.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	waitFor(t, "another leads", func() bool {
		return slices.ContainsFunc(without(all, stopped), (*testReplica).leads)
	})
	if err := stopped.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
}

// Three replicas as processes. Leaders are killed, stopped and cut off, and all replicas are killed at once, while six
// clients write; the history is linearizable, and all replicas end with the same list.
func TestLinearizableUnderFaults(t *testing.T) {
	all := startService(t, 3)
	clients := startClients(t, all)
	for range 2 {
		leader := leaderOf(t, all)
		leader.kill()
		checkWritable(t, all)
		leader.start("")
		checkWritable(t, all)
	}
	stopLeader(t, all)
	checkWritable(t, all)
	for _, cut := range []linkCut{cutBoth, cutOutgoing, cutIncoming} {
		leader := leaderOf(t, all)
		leader.cut(all, cut)
		checkWritable(t, all)
		leader.cut(all, cutNone)
		checkWritable(t, all)
	}
	for _, m := range all {
		m.kill()
	}
	for _, m := range all {
		m.start("")
	}
	checkWritable(t, all)
	operations := clients.end(t)
	known := 0
	for _, o := range operations {
		if !o.Output.(result).unknown {
			known++
		}
	}
	if known < 50 {
		t.Errorf("%d writes with a known end of %d: nothing was tested", known, len(operations))
	}
	sameLists(t, all)
}

// leaderStatus is the status of the leader among the replicas.
func leaderStatus(t *testing.T, all []*testReplica) Status {
	t.Helper()
	statuses, errs := (&Client{Replicas: []string{leaderOf(t, all).listen}}).Status(t.Context())
	if errs[0] != nil {
		t.Fatal(errs[0])
	}
	return statuses[0]
}

// idOf returns the ID under which the leader among the replicas knows one, "" where it does not.
func idOf(t *testing.T, all []*testReplica, m *testReplica) string {
	t.Helper()
	for _, r := range leaderStatus(t, all).Replicas {
		if strings.HasSuffix(r.ID, "@"+m.listen) {
			return r.ID
		}
	}
	return ""
}

// dismiss removes a replica from the service.
func dismiss(t *testing.T, all []*testReplica, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err := (&Client{Replicas: addresses(all)}).RemoveReplica(ctx, id); err != nil {
		t.Errorf("dismissing %s: %v", id, err)
	}
}

// wipe kills a replica and empties its folder.
func (m *testReplica) wipe() {
	m.t.Helper()
	m.kill()
	files, err := os.ReadDir(m.dir)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, f := range files {
		if err := os.RemoveAll(filepath.Join(m.dir, f.Name())); err != nil {
			m.t.Fatal(err)
		}
	}
}

// without returns the replicas but one.
func without(all []*testReplica, one *testReplica) []*testReplica {
	return slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == one })
}

// followerOf returns a replica that does not lead.
func followerOf(t *testing.T, all []*testReplica) *testReplica {
	t.Helper()
	if all[0] == leaderOf(t, all) {
		return all[1]
	}
	return all[0]
}

// A replica whose state is lost is not mistaken for the one that it was, and comes back as a new one; replicas are
// added and dismissed, the leader too, while clients write.
func TestReplicaReplacement(t *testing.T) {
	all := startService(t, 3)
	wiped := followerOf(t, all)
	others := without(all, wiped)
	clients := startClients(t, others)
	earlierID := idOf(t, others, wiped)
	wiped.wipe()
	wiped.start("") // as if nothing had been there: a service of its own
	checkNotMistaken(t, others, wiped)
	wiped.wipe()
	leader := leaderOf(t, others)
	intruder := Replica{ID: "rx@" + wiped.listen, Raft: wiped.raft + addressNameSeparator + "rx"}
	if body, status := joinAs(t, leader.listen, intruder); status != http.StatusConflict || !strings.Contains(body, "dismiss "+earlierID) {
		t.Errorf("a new replica at the address of one that is not dismissed: %d %s", status, body)
	}
	dismiss(t, all, earlierID)
	wiped.start(leader.listen)
	waitFor(t, "the replica is back as a new one", func() bool {
		id := idOf(t, others, wiped)
		return id != "" && id != earlierID
	})
	earlierLeader := leaderOf(t, others)
	dismiss(t, all, idOf(t, others, earlierLeader))
	earlierLeader.kill()
	rest := without(all, earlierLeader)
	leaderOf(t, rest)
	clients.end(t)
	sameLists(t, rest)
}

// checkNotMistaken checks that a wiped replica, which was started as a service of its own, takes none of the commits
// that the others offer to the one that it was.
func checkNotMistaken(t *testing.T, others []*testReplica, wiped *testReplica) {
	t.Helper()
	waitFor(t, "the wiped replica leads what it alone is", wiped.leads)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for n := range 20 {
		if _, err := (&Client{Replicas: addresses(others)}).Register(ctx, Registration{entry(fmt.Sprint("s-x", n), 500+n), 1, 0}); err != nil {
			t.Fatal(err)
		}
	}
	_, list, err := (&Client{Replicas: []string{wiped.listen}}).List(ctx)
	if err != nil || slices.ContainsFunc(list, func(e Entry) bool { return e.InstanceID == "s-x0" }) {
		t.Errorf("a replica that lost its state is taken for the one that it was: %v", err)
	}
}

// joinAs asks for a place in the service, once, and returns the response's body and status.
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
	return readBody(t, resp), resp.StatusCode
}

// readBody reads a response to its end.
func readBody(t testing.TB, resp *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close() // all was read
	return string(text)
}

// A reader that is ahead of a lagging replica is rejected there, and is served when the replica has caught up: it is
// never shown the past.
func TestReaderAheadOfLaggingReplica(t *testing.T) {
	all := startService(t, 3)
	client := &Client{Replicas: addresses(all)}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	register := func(n int) uint64 {
		o, err := client.Register(ctx, Registration{entry(fmt.Sprint("s-", n), n), 1, 0})
		if err != nil {
			t.Fatal(err)
		}
		return o.Generation
	}
	register(1)
	lagging := followerOf(t, all)
	lagging.cut(all, cutBoth)
	client.Replicas = addresses(without(all, lagging))
	ahead := register(2)
	resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", lagging.listen, ahead))
	if err != nil {
		t.Fatal(err)
	}
	text := readBody(t, resp)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a reader of %d gets %s %s", ahead, resp.Status, text)
	}
	lagging.cut(all, cutNone)
	w := startWatch(t, lagging.listen, ahead)
	next := register(3)
	if m := w.next(t); m.Reset || m.Generation != next {
		t.Errorf("after it has caught up the watch gets %+v, not %d", m, next)
	}
}
