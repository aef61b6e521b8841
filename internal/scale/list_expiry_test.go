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

// A zone whose leases run out is told in few messages, each once and in order, in the bytes of its
// entries and no more; entries of other zones stay.
func TestListExpiryMeasured(t *testing.T) {
	t.Parallel()
	p := ListExpiry()
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
			t.Errorf("%v messages for %d entries", messages, zoneEntries(n))
		}
		checkExpiryBytes(t, v["zone expired, most to a watch"], int(messages), removedZone(n))
		for _, q := range []string{
			"zone expired, from the first lease's end to the last watch", "zone expired, from the last lease's end to the last watch",
			"zone expired, from the first watch that has it all to the last",
		} {
			if got, ok := v[q]; !ok || got < 0 {
				t.Errorf("%s: %v", q, got)
			}
		}
	}
}

// checkExpiryBytes compares bytes with those of messages that hold the entries between them. How many
// each message holds is open, and so are the digits of its length.
func checkExpiryBytes(t *testing.T, got float64, messages int, entries []discovery.Entry) {
	t.Helper()
	const moreDigits = 2 // of a length in hexadecimal: an empty message has 2, one with all entries 4
	frame := messageBytes(t, discovery.Message{Generation: firstGeneration, Instances: []discovery.Entry{}})
	commas := len(entries) - messages
	least := float64(messages)*frame + float64(commas)
	for _, e := range entries {
		text, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		least += float64(len(text))
	}
	if most := least + float64(messages*moreDigits); got < least || got > most {
		t.Errorf("%v bytes in %d messages, not from %v to %v", got, messages, least, most)
	}
}

// startExpiry starts a service whose zone has a lease.
func startExpiry(t *testing.T, entries int, lease time.Duration) *expiryRun {
	t.Helper()
	image, err := listSnapshot(entries, lease)
	if err != nil {
		t.Fatal(err)
	}
	service, err := startReplica(t.Context(), image)
	if err != nil {
		t.Fatal(err)
	}
	writer := newListWriter(service.Addr())
	t.Cleanup(func() {
		writer.close()
		if err := service.close(); err != nil {
			t.Error(err)
		}
	})
	at := &listSteps{ctx: t.Context(), env: Env{Seed: 1, Progress: func(int, int, string) {}}}
	return &expiryRun{steps: at, rows: &listRows{rowWriter{size: entries}}, service: service, writer: writer, leaseTerm: lease, before: firstGeneration}
}

// The zone's entries expire, all of them, and no others.
func TestExpiryLeavesOtherZones(t *testing.T) {
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
	if !slices.Equal(list.Instances, want) {
		t.Errorf("%v, want %v", list.Instances, want)
	}
}

// serviceEntries is a list as it is before a zone is lost.
func serviceEntries(count int) (list []discovery.Entry) {
	for n := range count {
		list = append(list, listEntry(n))
	}
	return list
}

// Leases that run out before they are renewed are no expiry measured.
func TestExpiryBeforeTheRenewalsFails(t *testing.T) {
	t.Parallel()
	run := startExpiry(t, 60, registry.MinLease)
	if err := awaitReplica(t.Context(), "the leases to run out", func() bool { return run.service.Generation() > run.before }); err != nil {
		t.Fatal(err)
	}
	_, err := run.renew()
	var early *earlyExpiryError
	if !errors.As(err, &early) || early.before != run.before || early.now <= early.before || early.lease != registry.MinLease {
		t.Errorf("%v", err)
	}
}

// An expiry that does not come ends with what is known of it.
func TestExpiryThatDoesNotComeFails(t *testing.T) {
	t.Parallel()
	run := startExpiry(t, 60, listLease)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	run.steps.ctx = ctx
	_, err := run.awaitExpiry()
	var expiry *expiryError
	if !errors.As(err, &expiry) || !errors.Is(err, context.Canceled) || expiry.entries != 60 || expiry.expected != 56 || expiry.suspended {
		t.Errorf("%v", err)
	}
}
