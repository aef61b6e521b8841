// Package scale measures how the cost of parts of the program grows with the fleet. It measures edge nodes
// without sockets, thousands of them in one process on a simulated clock, and the list service.
//
// A [Part] is a group of measurements. It is measured at several sizes, one after the other, and yields
// [Row]s, each with one quantity at one size. On the simulated clock, counts and sizes in bytes are the same
// for the same seed. Times (unit "s") of real calls and the heap depend on the machine, and so do some counts
// of the list service, for example the number of messages in which leases expire.
package scale

import "context"

// Part is a group of measurements that share the meaning of their size.
type Part struct {
	Name      string // name on the command line
	Title     string // one-sentence description, shown above the table
	Size      string // what a size counts, for example "servers in the list"
	Sizes     []int  // default sizes in ascending order; the largest is that of the planned fleet
	TestSizes []int  // small sizes for tests
	// Memory estimates the peak memory that a size needs, in bytes. [Run] rejects sizes that need more than
	// half of the machine's memory.
	Memory func(size int) uint64
	// Measure measures one size. If ctx is cancelled, it returns the rows measured so far and the context's
	// error.
	Measure func(ctx context.Context, size int, env Env) ([]Row, error)
}

// Env is the environment of a measurement.
type Env struct {
	Seed     uint64
	Progress func(done, total int, doing string) // reports progress; never nil, and may be called often
}

// Row is the value of a quantity at a size.
type Row struct {
	Part     string  `json:"part"`
	Size     int     `json:"size"`
	Quantity string  `json:"quantity"` // identifies the quantity across sizes and reports, for example "request, p99"
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"` // s, B, B/s, 1/s, share, or empty for a count
}
