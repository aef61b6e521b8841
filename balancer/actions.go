package balancer

import (
	"log/slog"
	"time"
)

// AllPeers as the peer of a [Actions.Tell] means every other gateway.
const AllPeers = -1

// Actions is what a gateway asks of its host.
type Actions interface {
	// SendAttempt starts the request's next attempt. A timeout of 0 lasts to the client's deadline. Its last
	// byte
	// has to be on its way at the clock reading by, or the attempt is [Moot]; 0 sets no such bound.
	SendAttempt(id, server string, timeout, by time.Duration)
	// Reject is a final answer: nothing happened and trying again is harmless.
	Reject(id string, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id string)
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt(id string, attempt int)
	// SetTimer asks for one call of [Gateway.Timer] with the token.
	SetTimer(token uint64, after time.Duration)
	// HealthCheck asks a server for its load; [Gateway.Probed] brings it.
	HealthCheck(server string)
	// SendPeer sends at most 256 bytes to a peer. The host copies what it keeps of the message.
	SendPeer(peer int, message []byte)
	// WatchEndpoints subscribes to changes of the list.
	WatchEndpoints(on bool)
	// Log adds a line for the operators.
	Log(level slog.Level, message string, attributes ...slog.Attr)
}
