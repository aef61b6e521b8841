package scale

import (
	"slices"
	"time"
)

// callKind is a kind of calls of a node that is timed apart.
type callKind int

const (
	callRequest                 callKind = iota // a request that was rejected at once, or is of a quota that this node owns, and waits
	callRequestAdmitted                         // a request for which a server was chosen at once
	callRequestForwardedToOwner                 // a request for whose units a peer was asked first
	callOutcome                                 // the end of an attempt
	callQuotaRequest                            // a peer's quota request, and the answer to it
	callQuotaRejected                           // a peer's answer that led to no send: a rejection, or one that came too late
	callQuotaGranted                            // a peer's answer, and the choice of a server that it led to
	callMessage                                 // another message
	callTick                                    // the regular timer
	callTimer                                   // another timer
	callEndpointChange                          // one change of the list
	callUsedEndpointChange                      // one change of a server that the node has sent to
	callFirstSnapshot                           // the first whole list
	callNextSnapshot                            // a whole list after it
)

// stopwatch keeps how long the calls of a node took.
type stopwatch struct{ took map[callKind][]time.Duration }

func newStopwatch() *stopwatch { return &stopwatch{took: map[callKind][]time.Duration{}} }

func (s *stopwatch) add(kind callKind, took time.Duration) {
	s.took[kind] = append(s.took[kind], took)
}

// quantile returns a quantile in seconds, or false where nothing was timed.
func (s *stopwatch) quantile(kind callKind, share float64) (float64, bool) {
	took := slices.Sorted(slices.Values(s.took[kind]))
	if len(took) == 0 {
		return 0, false
	}
	return took[min(int(share*float64(len(took))), len(took)-1)].Seconds(), true
}
