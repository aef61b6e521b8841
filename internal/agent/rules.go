package agent

import "time"

// Rules are the parameters of a [Follower]. The zero value is not useful; see [DefaultRules].
type Rules struct {
	SilenceTimeout    time.Duration // a watch that brings no complete line for so long is closed
	DialTimeout       time.Duration // within which a replica must accept a call and begin its answer
	InitialBackoff    time.Duration // the first backoff window after a watch that worked
	MaxBackoff        time.Duration // the longest backoff window
	StartWindow       time.Duration // within which the first call is made: machines start together
	CallsPerSecond    float64       // further calls of one process, on average
	CallBurst         float64       // further calls of one process at once
	MaxLossFraction   float64       // of the endpoints; a list that loses more within LossWindow is suspect
	LossWindow        time.Duration
	SuspectTimeout    time.Duration // after which a suspect list is accepted that no other replica contradicts
	RollbackTolerance time.Duration // after which a list is accepted whose generations went back at every replica
	RemovalDelay      time.Duration // of the removal of an endpoint that was not draining
	PreferredReturn   time.Duration // between half of this and one and a half, a follower returns to its first replica
}

// DefaultRules returns the rules of the service.
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
