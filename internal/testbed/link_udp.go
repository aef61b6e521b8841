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

// udpRelay carries the datagrams between nodes. Node i writes to peers[j] to reach node j, and
// what reaches j comes from peers[i]: one socket for each node is enough, since the source
// tells who wrote and the socket who is meant.
type udpRelay struct {
	env   *environment
	peers []string
	all   string
	socks []*net.UDPConn // by node; the last is for all

	mu     sync.Mutex
	rng    *rand.Rand
	from   map[netip.AddrPort]int
	homes  []netip.AddrPort     // where each node listens
	links  map[[2]int]LinkState // from, to
	loss   float64
	inbox  []float64 // datagrams that each node can still take in
	inAt   []time.Duration
	counts struct{ sent, lost, refused int } // datagrams
}

func startUDPRelay(env *environment, block string) (*udpRelay, error) {
	n := env.scenario.Fleet.Nodes
	u := &udpRelay{
		env: env, rng: random(env.seed, streamLinks), from: map[netip.AddrPort]int{}, links: map[[2]int]LinkState{}, loss: env.scenario.Fleet.PeerLoss,
		inbox: make([]float64, n), inAt: make([]time.Duration, n), homes: make([]netip.AddrPort, n),
	}
	for i := range n + 1 {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(block)})
		if err != nil {
			u.close()
			return nil, fmt.Errorf("relay of datagrams: %w", err)
		}
		u.socks = append(u.socks, c)
		if addr := c.LocalAddr().String(); i < n {
			u.peers = append(u.peers, addr)
		} else {
			u.all = addr
		}
	}
	for to, c := range u.socks {
		env.work.Go(func() { u.carry(to, c) })
	}
	return u, nil
}

// join says where a node listens.
func (u *udpRelay) join(node int, addr netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.from, u.homes[node])
	u.homes[node], u.from[addr] = addr, node
}

func (u *udpRelay) carry(to int, c *net.UDPConn) {
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
		from, known := u.from[netip.AddrPortFrom(src.Addr().Unmap(), src.Port())]
		u.mu.Unlock()
		if !known {
			continue
		}
		if n > 256 {
			u.env.fail(fmt.Errorf("node %d sent a datagram of more than 256 bytes", from))
			return
		}
		msg := append([]byte(nil), buf[:n]...)
		if to < len(u.homes) {
			u.deliver(from, to, msg)
			continue
		}
		for other := range u.homes {
			if other != from {
				u.deliver(from, other, msg)
			}
		}
	}
}

// deliver sends a datagram on, late, unless it is lost or the one it is for takes no more.
func (u *udpRelay) deliver(from, to int, msg []byte) {
	u.mu.Lock()
	u.counts.sent++
	now := u.env.now()
	rate := u.env.scenario.Fleet.PeerMessagesPerSecond
	u.inbox[to] = min(u.inbox[to]+rate*(now-u.inAt[to]).Seconds(), rate)
	u.inAt[to] = now
	link := u.links[[2]int{from, to}]
	switch {
	case link.Cut || u.rng.Float64() < u.loss || u.rng.Float64() < link.Loss:
		u.counts.lost++
		u.mu.Unlock()
		return
	case u.inbox[to] < 1:
		u.counts.refused++
		u.mu.Unlock()
		return
	}
	u.inbox[to]--
	home := u.homes[to]
	d := time.Duration((0.5+u.rng.Float64())*float64(u.env.scenario.Fleet.PeerDelay)) + link.Delay
	u.mu.Unlock()
	// A datagram that can't be sent is lost, as others are.
	u.env.after(d, func() { _, _ = u.socks[from].WriteToUDPAddrPort(msg, home) })
}

func (u *udpRelay) set(from, to int, change func(*LinkState)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.links[[2]int{from, to}]
	change(&l)
	u.links[[2]int{from, to}] = l
}

func (u *udpRelay) setLoss(loss float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loss = loss
}

func (u *udpRelay) close() {
	for _, c := range u.socks {
		_ = c.Close()
	}
}
