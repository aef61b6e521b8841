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

// receiveErrorBackoff is waited after an error of the socket.
const receiveErrorBackoff = time.Millisecond

// maxPeerMessage is the longest datagram that may be sent to a peer.
const maxPeerMessage = 256

// peerSocket is the datagram socket over which edge nodes message one another.
type peerSocket struct {
	conn        *net.UDPConn
	addrs       []netip.AddrPort
	broadcast   netip.AddrPort
	nodeIndex   map[netip.AddrPort]int
	sendFailing atomic.Bool // the latest message could not be sent
}

// listenPeers opens the socket.
func listenPeers(c *Config) (*peerSocket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.PeerListen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &peerSocket{conn: conn, addrs: c.Peers, broadcast: c.PeersAll, nodeIndex: map[netip.AddrPort]int{}}
	for i, a := range c.Peers {
		if i != c.Settings.NodeIndex {
			p.nodeIndex[a] = i
		}
	}
	return p, nil
}

// sendMessage sends a message. A lost one is part of the contract; that messages can't be
// sent is logged once, and so is that they can again.
func (p *peerSocket) sendMessage(peer int, message []byte, log *slog.Logger) {
	err := p.write(peer, message)
	if was := p.sendFailing.Swap(err != nil); err != nil && !was {
		log.Warn("peers: can't send", "err", err)
	} else if err == nil && was {
		log.Info("peers: sending again")
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

// receive hands on what peers send until the socket is closed. A datagram from
// an unknown address or over the limit is dropped; the module drops malformed ones.
func (p *peerSocket) receive(hear func(from int, message []byte)) {
	buf := make([]byte, maxPeerMessage+1)
	for {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A peer that is down may answer a datagram with an ICMP error, which ends up here. The
			// pause keeps an error that stays from taking the core.
			time.Sleep(receiveErrorBackoff)
			continue
		}
		from, known := p.nodeIndex[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if known && n <= maxPeerMessage {
			hear(from, buf[:n])
		}
	}
}
