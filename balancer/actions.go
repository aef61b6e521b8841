package balancer

import (
	"log/slog"
	"time"
)

// AllPeers is the node index that addresses all other nodes in [Actions.SendPeer].
const AllPeers = -1

// Actions is the interface through which a [Balancer] acts on its host. The host carries out the calls in
// order and must not call back into the balancer during a call.
type Actions interface {
	// SendAttempt starts the request's next attempt. With a timeout of 0, only the client's deadline limits
	// the attempt. If the last byte of the request cannot be written before the clock reads sendBy, the
	// attempt ends as [NotSent]. A sendBy of 0 sets no such bound.
	SendAttempt(requestID, endpointID string, timeout, sendBy time.Duration)
	// Reject answers the request with a rejection. A rejection promises the client that the request had
	// no effect, or that repeating it is harmless.
	Reject(requestID string, retryAfter time.Duration)
	// Fail answers the request with an error, without the promise of a rejection.
	Fail(requestID string)
	// CancelAttempt cancels an attempt in flight. The host still reports its outcome.
	CancelAttempt(requestID string, attempt int)
	// SetTimer schedules one call of [Balancer.TimerFired] with the token.
	SetTimer(token uint64, after time.Duration)
	// HealthCheck sends a health check to an endpoint. The host reports the result through
	// [Balancer.HealthChecked].
	HealthCheck(endpointID string)
	// SendPeer sends a datagram of at most 256 bytes to another node, or to [AllPeers]. The host must
	// copy the message if it needs it after the call.
	SendPeer(node int, message []byte)
	// WatchEndpoints subscribes to changes of the endpoint list, or ends the subscription.
	WatchEndpoints(on bool)
	// Log writes a log line. The message is constant, and the attributes hold the values.
	Log(level slog.Level, message string, attributes ...slog.Attr)
}
