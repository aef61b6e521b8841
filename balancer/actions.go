package balancer

import (
	"log/slog"
	"time"
)

// AllPeers means every other node, as the node of [Actions.SendPeer].
const AllPeers = -1

// Actions is what a [Balancer] asks of its host. The host carries out each call in order, and does not
// call back into the balancer meanwhile.
type Actions interface {
	// SendAttempt starts the request's next attempt. A timeout of 0 lasts until the client's deadline.
	// The last byte of the request has to be written before the clock reads sendBy, or the attempt ends
	// as [NotSent]; 0 sets no such bound.
	SendAttempt(requestID, endpointID string, timeout, sendBy time.Duration)
	// Reject answers the request. It promises the client that the request had no effect, or that
	// repeating it is harmless.
	Reject(requestID string, retryAfter time.Duration)
	// Fail answers the request without that promise.
	Fail(requestID string)
	// CancelAttempt stops waiting for an attempt. Its outcome still arrives.
	CancelAttempt(requestID string, attempt int)
	// SetTimer asks for one call of [Balancer.TimerFired] with the token.
	SetTimer(token uint64, after time.Duration)
	// HealthCheck checks an endpoint; [Balancer.HealthChecked] brings the result.
	HealthCheck(endpointID string)
	// SendPeer sends a datagram of at most 256 bytes to another node, or to [AllPeers]. The host copies
	// what it keeps of the message.
	SendPeer(node int, message []byte)
	// WatchEndpoints subscribes to changes of the endpoint list.
	WatchEndpoints(on bool)
	// Log writes a log line. The message is constant; what varies is in the attributes.
	Log(level slog.Level, message string, attributes ...slog.Attr)
}
