package scale

import (
	"errors"
	"fmt"
	"time"

	"opalhook/internal/registry"
)

// The leases of the zone must not expire before all watches are open and the leases have been renewed. A
// replica accepts 2,000 new watches per second.
const (
	minZoneLease      = 5 * time.Second
	zoneLeasePerWatch = 4 * time.Millisecond
)

// zoneLease returns the lease duration of the zone's instances in a list with the given number of entries.
func zoneLease(entries int) time.Duration {
	return minZoneLease + time.Duration(watchesOf(entries))*zoneLeasePerWatch
}

// listExpiryPart returns the part that measures how the service detects the loss of a zone: the leases of all
// its instances expire together.
func listExpiryPart() Part {
	return Part{
		Name: "list-expiry",
		Title: "Loss of a zone whose leases expire, at one replica of the list service with watches as planned, over loopback in one process: " +
			"64 clients renew all leases of the zone once the watches are open, and never again.",
		Size:      "entries in the list, each with a lease",
		Sizes:     listSizes,
		TestSizes: listTestSizes,
		Memory:    func(size int) uint64 { return listServiceMemory(1, size) },
		Measure:   measureInSteps("list-expiry", 4, measureExpiry),
	}
}

func measureExpiry(steps *listSteps, rows *listRows) (err error) {
	lease := zoneLease(rows.size)
	replica, err := steps.restore(rows.size, lease, singleElectionTimeout)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, replica.close()) }()
	run := expiryRun{steps: steps, rows: rows, replica: replica, writer: newListWriter(replica.Addr()), leaseDuration: lease, before: replica.Generation()}
	defer run.writer.close()
	return run.measure()
}

// expiryRun is a measurement of [listExpiryPart] at one size.
type expiryRun struct {
	steps         *listSteps
	rows          *listRows
	replica       *listReplica
	writer        *listWriter
	leaseDuration time.Duration // lease duration of the zone's instances
	before        uint64        // generation before the first expiry
}

// earlyExpiryError reports that a lease expired before all watches were open and all leases had been renewed.
type earlyExpiryError struct {
	lease       time.Duration
	before, now uint64 // generations of the list: the expected and the actual one
}

func (e *earlyExpiryError) Error() string {
	return fmt.Sprintf("a lease of %v expired before all watches were open and all leases had been renewed: generation is %d, want %d", e.lease, e.now, e.before)
}

// checkNoneExpired returns an [earlyExpiryError] if a lease has expired.
func (r *expiryRun) checkNoneExpired() error {
	if now := r.replica.Generation(); now != r.before {
		return &earlyExpiryError{r.leaseDuration, r.before, now}
	}
	return nil
}

func (r *expiryRun) measure() error {
	if err := r.steps.next("opening watches"); err != nil {
		return err
	}
	watches, err := openWatches(r.steps.ctx, startsAt(r.replica.Addr(), watchesOf(r.rows.size), r.before), r.steps.env.Seed)
	if err != nil {
		return err
	}
	defer watches.close()
	r.rows.count("watches", len(watches.all))
	ends, err := r.renew()
	if err != nil {
		return err
	}
	return r.expire(watches, ends)
}

// leaseEnds are the bounds of the times at which the zone's leases expire.
type leaseEnds struct{ first, last time.Time }

// renew renews all leases of the zone once, which determines when they expire.
func (r *expiryRun) renew() (ends leaseEnds, err error) {
	if err := r.steps.next("renewing the zone's leases"); err != nil {
		return ends, err
	}
	start := time.Now()
	err = forEachInZone(r.steps.ctx, r.rows.size, r.writer.renew)
	renewed := time.Now()
	if err := errors.Join(r.checkNoneExpired(), err); err != nil {
		return ends, err
	}
	r.rows.time("zone's leases", r.leaseDuration)
	r.rows.time("zone's leases, all renewed for the last time", renewed.Sub(start))
	return leaseEnds{start.Add(r.leaseDuration), renewed.Add(r.leaseDuration)}, nil
}

// expire waits until the zone's leases have expired and all watches have received the removals.
func (r *expiryRun) expire(watches *watchSet, ends leaseEnds) error {
	if err := r.steps.next("waiting for the zone's leases to expire"); err != nil {
		return err
	}
	after, err := r.awaitExpiry()
	if err != nil {
		return err
	}
	last, err := watches.awaitGeneration(r.steps.ctx, after.Generation)
	if err != nil {
		return err
	}
	received := watches.totals()
	r.rows.count("zone expired, entries", r.rows.size-after.Entries)
	r.rows.count("zone expired, messages to a watch", int(after.Generation-r.before))
	r.rows.time("zone expired, from the first lease's end to the last watch", last.Sub(ends.first))
	r.rows.time("zone expired, from the last lease's end to the last watch", max(last.Sub(ends.last), 0))
	r.rows.time("zone expired, from the first watch that has it all to the last", last.Sub(received.firstCurrent))
	r.rows.bytes("zone expired, most to a watch", received.maxBytes)
	r.rows.count("watches told otherwise than each change once and in order", received.outOfOrder)
	r.rows.count("whole lists to watches that were open", int(received.snapshots))
	return received.firstError
}

// awaitExpiry waits until the list has only the entries of the other zones, and returns the replica's status.
// It requests the status only when the generation has changed. It returns an [expiryError] if the wait ends
// early.
func (r *expiryRun) awaitExpiry() (status registry.Status, err error) {
	remaining := r.rows.size - zoneEntries(r.rows.size)
	status.Entries, status.Generation = r.rows.size, r.before
	waitErr := awaitCondition(r.steps.ctx, "the zone's leases to expire", func() bool {
		if r.replica.Generation() != status.Generation {
			status, err = r.writer.status(r.steps.ctx)
		}
		return err != nil || status.Entries <= remaining
	})
	if waitErr == nil {
		return status, err
	}
	if latest, statusErr := r.writer.status(r.steps.ctx); statusErr == nil {
		status = latest
	}
	return status, errors.Join(err, &expiryError{status.Entries, remaining, status.ExpirySuspended, waitErr})
}

// expiryError reports that entries are still in the list although their leases should have expired.
type expiryError struct {
	entries, expected int   // in the list: the actual and the expected number
	suspended         bool  // the replica has suspended the expiry of leases
	cause             error // why the wait ended
}

func (e *expiryError) Error() string {
	return fmt.Sprintf("%d entries are left, want %d after the zone's leases have expired; expiry suspended: %v: %v", e.entries, e.expected, e.suspended, e.cause)
}

func (e *expiryError) Unwrap() error { return e.cause }
