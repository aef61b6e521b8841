package scale

import (
	"slices"
	"time"
)

// callKind classifies the calls into a balancer. Each kind is timed separately.
type callKind int

const (
	callRequestRejected      callKind = iota // a request that the node rejects at once
	callRequestAdmitted                      // a request for which a server was selected at once
	callRequestAwaitingQuota                 // a request for which the node sends a quota request to the owner, and no attempt at once
	callAttemptFinished                      // the end of an attempt
	callQuotaRequest                         // a peer's quota request, including the response to it
	callQuotaRejected                        // a response to a quota request that led to no attempt: the owner rejected it, or it arrived too late
	callQuotaGranted                         // a response to a quota request that led to an attempt, including the selection of a server
	callMessage                              // any other peer message
	callTick                                 // the periodic timer
	callTimer                                // any other timer
	callEndpointChange                       // a change to one entry of the list
	callUsedEndpointChange                   // a change to the entry of a server that the node has sent attempts to
	callFirstSnapshot                        // the first complete list
	callNextSnapshot                         // a further complete list
)

// stopwatch records the durations of calls into a balancer.
type stopwatch struct{ durations map[callKind][]time.Duration }

func newStopwatch() *stopwatch { return &stopwatch{durations: map[callKind][]time.Duration{}} }

func (s *stopwatch) add(kind callKind, duration time.Duration) {
	s.durations[kind] = append(s.durations[kind], duration)
}

// quantile returns a quantile of the durations of a kind of calls, in seconds, or false if no such call was
// timed.
func (s *stopwatch) quantile(kind callKind, fraction float64) (float64, bool) {
	sorted := slices.Sorted(slices.Values(s.durations[kind]))
	if len(sorted) == 0 {
		return 0, false
	}
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)].Seconds(), true
}
