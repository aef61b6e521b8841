package scale

import (
	"errors"
	"fmt"
	"time"

	"opalhook/internal/registry"
)

// The lease of the zone's instances must outlast the opening of all watches, of which a replica
// takes 2,000 a second, and the renewal of each lease after it.
const (
	minZoneLease      = 5 * time.Second
	zoneLeasePerWatch = 4 * time.Millisecond // for each watch
)

// zoneLease is the lease of the zone's instances in a list of that many entries.
func zoneLease(entries int) time.Duration {
	return minZoneLease + time.Duration(watchesOf(entries))*zoneLeasePerWatch
}

// ListExpiry measures the loss of a zone as the service finds it: the leases of its instances run
// out together.
func ListExpiry() Part {
	return Part{
		Name: "list-expiry",
		Title: "One replica of the list service with the plan's share of watches, over loopback in one process: all leases of a zone " +
			"are renewed by 64 clients once the watches are open, and run out; those of the other zones do not.",
		Size:    "entries in the list, each with a lease",
		Sizes:   listSizes,
		Small:   listSmall,
		Memory:  func(size int) uint64 { return listServiceMemory(1, size) },
		Measure: inSteps("list-expiry", 4, measureExpiry),
	}
}

func measureExpiry(at *listSteps, rows *rowsOf) (err error) {
	lease := zoneLease(rows.size)
	service, err := at.restore(rows.size, lease, electionTimeout)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, service.close()) }()
	run := expiryRun{at: at, rows: rows, service: service, writer: newListWriter(service.Addr()), lease: lease, before: service.Generation()}
	defer run.writer.close()
	return run.measure()
}

// expiryRun is the measurement of the expiry of one list's zone.
type expiryRun struct {
	at      *listSteps
	rows    *rowsOf
	service *listReplica
	writer  *listWriter
	lease   time.Duration // of the zone's instances
	before  uint64        // generation before the first lease runs out
}

// earlyExpiryError tells that leases ran out before the last of them was renewed with all watches open.
type earlyExpiryError struct {
	lease       time.Duration
	before, now uint64 // generations
}

func (e *earlyExpiryError) Error() string {
	return fmt.Sprintf("leases of %v ran out before all watches were open and the leases renewed: generation %d, not %d", e.lease, e.now, e.before)
}

// checkNoneExpired returns an error where a lease has run out.
func (r *expiryRun) checkNoneExpired() error {
	if now := r.service.Generation(); now != r.before {
		return &earlyExpiryError{r.lease, r.before, now}
	}
	return nil
}

func (r *expiryRun) measure() error {
	if err := r.at.next("opening watches"); err != nil {
		return err
	}
	watches, err := openWatches(r.at.ctx, startsAt(r.service.Addr(), watchesOf(r.rows.size), r.before), r.at.env.Seed)
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

// leaseEnds bounds when the leases of the zone run out.
type leaseEnds struct{ first, last time.Time }

// renew renews each lease of the zone, so that it is known when they run out.
func (r *expiryRun) renew() (ends leaseEnds, err error) {
	if err := r.at.next("renewing the zone's leases"); err != nil {
		return ends, err
	}
	began := time.Now()
	err = eachOfZone(r.at.ctx, r.rows.size, r.writer.renew)
	renewed := time.Now()
	if err := errors.Join(r.checkNoneExpired(), err); err != nil {
		return ends, err
	}
	r.rows.time("zone's leases", r.lease)
	r.rows.time("zone's leases, all renewed for the last time", renewed.Sub(began))
	return leaseEnds{began.Add(r.lease), renewed.Add(r.lease)}, nil
}

// expire waits until the zone's leases have run out and all watches were told.
func (r *expiryRun) expire(watches *listWatches, ends leaseEnds) error {
	if err := r.at.next("waiting for the zone's leases to run out"); err != nil {
		return err
	}
	after, err := r.awaitExpiry()
	if err != nil {
		return err
	}
	last, err := watches.awaitGeneration(r.at.ctx, after.Generation)
	if err != nil {
		return err
	}
	told := watches.count()
	r.rows.count("zone expired, entries", r.rows.size-after.Entries)
	r.rows.count("zone expired, messages to a watch", int(after.Generation-r.before))
	r.rows.time("zone expired, from the first lease's end to the last watch", last.Sub(ends.first))
	r.rows.time("zone expired, from the last lease's end to the last watch", max(last.Sub(ends.last), 0))
	r.rows.time("zone expired, from the first watch that has it all to the last", last.Sub(told.firstWhen))
	r.rows.bytes("zone expired, most to a watch", told.maxBytes)
	r.rows.count("watches told otherwise than each change once and in order", told.outOfOrder)
	r.rows.count("whole lists to watches that were open", int(told.snapshots))
	return told.firstError
}

// awaitExpiry waits until as few entries are left as the other zones have. The service is asked only
// where its list has changed.
func (r *expiryRun) awaitExpiry() (status registry.Status, err error) {
	others := r.rows.size - zoneEntries(r.rows.size)
	status.Entries, status.Generation = r.rows.size, r.before
	waited := awaitReplica(r.at.ctx, "the zone's leases to run out", func() bool {
		if r.service.Generation() != status.Generation {
			status, err = r.writer.status(r.at.ctx)
		}
		return err != nil || status.Entries <= others
	})
	if waited == nil {
		return status, err
	}
	if latest, failed := r.writer.status(r.at.ctx); failed == nil {
		status = latest
	}
	return status, errors.Join(err, &expiryError{status.Entries, others, status.ExpirySuspended, waited})
}

// expiryError tells that entries stay whose leases have run out.
type expiryError struct {
	entries, expected int // in the list, and of zones whose leases last
	suspended         bool
	why               error
}

func (e *expiryError) Error() string {
	return fmt.Sprintf("%d entries are left, %d of other zones; expiry is paused: %v: %v", e.entries, e.expected, e.suspended, e.why)
}

func (e *expiryError) Unwrap() error { return e.why }
