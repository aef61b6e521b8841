package registry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"opalhook/internal/testbed"
	"opalhook/internal/testnet"
)

// testReplica is a replica that runs as a process and can be killed, suspended and started again.
type testReplica struct {
	t                   testing.TB
	dir                 string
	listen, raft        string
	cmd                 *exec.Cmd
	logPath             string
	watchOpensPerSecond float64                        // Config.WatchOpensPerSecond
	env                 []string                       // additional environment variables
	dialVia             map[string]string              // link address by Raft address of the other replica
	links               map[*testReplica]*testbed.Link // links to the other replicas
}

// newTestReplica reserves addresses and folders for a replica. It does not start the process.
func newTestReplica(t testing.TB) *testReplica {
	m := &testReplica{t: t, dir: t.TempDir(), listen: testnet.FreeAddr(t), raft: testnet.FreeAddr(t)}
	m.logPath = filepath.Join(t.TempDir(), "log")
	t.Cleanup(m.kill)
	return m
}

// start starts the process and waits until it responds.
func (m *testReplica) start(join string) {
	m.t.Helper()
	settings := replicaSettings{Dir: m.dir, Listen: m.listen, Raft: m.raft, Join: join, DialVia: m.dialVia, WatchOpensPerSecond: m.watchOpensPerSecond}
	text, err := json.Marshal(settings)
	if err != nil {
		m.t.Fatal(err)
	}
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	m.cmd = exec.Command(os.Args[0])
	m.cmd.Env = append(append(os.Environ(), replicaEnv+"="+string(text)), m.env...)
	m.cmd.Stderr = log
	if _, err := m.cmd.StdinPipe(); err != nil { // stays open until this process ends
		m.t.Fatal(err)
	}
	if err := m.cmd.Start(); err != nil {
		m.t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + m.listen + "/registry/status"); err == nil {
			_ = resp.Body.Close() // any response will do
			return
		}
		if time.Now().After(end) {
			text, _ := os.ReadFile(m.logPath)
			m.t.Fatalf("the replica does not respond: %s", text)
		}
	}
}

// connect puts links between all replicas, one for each direction of dialing.
func connect(t testing.TB, all []*testReplica) {
	t.Helper()
	for _, a := range all {
		a.dialVia, a.links = map[string]string{}, map[*testReplica]*testbed.Link{}
		for i, b := range all {
			if a == b {
				continue
			}
			l, err := testbed.NewLink(b.raft, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			a.dialVia[b.raft], a.links[b] = l.Addr(), l
		}
	}
}

// linkCut says which of a replica's links to the others are cut, by the direction of the data.
type linkCut int

const (
	cutNone linkCut = iota
	cutOutgoing
	cutIncoming
	cutBoth
)

// cut cuts the links of a replica to and from the others, or restores them.
func (m *testReplica) cut(all []*testReplica, cut linkCut) {
	m.t.Helper()
	out := testbed.LinkState{Cut: cut == cutOutgoing || cut == cutBoth}
	in := testbed.LinkState{Cut: cut == cutIncoming || cut == cutBoth}
	for _, b := range all {
		if b == m {
			continue
		}
		// A connection carries requests from its dialer and responses to its dialer.
		if err := errors.Join(m.links[b].Set(out, in), b.links[m].Set(in, out)); err != nil {
			m.t.Fatal(err)
		}
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (m *testReplica) kill() {
	if m.cmd != nil {
		_ = m.cmd.Process.Kill() // the process may have ended already
		_ = m.cmd.Wait()         // the status only reflects the kill
		m.cmd = nil
	}
}

// leads reports whether the replica's status says that it is the leader.
func (m *testReplica) leads() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.listen + "/registry/status")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var s Status
	return json.NewDecoder(resp.Body).Decode(&s) == nil && s.State == "leader"
}

// startService starts n replicas with links between them and waits until each of them knows all.
func startService(t testing.TB, n int) (all []*testReplica) {
	t.Helper()
	for range n {
		all = append(all, newTestReplica(t))
	}
	connect(t, all)
	for i, m := range all {
		if i == 0 {
			m.start("")
		} else {
			m.start(all[0].listen)
		}
	}
	leaderOf(t, all)
	waitFor(t, "every replica knows all replicas", func() bool {
		sts, errs := (&Client{Replicas: addresses(all)}).Status(t.Context())
		known := errors.Join(errs...) == nil
		for _, st := range sts {
			known = known && len(st.Replicas) == n
		}
		return known
	})
	return all
}

func addresses(all []*testReplica) (out []string) {
	for _, m := range all {
		out = append(out, m.listen)
	}
	return out
}

// leaderOf waits until one of the replicas reports that it is the leader.
func leaderOf(t testing.TB, all []*testReplica) (m *testReplica) {
	t.Helper()
	waitFor(t, "a leader", func() bool {
		for _, c := range all {
			if c.leads() {
				m = c
				return true
			}
		}
		return false
	})
	return m
}

// waitForSameList waits until all replicas have the same list.
func waitForSameList(t testing.TB, all []*testReplica) {
	t.Helper()
	waitFor(t, "all replicas have the same list", func() bool {
		texts := map[string]bool{}
		for _, m := range all {
			resp, err := http.Get("http://" + m.listen + "/registry/instances")
			if err != nil {
				return false
			}
			text, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil {
				return false
			}
			texts[string(text)] = true
		}
		return len(texts) == 1
	})
}
