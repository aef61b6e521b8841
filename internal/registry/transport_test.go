package registry

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// blockingStore is a stable store in which the write of one term blocks until release is closed.
type blockingStore struct {
	raft.StableStore
	term    uint64        // term whose write blocks
	entered chan struct{} // closed when that write has begun
	release chan struct{} // closed to let the write continue
}

// SetUint64 implements raft.StableStore.
func (g *blockingStore) SetUint64(key []byte, value uint64) error {
	if string(key) == "CurrentTerm" && value == g.term {
		close(g.entered)
		<-g.release
	}
	return g.StableStore.SetUint64(key, value)
}

// testStream returns a stream layer that listens on a free port, for a replica with the given name.
func testStream(t *testing.T, name string) streamLayer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return streamLayer{Listener: ln, name: name}
}

// testLeader sends heartbeats like the leader of a service. It uses one connection while that is open.
type testLeader struct{ *raft.NetworkTransport }

func newTestLeader(t *testing.T) testLeader {
	t.Helper()
	leader := testLeader{raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: testStream(t, "leader"), MaxPool: 1, Timeout: testTimeout, Logger: discardLogger(),
	})}
	t.Cleanup(func() {
		_ = leader.Close() // an error here does not affect the test
		leader.CloseStreams()
	})
	return leader
}

// heartbeat sends a heartbeat and returns when the response arrives or the connection ends.
func (l testLeader) heartbeat(to raft.ServerAddress, term uint64) error {
	header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("leader"), Addr: []byte(l.LocalAddr())}
	request := &raft.AppendEntriesRequest{RPCHeader: header, Term: term}
	return l.AppendEntries("replica", to, request, new(raft.AppendEntriesResponse))
}

// Guards against closing the log file during a write: Close must wait for a heartbeat that is being handled,
// since the heartbeat of a new leader writes its term to the stable store.
func TestCloseWaitsForHeartbeat(t *testing.T) {
	const newTerm = 1000 // no election of this replica reaches this term
	store := &blockingStore{term: newTerm, entered: make(chan struct{}), release: make(chan struct{})}
	s := startReplica(t, t.TempDir(), "", func(c *Config) {
		c.WrapStores = func(logs raft.LogStore, stable raft.StableStore) (raft.LogStore, raft.StableStore) {
			store.StableStore = stable
			return logs, store
		}
	})
	waitFor(t, "the replica leads", s.IsLeader)
	responded := make(chan error, 1)
	leader := newTestLeader(t)
	go func() { responded <- leader.heartbeat(s.transport.LocalAddr(), newTerm) }()
	<-store.entered
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	// Let the heartbeat continue once Close waits for it, which makes TryRLock fail. A Close that does not
	// wait has returned by then and has closed the files.
	for early := false; !early && s.transport.handleMu.TryRLock(); {
		s.transport.handleMu.RUnlock()
		select {
		case err := <-closed:
			closed <- err
			early = true
			t.Error("the replica closed while a heartbeat was being handled")
		default:
			runtime.Gosched()
		}
	}
	close(store.release)
	for what, ended := range map[string]chan error{"the heartbeat has ended": responded, "the replica has closed": closed} {
		select {
		case err := <-ended:
			t.Logf("%s, error %v", what, err) // the heartbeat may have lost its connection
		case <-time.After(testTimeout):
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
	if term, err := s.store.GetUint64([]byte("CurrentTerm")); err == nil {
		t.Errorf("the store is still open after Close, with term %d", term)
	}
}

// A heartbeat that arrives on an open connection after the transport has closed must not be handled.
func TestHeartbeatAfterCloseIsDropped(t *testing.T) {
	trans := newTransport(&raft.NetworkTransportConfig{Stream: testStream(t, "replica"), MaxPool: 1, Timeout: testTimeout, Logger: discardLogger()})
	defer func() { _ = trans.Close() }() // in case the test fails before it closes the transport
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
		t.Error("a heartbeat after the close gets a response")
	}
	if n := handled.Load(); n != 1 {
		t.Errorf("%d heartbeats handled, want only the one before the close", n)
	}
}
