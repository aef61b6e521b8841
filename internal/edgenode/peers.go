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

// receiveErrorBackoff is the pause after a failed receive, so that a persistent error does not use up the
// core.
const receiveErrorBackoff = time.Millisecond

// maxPeerMessage is the largest message to a peer, in bytes (protocol, "Between edge nodes").
const maxPeerMessage = 256

// peerSocket is the UDP socket over which edge nodes exchange messages. Its methods are safe for concurrent
// use.
type peerSocket struct {
	conn        *net.UDPConn
	addrs       []netip.AddrPort       // addresses of all edge nodes, by node index
	broadcast   netip.AddrPort         // address that reaches all edge nodes
	nodeIndex   map[netip.AddrPort]int // indexes of the peers, by address
	sendFailing atomic.Bool            // sending the latest message failed
}

// listenPeers opens the socket on the configured address. The caller must close it.
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

// close closes the socket and so ends receive.
func (p *peerSocket) close() { _ = p.conn.Close() }

// sendMessage sends a message to a peer, or to all of them for [balancer.AllPeers]. Delivery is not
// guaranteed. It logs the first of several failures in a row, and the first success after them.
func (p *peerSocket) sendMessage(peer int, message []byte, log *slog.Logger) {
	err := p.write(peer, message)
	switch wasFailing := p.sendFailing.Swap(err != nil); {
	case err != nil && !wasFailing:
		log.Warn("peer message not sent", "err", err)
	case err == nil && wasFailing:
		log.Info("peer messages sent again")
	}
}

// write sends a message and returns an error if the peer is unknown, the message is too long or the socket
// fails.
func (p *peerSocket) write(peer int, message []byte) error {
	to := p.broadcast
	if peer != balancer.AllPeers {
		if peer < 0 || peer >= len(p.addrs) {
			return fmt.Errorf("peer index: must be between 0 and %d, got %d", len(p.addrs)-1, peer)
		}
		to = p.addrs[peer]
	}
	if len(message) > maxPeerMessage {
		return fmt.Errorf("message to peer %d: must be at most %d bytes, got %d",
			peer, maxPeerMessage, len(message))
	}
	_, err := p.conn.WriteToUDPAddrPort(message, to)
	return err
}

// receive passes the messages of peers to deliver until the socket is closed. It drops datagrams from unknown
// addresses and those over maxPeerMessage; the balancer drops malformed messages. deliver must not keep the
// message.
func (p *peerSocket) receive(deliver func(from int, message []byte)) {
	buf := make([]byte, maxPeerMessage+1)
	for {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // includes ICMP errors, caused by a datagram sent to a peer that is down
			time.Sleep(receiveErrorBackoff)
			continue
		}
		from, known := p.nodeIndex[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if known && n <= maxPeerMessage {
			deliver(from, buf[:n])
		}
	}
}
