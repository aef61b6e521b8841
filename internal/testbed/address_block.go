package testbed

import (
	"fmt"
	"net"
)

// addressBlock is a range of loopback addresses, 127.x.0.0/16, that one run uses exclusively. An open
// listener claims the range, so that concurrent runs can use the same ports on different addresses.
type addressBlock struct {
	secondOctet int
	claim       net.Listener // held open until the block is released
}

const (
	// Ports used in a block. They are below the kernel's range of ephemeral ports.
	claimPort    = 18999
	basePort     = 18080
	basePeerPort = 17946

	// Range of the second octet of the addresses of blocks.
	firstSecondOctet = 40
	lastSecondOctet  = 250

	addrsPerPort = 250 // number of addresses with the same third octet and port
)

// claimAddressBlock claims the first block that no other run uses. It fails if all blocks are in use.
func claimAddressBlock() (*addressBlock, error) {
	var lastErr error
	for octet := firstSecondOctet; octet <= lastSecondOctet; octet++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, claimPort))
		if err == nil {
			return &addressBlock{octet, ln}, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no free block of loopback addresses for this run: %w", lastErr)
}

// addr returns the IP address of a party. The third octet identifies the kind of party, the number
// selects one of that kind.
func (b *addressBlock) addr(thirdOctet, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.secondOctet, thirdOctet, number+1)
}

// hostPort returns the address on which a party serves requests. Numbers from addrsPerPort on reuse
// the IP addresses with the next ports.
func (b *addressBlock) hostPort(thirdOctet, number int) string {
	return fmt.Sprintf("%s:%d", b.addr(thirdOctet, number%addrsPerPort), basePort+number/addrsPerPort)
}

// peerHostPort returns the address on which a party receives messages from its peers.
func (b *addressBlock) peerHostPort(thirdOctet, number int) string {
	return fmt.Sprintf("%s:%d", b.addr(thirdOctet, number%addrsPerPort), basePeerPort+number/addrsPerPort)
}

// release makes the block available to other runs.
func (b *addressBlock) release() { _ = b.claim.Close() }
