package agent

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"opalhook/internal/discovery"
)

// maxChanges is the number of latest change messages that are kept for nodes with an older generation.
const maxChanges = 512

// feed holds the messages for nodes: the complete list and the latest changes, encoded once for all nodes. It
// is safe for concurrent use.
type feed struct {
	published atomic.Uint64 // number of messages published so far

	mu         sync.Mutex
	snapshot   []byte // complete list as a line; nil before the first list
	generation uint64 // generation of the snapshot; 0 before the first list
	changes    []feedChange
	updated    chan struct{} // closed by the next publish
	live       bool          // whether the list service is reachable; nodes get heartbeats only then
}

// feedChange is an encoded message that takes a node from one generation to a later one.
type feedChange struct {
	previous, generation uint64
	line                 []byte
}

// feedUpdate contains the messages that a node with a given generation lacks.
type feedUpdate struct {
	lines      [][]byte
	generation uint64          // generation of the node after these lines
	updated    <-chan struct{} // closed when newer messages may be available
	heartbeats bool            // whether to send heartbeats until updated is closed
}

func newFeed() *feed { return &feed{updated: make(chan struct{})} }

// publish makes m the latest message. list is the complete list that includes the changes of m.
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
	if m.Snapshot {
		f.changes = nil
	} else {
		f.addChange(feedChange{f.generation, m.Generation, line})
	}
	f.snapshot, f.generation = snapshot, m.Generation
	close(f.updated)
	f.updated = make(chan struct{})
	return nil
}

// addChange appends a change, in place of the oldest one if there are already [maxChanges].
func (f *feed) addChange(c feedChange) {
	if len(f.changes) == maxChanges {
		f.changes = append(f.changes[:0], f.changes[1:]...)
	}
	f.changes = append(f.changes, c)
}

// encodeLine encodes a message as one line of JSON.
func encodeLine(m discovery.Message) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return append(text, '\n'), nil
}

// setLive sets whether the list service is reachable. Nodes get heartbeats only while it is.
func (f *feed) setLive(live bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = live
}

// since returns the update for a node whose list has generation from; 0 means no list. A node can be
// ahead of the feed if the agent was restarted and has an older list than before. Such a node gets nothing,
// not even heartbeats, because its list must never return to an older generation.
func (f *feed) since(from uint64) feedUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.generation == 0 || from > f.generation {
		return feedUpdate{generation: from, updated: f.updated}
	}
	return feedUpdate{
		lines:      f.linesSince(from),
		generation: f.generation,
		updated:    f.updated,
		heartbeats: f.live,
	}
}

// linesSince returns the changes after a generation, or the complete list if they are no longer kept.
func (f *feed) linesSince(from uint64) (lines [][]byte) {
	if from == f.generation {
		return nil
	}
	for i, c := range f.changes {
		if c.previous == from {
			for _, c := range f.changes[i:] {
				lines = append(lines, c.line)
			}
			return lines
		}
	}
	return [][]byte{f.snapshot}
}
