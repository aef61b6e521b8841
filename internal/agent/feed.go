package agent

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"opalhook/internal/discovery"
)

// maxChanges is how many of the latest messages are kept for nodes that hold an earlier generation.
const maxChanges = 512

// feed is what nodes are sent: the complete list and the latest changes, encoded once for all nodes.
type feed struct {
	published atomic.Uint64 // messages so far

	mu         sync.Mutex
	snapshot   []byte // a line; nil: nothing is held yet
	generation uint64 // of the snapshot; 0: none
	changes    []feedChange
	updated    chan struct{} // closed at the next message
	live       bool          // the list service is heard: nodes are sent heartbeats
}

// feedChange is a message as a node gets it that holds the generation before.
type feedChange struct {
	before, generation uint64
	line               []byte
}

// feedUpdate is what a node is to be sent that holds some generation.
type feedUpdate struct {
	lines      [][]byte
	generation uint64          // that the node holds after the lines
	updated    <-chan struct{} // closed when there may be more
	heartbeats bool            // the node is sent heartbeats meanwhile
}

func newFeed() *feed { return &feed{updated: make(chan struct{})} }

// publish makes a message the latest one; list is the complete list with it.
func (f *feed) publish(m, list discovery.Message) error {
	line, err := encodeLine(m)
	if err != nil {
		return err
	}
	snapshot, err := encodeLine(list)
	if err != nil {
		return err
	}
	f.published.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Reset {
		f.changes = nil
	} else {
		f.addChange(feedChange{f.generation, m.Generation, line})
	}
	f.snapshot, f.generation = snapshot, m.Generation
	close(f.updated)
	f.updated = make(chan struct{})
	return nil
}

// addChange appends a change in place of the oldest one, if there are too many.
func (f *feed) addChange(c feedChange) {
	if len(f.changes) == maxChanges {
		f.changes = append(f.changes[:0], f.changes[1:]...)
	}
	f.changes = append(f.changes, c)
}

// encodeLine returns a message as a line.
func encodeLine(m discovery.Message) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("message: %w", err)
	}
	return append(text, '\n'), nil
}

// setLive says whether the list service is heard.
func (f *feed) setLive(live bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = live
}

// since returns what a node is to be sent that holds a generation. One that holds a later one than the feed, as from an
// agent that has been restarted since, is sent nothing: it must never be taken back.
func (f *feed) since(from uint64) feedUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.generation == 0 || from > f.generation {
		return feedUpdate{generation: from, updated: f.updated}
	}
	return feedUpdate{lines: f.linesSince(from), generation: f.generation, updated: f.updated, heartbeats: f.live}
}

// linesSince returns the changes after a generation, or the complete list where they are not kept.
func (f *feed) linesSince(from uint64) (lines [][]byte) {
	if from == f.generation {
		return nil
	}
	for i, c := range f.changes {
		if c.before == from {
			for _, c := range f.changes[i:] {
				lines = append(lines, c.line)
			}
			return lines
		}
	}
	return [][]byte{f.snapshot}
}
