package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// udpRelay forwards the datagrams between nodes. It has one relay address for each node. To reach a node,
// another node sends to the recipient's relay address. The datagram arrives from the sender's relay address.
// One socket per node is enough: a datagram's source address identifies the sender, and the socket that
// receives it identifies the recipient.
type udpRelay struct {
	env           *environment
	peerAddrs     []string       // relay address of each node
	broadcastAddr string         // relay address that reaches all other nodes
	sockets       []*net.UDPConn // by node; the last one receives the datagrams for all nodes

	mu             sync.Mutex
	rng            *rand.Rand
	nodeByAddr     map[netip.AddrPort]int
	nodeAddrs      []netip.AddrPort                  // address on which each node listens
	links          map[[2]int]LinkState              // by sender and recipient
	loss           float64                           // fraction of the datagrams lost on any link
	inboxTokens    []float64                         // number of datagrams that each node may receive now
	inboxUpdatedAt []time.Duration                   // time of the last update of each node's inboxTokens
	counts         struct{ sent, lost, refused int } // numbers of datagrams; refused: over the recipient's rate
}

// startUDPRelay opens the relay's sockets on the IP address ip and starts to forward datagrams.
func startUDPRelay(env *environment, ip string) (*udpRelay, error) {
	n := env.scenario.Fleet.Nodes
	u := &udpRelay{
		env: env, rng: random(env.seed, streamLinks), nodeByAddr: map[netip.AddrPort]int{}, links: map[[2]int]LinkState{}, loss: env.scenario.Fleet.PeerLoss,
		inboxTokens: make([]float64, n), inboxUpdatedAt: make([]time.Duration, n), nodeAddrs: make([]netip.AddrPort, n),
	}
	for i := range n + 1 {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
		if err != nil {
			u.close()
			return nil, fmt.Errorf("UDP relay: %w", err)
		}
		u.sockets = append(u.sockets, c)
		if addr := c.LocalAddr().String(); i < n {
			u.peerAddrs = append(u.peerAddrs, addr)
		} else {
			u.broadcastAddr = addr
		}
	}
	for to, c := range u.sockets {
		env.goroutines.Go(func() { u.serve(to, c) })
	}
	return u, nil
}

// setNodeAddr sets the address on which a node receives datagrams. It replaces the previous one.
func (u *udpRelay) setNodeAddr(node int, addr netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.nodeByAddr, u.nodeAddrs[node])
	u.nodeAddrs[node], u.nodeByAddr[addr] = addr, node
}

// serve forwards the datagrams that arrive at one socket. They are for the node with the number to, or for
// all nodes except the sender if to is the number of nodes. serve drops datagrams from unknown senders, and
// aborts the run if a node sends a datagram of more than 256 bytes.
func (u *udpRelay) serve(to int, c *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, src, err := c.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		u.mu.Lock()
		from, known := u.nodeByAddr[netip.AddrPortFrom(src.Addr().Unmap(), src.Port())]
		u.mu.Unlock()
		if !known {
			continue
		}
		if n > 256 {
			u.env.fail(fmt.Errorf("node %d sent a datagram of more than 256 bytes", from))
			return
		}
		msg := append([]byte(nil), buf[:n]...)
		if to < len(u.nodeAddrs) {
			u.deliver(from, to, msg)
			continue
		}
		for recipient := range u.nodeAddrs {
			if recipient != from {
				u.deliver(from, recipient, msg)
			}
		}
	}
}

// deliver forwards a datagram after the link's delay, unless the datagram is lost or exceeds the recipient's
// rate limit.
func (u *udpRelay) deliver(from, to int, msg []byte) {
	u.mu.Lock()
	u.counts.sent++
	now := u.env.now()
	rate := u.env.scenario.Fleet.PeerMessagesPerSecond
	u.inboxTokens[to] = min(u.inboxTokens[to]+rate*(now-u.inboxUpdatedAt[to]).Seconds(), rate)
	u.inboxUpdatedAt[to] = now
	link := u.links[[2]int{from, to}]
	switch {
	case link.Cut || u.rng.Float64() < u.loss || u.rng.Float64() < link.Loss:
		u.counts.lost++
		u.mu.Unlock()
		return
	case u.inboxTokens[to] < 1:
		u.counts.refused++
		u.mu.Unlock()
		return
	}
	u.inboxTokens[to]--
	addr := u.nodeAddrs[to]
	d := time.Duration((0.5+u.rng.Float64())*float64(u.env.scenario.Fleet.PeerDelay)) + link.Delay
	u.mu.Unlock()
	// A datagram that cannot be sent is lost, like any other lost datagram.
	u.env.after(d, func() { _, _ = u.sockets[from].WriteToUDPAddrPort(msg, addr) })
}

// set changes the state of the link from one node to another.
func (u *udpRelay) set(from, to int, change func(*LinkState)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.links[[2]int{from, to}]
	change(&l)
	u.links[[2]int{from, to}] = l
}

// setLoss sets the fraction of datagrams that are lost on every link, in addition to the links' own losses.
func (u *udpRelay) setLoss(loss float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loss = loss
}

func (u *udpRelay) close() {
	for _, c := range u.sockets {
		_ = c.Close()
	}
}
