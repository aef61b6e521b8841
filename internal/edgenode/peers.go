package edgenode

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"opalhook/balancer"
)

// receiveErrorBackoff is waited after a socket error, so that a persistent one does not take the core.
const receiveErrorBackoff = time.Millisecond

// maxPeerMessage is the largest datagram that may be sent to a peer, in bytes (protocol, "Between edge nodes").
const maxPeerMessage = 256

// peerSocket is the datagram socket over which edge nodes message one another.
type peerSocket struct {
	conn        *net.UDPConn
	addrs       []netip.AddrPort // by node index
	broadcast   netip.AddrPort
	nodeIndex   map[netip.AddrPort]int // of each other node
	sendFailing atomic.Bool            // the latest message could not be sent
}

// listenPeers opens the socket. The caller closes it.
func listenPeers(c *Config) (*peerSocket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.PeerListen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &peerSocket{conn: conn, addrs: c.Peers, broadcast: c.PeersAll, nodeIndex: map[netip.AddrPort]int{}}
	for i, addr := range c.Peers {
		if i != c.Settings.NodeIndex {
			p.nodeIndex[addr] = i
		}
	}
	return p, nil
}

// close closes the socket, which ends receive.
func (p *peerSocket) close() { _ = p.conn.Close() }

// sendMessage sends a message, which may get lost. That messages can't be sent is logged once, and once more
// when they can again.
func (p *peerSocket) sendMessage(peer int, message []byte, log *slog.Logger) {
	err := p.write(peer, message)
	switch wasFailing := p.sendFailing.Swap(err != nil); {
	case err != nil && !wasFailing:
		log.Warn("peer message not sent", "err", err)
	case err == nil && wasFailing:
		log.Info("peer messages sent again")
	}
}

func (p *peerSocket) write(peer int, message []byte) error {
	to := p.broadcast
	if peer != balancer.AllPeers {
		if peer < 0 || peer >= len(p.addrs) {
			return fmt.Errorf("message to unknown peer %d", peer)
		}
		to = p.addrs[peer]
	}
	if len(message) > maxPeerMessage {
		return fmt.Errorf("message of %d bytes to peer %d", len(message), peer)
	}
	_, err := p.conn.WriteToUDPAddrPort(message, to)
	return err
}

// receive passes on what peers send until the socket is closed. A datagram from an unknown address or over the
// limit is dropped; the balancer drops malformed ones.
func (p *peerSocket) receive(deliver func(from int, message []byte)) {
	buf := make([]byte, maxPeerMessage+1)
	for {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // also an ICMP error that answers a datagram to a peer that is down
			time.Sleep(receiveErrorBackoff)
			continue
		}
		from, known := p.nodeIndex[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if known && n <= maxPeerMessage {
			deliver(from, buf[:n])
		}
	}
}
