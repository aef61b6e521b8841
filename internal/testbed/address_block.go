package testbed

import (
	"fmt"
	"net"
)

// addressBlock is a range of loopback addresses that one run has to itself: 127.x.0.0/16, claimed
// by a listener, so that many runs go side by side with the same ports.
type addressBlock struct {
	second int
	claim  net.Listener
}

const (
	// Ports of a block. They lie under the range from which the kernel gives ports out.
	claimPort = 18999
	basePort  = 18080
	peerPort  = 17946

	// Second numbers of the addresses of blocks.
	firstNet = 40
	lastNet  = 250

	portAddrs = 250 // addresses of a kind that share a port
)

// claimAddressBlock takes the first range that no other run has.
func claimAddressBlock() (*addressBlock, error) {
	var last error
	for second := firstNet; second <= lastNet; second++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", second, claimPort))
		if err == nil {
			return &addressBlock{second, ln}, nil
		}
		last = err
	}
	return nil, fmt.Errorf("no range of loopback addresses is free for this run: %w", last)
}

// addr is the host of a party; third tells the kind of party.
func (b *addressBlock) addr(third, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.second, third, number+1)
}

// hostPort is the address of a listener; numbers from portAddrs on take another port.
func (b *addressBlock) hostPort(third, number int) string {
	return fmt.Sprintf("%s:%d", b.addr(third, number%portAddrs), basePort+number/portAddrs)
}

// peerPort is the address on which a party takes what its peers send.
func (b *addressBlock) peerPort(third, number int) string {
	return fmt.Sprintf("%s:%d", b.addr(third, number%portAddrs), peerPort+number/portAddrs)
}

// release gives the range back.
func (b *addressBlock) release() { _ = b.claim.Close() }
