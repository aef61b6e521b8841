package scale

import (
	"math"
	"math/rand/v2"
	"time"
)

// Properties of the platform's links between edge nodes. A link delays or loses messages, and the receiving
// edge node discards messages that exceed the rate limit of its inbox.
const (
	maxMessage   = 256 // maximum length of a message, in bytes
	minLinkDelay = 2 * time.Millisecond
	maxLinkDelay = 15 * time.Millisecond
	linkLoss     = 0.04 // fraction of messages that are lost; the middle of the platform's range of 0 to 0.08
)

// link simulates the link between two edge nodes.
type link struct{ rng *rand.Rand }

// sampleDelivery returns a random delay for a message, and whether the message arrives.
func (l link) sampleDelivery() (time.Duration, bool) {
	delay := minLinkDelay + time.Duration(l.rng.Int64N(int64(maxLinkDelay-minLinkDelay)))
	return delay, l.rng.Float64() >= linkLoss
}

// inbox limits the rate at which an edge node accepts messages. It is a token bucket that holds the
// messages of one second at most.
type inbox struct {
	rate       float64 // messages per second
	tokens     float64
	refilledAt time.Duration // time of the last refill
}

func newInbox(rate float64, now time.Duration) inbox {
	return inbox{rate: rate, tokens: rate, refilledAt: now}
}

// accept reports whether a message that arrives now is accepted. The other messages are discarded.
func (b *inbox) accept(now time.Duration) bool {
	b.tokens = math.Min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// messageKind is the kind of a message between nodes, which is its first byte.
type messageKind byte

// Kinds of messages that are counted separately, as the balancer encodes them.
const (
	messageQuotaRequest messageKind = 1 // a requester asks the owner of a quota for the units of a request
	messageQuotaGrant   messageKind = 2 // the owner's response, granted or not
)

func kindOf(message []byte) messageKind {
	if len(message) == 0 {
		return 0
	}
	return messageKind(message[0])
}
