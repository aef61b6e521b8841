package registry

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// gatedStore is a stable store whose write of a given term waits until it is let go.
type gatedStore struct {
	raft.StableStore
	term    uint64
	entered chan struct{}
	release chan struct{}
}

// SetUint64 implements raft.StableStore.
func (g *gatedStore) SetUint64(key []byte, value uint64) error {
	if string(key) == "CurrentTerm" && value == g.term {
		close(g.entered)
		<-g.release
	}
	return g.StableStore.SetUint64(key, value)
}

// testStream is a listener of replicas for a name.
func testStream(t *testing.T, name string) streamLayer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return streamLayer{Listener: ln, name: name}
}

// testLeader sends heartbeats as the leader of a service does, over one connection while that lasts.
type testLeader struct{ *raft.NetworkTransport }

func newTestLeader(t *testing.T) testLeader {
	t.Helper()
	leader := testLeader{raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: testStream(t, "leader"), MaxPool: 1, Timeout: testTimeout, Logger: discardLogger(),
	})}
	t.Cleanup(func() {
		_ = leader.Close() // it fails nothing that is tested
		leader.CloseStreams()
	})
	return leader
}

// heartbeat returns when it is answered or its connection ends.
func (l testLeader) heartbeat(to raft.ServerAddress, term uint64) error {
	header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("leader"), Addr: []byte(l.LocalAddr())}
	request := &raft.AppendEntriesRequest{RPCHeader: header, Term: term}
	return l.AppendEntries("replica", to, request, new(raft.AppendEntriesResponse))
}

// A heartbeat of a new leader that is being handled as a replica closes is handled to its end: the replica's files
// stay open for the term that it writes.
func TestCloseWaitsForHeartbeat(t *testing.T) {
	const newTerm = 1000 // that no election of this replica reaches
	store := &gatedStore{term: newTerm, entered: make(chan struct{}), release: make(chan struct{})}
	s := startReplica(t, t.TempDir(), "", func(c *Config) {
		c.WrapStores = func(logs raft.LogStore, stable raft.StableStore) (raft.LogStore, raft.StableStore) {
			store.StableStore = stable
			return logs, store
		}
	})
	waitFor(t, "the replica leads", s.IsLeader)
	answered := make(chan error, 1)
	leader := newTestLeader(t)
	go func() { answered <- leader.heartbeat(s.transport.LocalAddr(), newTerm) }()
	<-store.entered
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	// Let go once Close waits for the heartbeat; a Close that does not wait is over by then, and its files with it.
	for early := false; !early && s.transport.handleMu.TryRLock(); {
		s.transport.handleMu.RUnlock()
		select {
		case err := <-closed:
			closed <- err
			early = true
			t.Error("closed while a heartbeat was handled")
		default:
			runtime.Gosched()
		}
	}
	close(store.release)
	for what, ended := range map[string]chan error{"the heartbeat is over": answered, "the replica has closed": closed} {
		select {
		case err := <-ended:
			t.Logf("%s, error %v", what, err) // the heartbeat may have lost its connection
		case <-time.After(testTimeout):
			t.Fatalf("never: %s", what)
		}
	}
	if term, err := s.store.GetUint64([]byte("CurrentTerm")); err == nil {
		t.Errorf("the store is open behind Close, term %d", term)
	}
}

// A heartbeat that comes on an open connection once the transport has closed is not handled.
func TestHeartbeatAfterCloseIsDropped(t *testing.T) {
	trans := newTransport(&raft.NetworkTransportConfig{Stream: testStream(t, "replica"), MaxPool: 1, Timeout: testTimeout, Logger: discardLogger()})
	defer func() { _ = trans.Close() }() // where the test fails before it closes it
	var handled atomic.Int32
	trans.SetHeartbeatHandler(func(heartbeat raft.RPC) {
		handled.Add(1)
		heartbeat.Respond(&raft.AppendEntriesResponse{Success: true}, nil)
	})
	leader := newTestLeader(t)
	if err := leader.heartbeat(trans.LocalAddr(), 1); err != nil {
		t.Fatal(err)
	}
	if err := trans.Close(); err != nil {
		t.Fatal(err)
	}
	if err := leader.heartbeat(trans.LocalAddr(), 1); err == nil {
		t.Error("a heartbeat behind the close is answered")
	}
	if n := handled.Load(); n != 1 {
		t.Errorf("%d heartbeats handled, 1 before the close", n)
	}
}
