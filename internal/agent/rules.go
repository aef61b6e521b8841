package agent

import "time"

// Rules are the parameters of a [Follower]. The zero value is not useful; see [DefaultRules].
type Rules struct {
	// SilenceTimeout is the longest time without a complete line. After it a call or a watch is closed. It
	// also bounds the fetch of a complete list.
	SilenceTimeout time.Duration
	// DialTimeout bounds the time to connect to a replica, and the time from the request to the response
	// header.
	DialTimeout time.Duration
	// InitialBackoff is the first backoff window after a replica has been healthy.
	InitialBackoff time.Duration
	// MaxBackoff is the longest backoff window.
	MaxBackoff time.Duration
	// StartWindow is the range of the random delay before the first call. Machines may start at the same
	// time, and this delay spreads their calls.
	StartWindow time.Duration
	// CallsPerSecond is the average rate of calls that a follower may make. Its first call does not count.
	CallsPerSecond float64
	// CallBurst is the number of calls that a follower may make at once. Its first call does not count.
	CallBurst float64
	// MaxLossFraction is a fraction of the endpoints that are up. A list is suspect if it has lost more than
	// this fraction plus one endpoint within LossWindow, or all endpoints.
	MaxLossFraction float64
	// LossWindow is the time over which losses of endpoints are added up.
	LossWindow time.Duration
	// SuspectTimeout is the time after which a suspect list is accepted unless another replica contradicts
	// it.
	SuspectTimeout time.Duration
	// RollbackTolerance is the time after which an older complete list is accepted if no replica has
	// confirmed the latest one in the meantime.
	RollbackTolerance time.Duration
	// RemovalDelay is the delay before the removal of an endpoint that was not draining is published.
	RemovalDelay time.Duration
	// PreferredReturn is the mean time for which a follower watches another replica before it returns to its
	// preferred one. The time is random, from 0.5 to 1.5 times this value.
	PreferredReturn time.Duration
}

// DefaultRules returns the default rules of an agent.
func DefaultRules() Rules {
	return Rules{
		SilenceTimeout:    5 * time.Second,
		DialTimeout:       2 * time.Second,
		InitialBackoff:    200 * time.Millisecond,
		MaxBackoff:        8 * time.Second,
		StartWindow:       200 * time.Millisecond,
		CallsPerSecond:    0.5,
		CallBurst:         6,
		MaxLossFraction:   0.3,
		LossWindow:        10 * time.Second,
		SuspectTimeout:    30 * time.Second,
		RollbackTolerance: 10 * time.Minute,
		RemovalDelay:      time.Second,
		PreferredReturn:   time.Minute,
	}
}
