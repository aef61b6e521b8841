// Package scale measures how the parts of the program grow with the fleet: edge nodes without
// client sockets, thousands in one process on a clock of their own, and the list service.
//
// A [Part] is one group of measurements. It is measured at several sizes, one after the other, and
// yields [Row]s: each is one quantity at one size. What decides (counts, bytes, bounds) is the same
// for the same seed; what is timed is not, and says so by its unit.
package scale

import "context"

// Part is a group of measurements over one kind of size.
type Part struct {
	Name  string // as the command line names it
	Title string // one sentence for the reader of the table
	Size  string // what a size counts, as "servers in the list"
	Sizes []int  // measured unless told otherwise, ascending, up to the plan's
	Small []int  // measured by the tests, a fraction of a second each
	// Memory estimates the bytes that a size takes at its peak; the host rejects a size that
	// would pass half of the machine's memory.
	Memory func(size int) uint64
	// Measure measures one size. It returns what it has with the context's error when cut off.
	Measure func(ctx context.Context, size int, env Env) ([]Row, error)
}

// Env is what a measurement is given.
type Env struct {
	Seed     uint64
	Progress func(done, total int, doing string) // may be called often; never nil
}

// Row is one quantity at one size.
type Row struct {
	Part     string  `json:"part"`
	Size     int     `json:"size"`
	Quantity string  `json:"quantity"` // the same at each size, as "request, p99"
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"` // s, B, B/s, 1/s, share or empty for a count; only s hangs on the machine
}
