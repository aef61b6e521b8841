package scale

import (
	"math"
	"math/rand/v2"
	"time"
)

// Peer links, as the platform has them: a message is late, or lost, and an edge node discards what
// arrives faster than its inbox takes.
const (
	maxMessage   = 256 // bytes of a datagram
	minLinkDelay = 2 * time.Millisecond
	maxLinkDelay = 15 * time.Millisecond
	linkLoss     = 0.04 // the middle of what the platform may lose, 0 to 0.08
)

// link draws how a message crosses from one edge node to another.
type link struct{ rng *rand.Rand }

// send returns the delay of one message, or false for one that is lost.
func (l link) send() (time.Duration, bool) {
	delay := minLinkDelay + time.Duration(l.rng.Int64N(int64(maxLinkDelay-minLinkDelay)))
	return delay, l.rng.Float64() >= linkLoss
}

// inbox is the bounded reader of an edge node: a token bucket that holds one second's messages.
type inbox struct {
	rate   float64 // messages a second
	tokens float64
	at     time.Duration
}

func newInbox(rate float64, now time.Duration) inbox {
	return inbox{rate: rate, tokens: rate, at: now}
}

// accept tells whether a message is taken in; it is discarded otherwise.
func (b *inbox) accept(now time.Duration) bool {
	b.tokens = math.Min(b.tokens+b.rate*(now-b.at).Seconds(), b.rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// messageKind is the first byte of a message between nodes, which says what it is.
type messageKind byte

// Kinds of messages that are counted apart, as the balancer encodes them.
const (
	messageQuotaRequest messageKind = 1 // a node asks the quota's owner for a request's units
	messageQuotaGrant   messageKind = 2 // and is answered
)

func kindOf(message []byte) messageKind {
	if len(message) == 0 {
		return 0
	}
	return messageKind(message[0])
}
