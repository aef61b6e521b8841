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

// backgroundClients are clients that write while a test disturbs the replicas.
type backgroundClients struct {
	stop       context.CancelFunc
	running    sync.WaitGroup
	operations []porcupine.Operation // set when the clients have ended
}

// startClients starts clients, which stop when the test ends, unless end has stopped them before.
func startClients(t *testing.T, replicas []*testReplica) *backgroundClients {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &backgroundClients{stop: cancel}
	c.running.Go(func() { c.operations = runClients(ctx, replicas) })
	t.Cleanup(c.running.Wait)
	return c
}

// end stops the clients, checks their history and returns their operations.
func (c *backgroundClients) end(t *testing.T) []porcupine.Operation {
	t.Helper()
	c.stop()
	c.running.Wait()
	if err := checkHistory(c.operations); err != nil {
		t.Error(err)
	}
	return c.operations
}

// checkWritable checks that the service executes a write.
func checkWritable(t *testing.T, all []*testReplica) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	client := &Client{Replicas: addresses(all)}
	if _, err := client.Register(ctx, Registration{entry("s-probe", 99), uint64(time.Now().UnixMicro()), 0}); err != nil {
		t.Errorf("no write succeeds after the fault: %v", err)
	}
}

// suspendLeader suspends the leader's process until another replica is the leader.
func suspendLeader(t *testing.T, all []*testReplica) {
	t.Helper()
	suspended := leaderOf(t, all)
	if err := suspended.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	waitFor(t, "another replica is the leader", func() bool {
		return slices.ContainsFunc(without(all, suspended), (*testReplica).leads)
	})
	if err := suspended.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
}

// Runs three replicas as processes and six clients. Leaders are killed, suspended and disconnected, and all
// replicas are killed at once. The history of the clients must be linearizable, and all replicas must end
// with the same list.
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
	suspendLeader(t, all)
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
		t.Errorf("%d of %d operations have a known result, want at least 50", known, len(operations))
	}
	waitForSameList(t, all)
}

// leaderStatus returns the status of the leader.
func leaderStatus(t *testing.T, all []*testReplica) Status {
	t.Helper()
	statuses, errs := (&Client{Replicas: []string{leaderOf(t, all).listen}}).Status(t.Context())
	if errs[0] != nil {
		t.Fatal(errs[0])
	}
	return statuses[0]
}

// replicaID returns the ID of a replica as the leader knows it, or "" if the leader does not know the
// replica.
func replicaID(t *testing.T, all []*testReplica, m *testReplica) string {
	t.Helper()
	for _, r := range leaderStatus(t, all).Replicas {
		if strings.HasSuffix(r.ID, "@"+m.listen) {
			return r.ID
		}
	}
	return ""
}

// removeReplica removes a replica from the service.
func removeReplica(t *testing.T, all []*testReplica, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err := (&Client{Replicas: addresses(all)}).RemoveReplica(ctx, id); err != nil {
		t.Errorf("removing replica %s: %v", id, err)
	}
}

// wipe kills a replica and empties its data folder.
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

// without returns all replicas except one.
func without(all []*testReplica, one *testReplica) []*testReplica {
	return slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == one })
}

// followerOf returns a follower.
func followerOf(t *testing.T, all []*testReplica) *testReplica {
	t.Helper()
	if all[0] == leaderOf(t, all) {
		return all[1]
	}
	return all[0]
}

// A replica that has lost its state must not be taken for the earlier replica at the same address; it joins
// again under a new ID. Replicas, among them the leader, are added and removed while clients write.
func TestReplicaReplacement(t *testing.T) {
	all := startService(t, 3)
	wiped := followerOf(t, all)
	others := without(all, wiped)
	clients := startClients(t, others)
	earlierID := replicaID(t, others, wiped)
	wiped.wipe()
	wiped.start("") // with an empty data folder, it starts a new service
	checkReceivesNoCommits(t, others, wiped)
	wiped.wipe()
	leader := leaderOf(t, others)
	newReplica := Replica{ID: "rx@" + wiped.listen, Raft: wiped.raft + addressNameSeparator + "rx"}
	if body, status := joinAs(t, leader.listen, newReplica); status != http.StatusConflict || !strings.Contains(body, "dismiss "+earlierID) {
		t.Errorf("a new replica at the address of one that has not been removed: %d %s, want 409 with the command to dismiss it", status, body)
	}
	removeReplica(t, all, earlierID)
	wiped.start(leader.listen)
	waitFor(t, "the wiped replica has joined under a new ID", func() bool {
		id := replicaID(t, others, wiped)
		return id != "" && id != earlierID
	})
	earlierLeader := leaderOf(t, others)
	removeReplica(t, all, replicaID(t, others, earlierLeader))
	earlierLeader.kill()
	rest := without(all, earlierLeader)
	leaderOf(t, rest)
	clients.end(t)
	waitForSameList(t, rest)
}

// checkReceivesNoCommits checks that a wiped replica, which was started as a new service, gets none of the
// commits that the other replicas send to the earlier replica at its address.
func checkReceivesNoCommits(t *testing.T, others []*testReplica, wiped *testReplica) {
	t.Helper()
	waitFor(t, "the wiped replica leads its own service", wiped.leads)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for n := range 20 {
		if _, err := (&Client{Replicas: addresses(others)}).Register(ctx, Registration{entry(fmt.Sprint("s-x", n), 500+n), 1, 0}); err != nil {
			t.Fatal(err)
		}
	}
	_, list, err := (&Client{Replicas: []string{wiped.listen}}).List(ctx)
	if err != nil || slices.ContainsFunc(list, func(e Entry) bool { return e.ID == "s-x0" }) {
		t.Errorf("a replica that lost its state receives commits for the earlier one: %v", err)
	}
}

// joinAs sends one join request and returns the body and the status of the response.
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

// readBody reads the body of a response and closes it.
func readBody(t testing.TB, resp *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close() // the body has been read
	return string(text)
}

// A replica that lags behind rejects a reader with a newer generation until it has caught up, so that the
// reader never sees an older state.
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
		t.Errorf("a reader ahead at generation %d gets %s %s, want 503 with Retry-After", ahead, resp.Status, text)
	}
	lagging.cut(all, cutNone)
	w := startWatch(t, lagging.listen, ahead)
	next := register(3)
	if m := w.next(t); m.Snapshot || m.Generation != next {
		t.Errorf("after the replica has caught up, the watch gets %+v, want generation %d", m, next)
	}
}
