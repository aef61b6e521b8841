package scale

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"opalhook/internal/discovery"
	"opalhook/internal/registry"
)

// If the leases of a zone expire, watches receive at most one message per entry, once and in order, and only
// the bytes of the zone's entries. They receive no complete lists.
func TestListExpiry(t *testing.T) {
	t.Parallel()
	p := listExpiryPart()
	for _, n := range p.TestSizes {
		v := measureList(t, p, n)
		checkValues(t, v, map[string]float64{
			"watches":               float64(watchesOf(n)),
			"zone expired, entries": float64(zoneEntries(n)),
			"watches told otherwise than each change once and in order": 0,
			"whole lists to watches that were open":                     0,
		})
		messages := v["zone expired, messages to a watch"]
		if messages < 1 || messages > float64(zoneEntries(n)) {
			t.Errorf("%v messages for %d expired entries, want 1 to %[2]d", messages, zoneEntries(n))
		}
		checkExpiryBytes(t, v["zone expired, most to a watch"], int(messages), removedZone(n))
		for _, q := range []string{
			"zone expired, from the first lease's end to the last watch", "zone expired, from the last lease's end to the last watch",
			"zone expired, from the first watch that has it all to the last",
		} {
			if got, ok := v[q]; !ok || got < 0 {
				t.Errorf("%s: got %v, want a time of at least 0", q, got)
			}
		}
	}
}

// checkExpiryBytes checks the number of bytes of messages that together contain the given entries. The
// distribution of the entries over the messages is unknown, and so is the number of digits of each chunk's
// length.
func checkExpiryBytes(t *testing.T, got float64, messages int, entries []discovery.Entry) {
	t.Helper()
	const extraDigits = 2 // length in hexadecimal: 2 digits for an empty message, 4 for one with all entries
	frame := messageBytes(t, discovery.Message{Generation: firstGeneration, Entries: []discovery.Entry{}})
	commas := len(entries) - messages
	minBytes := float64(messages)*frame + float64(commas)
	for _, e := range entries {
		text, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		minBytes += float64(len(text))
	}
	if maxBytes := minBytes + float64(messages*extraDigits); got < minBytes || got > maxBytes {
		t.Errorf("%v bytes in %d messages, want %v to %v", got, messages, minBytes, maxBytes)
	}
}

// startExpiry starts a service with a list, in which the instances of the lost zone have the given lease
// duration.
func startExpiry(t *testing.T, entries int, lease time.Duration) *expiryRun {
	t.Helper()
	backup, err := listBackup(entries, lease)
	if err != nil {
		t.Fatal(err)
	}
	replica, err := startReplica(t.Context(), backup)
	if err != nil {
		t.Fatal(err)
	}
	writer := newListWriter(replica.Addr())
	t.Cleanup(func() {
		writer.close()
		if err := replica.close(); err != nil {
			t.Error(err)
		}
	})
	steps := &listSteps{ctx: t.Context(), env: Env{Seed: 1, Progress: func(int, int, string) {}}}
	return &expiryRun{steps: steps, rows: &listRows{rowWriter{size: entries}}, replica: replica, writer: writer, leaseDuration: lease, before: firstGeneration}
}

// All entries of the zone expire, and entries of other zones stay.
func TestExpiryKeepsOtherZones(t *testing.T) {
	t.Parallel()
	const entries = 60
	run := startExpiry(t, entries, zoneLease(entries))
	if err := run.measure(); err != nil {
		t.Fatal(err)
	}
	var list discovery.Message
	if _, err := run.writer.call(t.Context(), http.MethodGet, "instances", &list); err != nil {
		t.Fatal(err)
	}
	want := slices.DeleteFunc(serviceEntries(entries), func(e discovery.Entry) bool { return e.Zone == listEntry(lostZone).Zone })
	if !slices.Equal(list.Entries, want) {
		t.Errorf("list has entries %v, want %v", list.Entries, want)
	}
}

// serviceEntries returns the entries of a list before a zone is lost.
func serviceEntries(count int) (list []discovery.Entry) {
	for n := range count {
		list = append(list, listEntry(n))
	}
	return list
}

// The measurement fails with an earlyExpiryError if leases expire before they are renewed.
func TestExpiryBeforeRenewalFails(t *testing.T) {
	t.Parallel()
	run := startExpiry(t, 60, registry.MinLease)
	if err := awaitCondition(t.Context(), "the leases to expire", func() bool { return run.replica.Generation() > run.before }); err != nil {
		t.Fatal(err)
	}
	_, err := run.renew()
	var early *earlyExpiryError
	if !errors.As(err, &early) || early.before != run.before || early.now <= early.before || early.lease != registry.MinLease {
		t.Errorf("error %v, want an earlyExpiryError", err)
	}
}

// If the wait is cancelled before the leases expire, it returns an expiryError with the number of entries.
func TestCancelledWaitForExpiryFails(t *testing.T) {
	t.Parallel()
	run := startExpiry(t, 60, listLease)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	run.steps.ctx = ctx
	_, err := run.awaitExpiry()
	var expiry *expiryError
	if !errors.As(err, &expiry) || !errors.Is(err, context.Canceled) || expiry.entries != 60 || expiry.expected != 56 || expiry.suspended {
		t.Errorf("error %v, want an expiryError for 60 entries instead of 56", err)
	}
}
