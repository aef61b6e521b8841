package testbed

import (
	"time"
)

// Record is the history of one arrival over all attempts of its client. Times are since the start of the run.
type Record struct {
	Due             time.Duration
	Sent            time.Duration // when the first attempt was sent; 0: it could not be sent
	Done            time.Duration // when the request was served, or else got its first response; 0: never
	Node            int           // number of the entry node
	Class           int           // index in Scenario.Classes
	Plan            int           // index in Scenario.Plans
	Attempts        int
	Rejected        int // number of rejected attempts
	Failed          int // number of failed attempts
	RejectedInQuota int // number of attempts rejected while at least half of the quota was unused
	Served          bool
	InQuota         bool          // the served attempt was within the quota
	Value           float64       // value of the request if it is within the quota
	OfferedValue    float64       // value of the request at a single node that receives all first attempts
	Unreached       int           // number of failed attempts that did not reach a node
	Lateness        time.Duration // delay of the load generator: from Due to the start of the first attempt
}
