package agent

import (
	"strings"
	"testing"

	"opalhook/internal/discovery"
)

// A node gets the changes after its own generation, or the complete list if those changes are no longer kept.
// A node that is ahead of the feed gets nothing.
func TestFeedSince(t *testing.T) {
	f := newFeed()
	if update := f.since(0); len(update.lines) != 0 || update.heartbeats {
		t.Errorf("an empty feed returns %+v, want no lines and no heartbeats", update)
	}
	f.setLive(true)
	var list view
	publish := func(m discovery.Message) {
		t.Helper()
		list = list.apply(m)
		if err := f.publish(m, list.snapshot()); err != nil {
			t.Fatal(err)
		}
	}
	publish(snapshotOf(10, 3))
	for generation := range uint64(maxChanges + 1) {
		publish(discovery.Message{Generation: 11 + generation, Entries: []discovery.Entry{testEntry(1, discovery.Up)}})
	}
	const last = 11 + maxChanges
	for _, c := range []struct {
		name       string
		from       uint64
		lines      int
		complete   bool
		generation uint64
		heartbeats bool
	}{
		{"new node", 0, 1, true, last, true},
		{"generation that was never published", 5, 1, true, last, true},
		{"changes no longer kept", 10, 1, true, last, true},
		{"all changes that are kept", 11, maxChanges, false, last, true},
		{"latest change", last - 1, 1, false, last, true},
		{"up to date", last, 0, false, last, true},
		{"ahead of the feed", last + 1, 0, false, last + 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			update := f.since(c.from)
			if len(update.lines) != c.lines || update.generation != c.generation || update.heartbeats != c.heartbeats {
				t.Fatalf("%d lines to generation %d, heartbeats %v; want %d, %d, %v",
					len(update.lines), update.generation, update.heartbeats, c.lines, c.generation, c.heartbeats)
			}
			if c.lines > 0 && strings.Contains(string(update.lines[0]), `"reset":true`) != c.complete {
				t.Errorf("first line %s, want a complete list: %v", update.lines[0], c.complete)
			}
		})
	}
}
