package registry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"opalhook/internal/testbed"
	"opalhook/internal/testnet"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// member is one replica as a process, which may be killed, stopped and started again.
type testReplica struct {
	t            testing.TB
	dir          string
	listen, raft string
	cmd          *exec.Cmd
	log          string
	joins        float64                        // watches that may be opened a second; 0: as the service has it
	env          []string                       // more of it
	via          map[string]string              // to the others, through links
	links        map[*testReplica]*testbed.Link // the same, by the other
}

func newMember(t testing.TB) *testReplica {
	m := &testReplica{t: t, dir: t.TempDir(), listen: testnet.FreeAddr(t), raft: testnet.FreeAddr(t)}
	m.log = filepath.Join(t.TempDir(), "log")
	t.Cleanup(m.kill)
	return m
}

// start starts the process and waits until it answers.
func (m *testReplica) start(join string) {
	m.t.Helper()
	text, err := json.Marshal(map[string]any{"Dir": m.dir, "Listen": m.listen, "Raft": m.raft, "Join": join, "Via": m.via, "Joins": m.joins})
	if err != nil {
		m.t.Fatal(err)
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.t.Fatal(err)
	}
	defer log.Close()
	m.cmd = exec.Command(os.Args[0])
	m.cmd.Env = append(append(os.Environ(), replicaEnv+"="+string(text)), m.env...)
	m.cmd.Stderr = log
	if _, err := m.cmd.StdinPipe(); err != nil { // open for as long as this process lives
		m.t.Fatal(err)
	}
	if err := m.cmd.Start(); err != nil {
		m.t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + m.listen + "/registry/status"); err == nil {
			resp.Body.Close()
			return
		}
		if time.Now().After(end) {
			text, _ := os.ReadFile(m.log)
			m.t.Fatalf("replica never answers: %s", text)
		}
	}
}

// connect puts links between all replicas, each direction apart.
func connect(t testing.TB, all []*testReplica) {
	t.Helper()
	for _, a := range all {
		a.via, a.links = map[string]string{}, map[*testReplica]*testbed.Link{}
		for i, b := range all {
			if a == b {
				continue
			}
			l, err := testbed.NewLink(b.raft, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			a.via[b.raft], a.links[b] = l.Addr(), l
		}
	}
}

// cut cuts what goes from a replica to the others, and what comes from them, or heals both.
func (m *testReplica) cut(all []*testReplica, out, in bool) {
	m.t.Helper()
	for _, b := range all {
		if b == m {
			continue
		}
		// A connection carries its maker's requests one way and the answers the other.
		err := errors.Join(m.links[b].Set(testbed.LinkState{Cut: out}, testbed.LinkState{Cut: in}), b.links[m].Set(testbed.LinkState{Cut: in}, testbed.LinkState{Cut: out}))
		if err != nil {
			m.t.Fatal(err)
		}
	}
}

// kill ends the process at once, whatever it is at.
func (m *testReplica) kill() {
	if m.cmd != nil {
		m.cmd.Process.Kill()
		m.cmd.Wait()
		m.cmd = nil
	}
}

// leads tells whether the replica says that it leads.
func (m *testReplica) leads() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.listen + "/registry/status")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var s Status
	return json.NewDecoder(resp.Body).Decode(&s) == nil && s.State == "leader"
}

// service starts replicas with links between them and waits until each knows all.
func startService(t testing.TB, n int) (all []*testReplica) {
	t.Helper()
	for range n {
		all = append(all, newMember(t))
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
	waitFor(t, "every replica knows all", func() bool {
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

// leaderOf waits for a replica that says that it leads.
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

// sameLists waits until all replicas hold one list.
func sameLists(t testing.TB, all []*testReplica) {
	t.Helper()
	waitFor(t, "all replicas hold one list", func() bool {
		texts := map[string]bool{}
		for _, m := range all {
			resp, err := http.Get("http://" + m.listen + "/registry/instances")
			if err != nil {
				return false
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				return false
			}
			texts[string(text)] = true
		}
		return len(texts) == 1
	})
}
