package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"opalhook/internal/discovery"
)

// notifyInterval is the time from one wake-up of the watches to the next; the changes between go out together.
const notifyInterval = 200 * time.Millisecond

// maxChangesPerRead bounds the changes that a watch reads at once, and so the memory that it uses.
const maxChangesPerRead = 256

// message is a message of the discovery protocol.
type message = discovery.Message

// publishedVersion is what watches read at a generation. It is immutable.
type publishedVersion struct {
	generation uint64
	changes    []encodedChange // those that are kept, oldest first
	readAgain  chan struct{}   // closed when watches are to read again
}

// encodedChange is one generation as a watch sends it.
type encodedChange struct {
	generation      uint64
	chunk           []byte // an HTTP/1.1 chunk that holds one line of JSON
	cumulativeBytes uint64 // of this chunk and all before it
}

// changesSince returns the changes after a generation, oldest first. Where ok is false, these are not kept, or the
// generation is not one of this list's.
func (v *publishedVersion) changesSince(from uint64) (changes []encodedChange, ok bool) {
	if from == v.generation {
		return nil, true
	}
	if from == 0 || from > v.generation || from>>epochBits != v.generation>>epochBits || len(v.changes) == 0 {
		return nil, false
	}
	beforeOldest := v.changes[0].generation - 1
	if from < beforeOldest {
		return nil, false
	}
	return v.changes[from-beforeOldest:], true
}

// publish encodes the latest change for the watches. Called with mu held.
func (m *fsm) publish() {
	changes := m.published.Load().changes
	if len(changes) == maxChanges {
		changes = changes[1:]
	}
	// Versions share one array: what is appended lies behind what the earlier ones see.
	m.storeVersion(appendEncoded(changes, m.state.latestChange()))
}

// publishRestored encodes all changes of a state that replaced the one before. Called with mu held.
func (m *fsm) publishRestored() {
	m.restoreCount++
	var changes []encodedChange
	for _, c := range m.state.keptChanges() {
		changes = appendEncoded(changes, c)
	}
	m.storeVersion(changes)
}

// storeVersion makes the state's generation the published one and wakes the notifier. Called with mu held.
func (m *fsm) storeVersion(changes []encodedChange) {
	m.published.Store(&publishedVersion{m.state.Generation(), changes, m.published.Load().readAgain})
	select {
	case m.publishedSignal <- struct{}{}:
	default:
	}
}

// appendEncoded encodes a change behind those before it.
func appendEncoded(changes []encodedChange, c Change) []encodedChange {
	encoded := encodeChange(c)
	encoded.cumulativeBytes = uint64(len(encoded.chunk))
	if n := len(changes); n > 0 {
		encoded.cumulativeBytes += changes[n-1].cumulativeBytes
	}
	return append(changes, encoded)
}

func encodeChange(c Change) encodedChange {
	return encodedChange{generation: c.Generation, chunk: encodeMessage(message{Generation: c.Generation, Instances: c.Entries})}
}

// encodeMessage returns an HTTP chunk with a message as one line.
func encodeMessage(m message) []byte {
	text, err := json.Marshal(m)
	if err != nil { // only weights could fail, and ValidateRegistration admits none that does
		panic(fmt.Sprintf("registry: encoding a valid entry: %v", err))
	}
	return httpChunk(append(text, '\n'))
}

// runNotifier wakes the watches until ctx ends: at once for a change after a pause, and each notifyInterval where
// changes follow one another.
func (m *fsm) runNotifier(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.publishedSignal:
		}
		m.notifyWatches()
		select {
		case <-ctx.Done():
			return
		case <-time.After(notifyInterval):
		}
	}
}

// notifyWatches makes every watch that waits read again.
func (m *fsm) notifyWatches() {
	m.mu.Lock()
	next := *m.published.Load()
	updated := next.readAgain
	next.readAgain = make(chan struct{})
	m.published.Store(&next)
	m.mu.Unlock()
	close(updated)
}

// closedChannel is the signal for a watch that has more to read at once.
var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// watchRead is what a watch at some generation is to send next.
type watchRead struct {
	chunks      [][]byte      // in order; their bytes are shared and not to be changed
	generation  uint64        // after the chunks
	readerAhead bool          // the reader has a generation that this replica does not have
	readAgain   chan struct{} // closed when watches are to read again
}

// readSince returns the changes after a generation, up to maxChangesPerRead of them, or the full list where these are
// not known. A reader that is ahead of the replica gets nothing.
func (m *fsm) readSince(from uint64) watchRead {
	v := m.published.Load()
	if from > v.generation {
		return watchRead{generation: v.generation, readAgain: v.readAgain, readerAhead: true}
	}
	changes, ok := v.changesSince(from)
	if !ok || from == 0 {
		return m.readFullList(v)
	}
	read := watchRead{generation: v.generation, readAgain: v.readAgain}
	if len(changes) > maxChangesPerRead {
		changes = changes[:maxChangesPerRead]
		read.generation, read.readAgain = changes[maxChangesPerRead-1].generation, closedChannel
	}
	read.chunks = make([][]byte, 0, len(changes))
	for _, c := range changes {
		read.chunks = append(read.chunks, c.chunk)
	}
	return read
}

// readFullList returns the full list for a watch. The version must be loaded before the list is read, so that a change
// between the two is read next.
func (m *fsm) readFullList(v *publishedVersion) watchRead {
	list := m.listForWatch()
	read := watchRead{chunks: [][]byte{list.chunk}, generation: list.generation, readAgain: v.readAgain}
	if list.generation < v.generation {
		read.readAgain = closedChannel
	}
	return read
}
