package testbed

import (
	"time"
)

// Record is the life of one arrival, over all attempts of its client.
type Record struct {
	Due             time.Duration
	Sent            time.Duration // of the first attempt; 0: it could not be
	Done            time.Duration // of the last answer; 0: none came
	Node            int
	Class           int
	Plan            int
	Attempts        int
	Rejected        int
	Failed          int
	RejectedInQuota int // of the rejected ones, with half of the quota unused
	Served          bool
	InQuota         bool          // the attempt that was served was inside the quota
	Value           float64       // inside the quota
	OfferedValue    float64       // what one node that saw all would let in
	Unreached       int           // attempts that reached no node
	Lateness        time.Duration // of the generator: from when it was due to when its client set about it
}
