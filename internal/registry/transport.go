package registry

import (
	"sync"

	"github.com/hashicorp/raft"
)

// transport is Raft's network transport with a Close that waits for heartbeats. Raft handles heartbeats on
// the goroutines of their connections. Neither its Shutdown nor NetworkTransport.Close waits for these
// goroutines, and a heartbeat that is being handled may still write the term to the stable store.
type transport struct {
	*raft.NetworkTransport

	handleMu sync.RWMutex // read-locked while a heartbeat is handled
	closed   bool         // guarded by handleMu
}

var (
	_ raft.Transport   = (*transport)(nil)
	_ raft.WithClose   = (*transport)(nil)
	_ raft.WithPreVote = (*transport)(nil)
)

func newTransport(config *raft.NetworkTransportConfig) *transport {
	return &transport{NetworkTransport: raft.NewNetworkTransportWithConfig(config)}
}

// SetHeartbeatHandler implements raft.Transport. The handler is not called after Close has returned: the
// connection of a later heartbeat ends without a response.
func (t *transport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(heartbeat raft.RPC) {
		t.handleMu.RLock()
		defer t.handleMu.RUnlock()
		if !t.closed {
			handle(heartbeat)
		}
	})
}

// Close implements raft.WithClose. It returns when no heartbeat is being handled.
func (t *transport) Close() error {
	err := t.NetworkTransport.Close()
	t.handleMu.Lock()
	defer t.handleMu.Unlock()
	t.closed = true
	return err
}
