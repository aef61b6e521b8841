package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"opalhook/internal/discovery"
)

// notifyInterval is the minimum time between two wake-ups of the watches. Changes in between are sent
// together.
const notifyInterval = 200 * time.Millisecond

// maxChangesPerRead limits the number of changes that a watch reads at once, and so the memory that it uses.
const maxChangesPerRead = 256

// message is a message of the discovery protocol.
type message = discovery.Message

// publishedVersion is the data that watches read at one generation. It is immutable.
type publishedVersion struct {
	generation uint64
	changes    []encodedChange // retained changes, oldest first
	updated    chan struct{}   // closed when watches should read again
}

// encodedChange is the change of one generation, encoded for watches.
type encodedChange struct {
	generation      uint64
	chunk           []byte // an HTTP/1.1 chunk that holds one line of JSON
	cumulativeBytes uint64 // size of this chunk and all earlier ones
}

// changesSince returns the changes after a generation, oldest first. ok is false if some of them are no
// longer retained, if the generation does not belong to this list, or if it is 0 and the list has changed.
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

// publish encodes the latest change and publishes the new version. The caller must hold mu.
func (m *fsm) publish() {
	changes := m.published.Load().changes
	if len(changes) == maxChanges {
		changes = changes[1:]
	}
	// Versions share one array: a change is appended behind the end of the earlier versions' slices.
	m.storeVersion(appendEncoded(changes, m.state.latestChange()))
}

// publishRestored encodes and publishes all retained changes of a state that replaced the previous one. The
// caller must hold mu.
func (m *fsm) publishRestored() {
	m.restoreCount++
	var changes []encodedChange
	for _, c := range m.state.retainedChanges() {
		changes = appendEncoded(changes, c)
	}
	m.storeVersion(changes)
}

// storeVersion publishes the state's generation with the encoded changes, and wakes the notifier. The caller
// must hold mu.
func (m *fsm) storeVersion(changes []encodedChange) {
	m.published.Store(&publishedVersion{m.state.Generation(), changes, m.published.Load().updated})
	select {
	case m.publishedSignal <- struct{}{}:
	default:
	}
}

// appendEncoded encodes a change and appends it to the earlier ones.
func appendEncoded(changes []encodedChange, c Change) []encodedChange {
	encoded := encodeChange(c)
	encoded.cumulativeBytes = uint64(len(encoded.chunk))
	if n := len(changes); n > 0 {
		encoded.cumulativeBytes += changes[n-1].cumulativeBytes
	}
	return append(changes, encoded)
}

func encodeChange(c Change) encodedChange {
	return encodedChange{generation: c.Generation, chunk: encodeMessage(message{Generation: c.Generation, Entries: c.Entries})}
}

// encodeMessage returns an HTTP chunk with a message as one line of JSON.
func encodeMessage(m message) []byte {
	text, err := json.Marshal(m)
	if err != nil { // only NaN and infinite weights fail, and ValidateRegistration rejects them
		panic(fmt.Sprintf("registry: encoding a valid entry: %v", err))
	}
	return httpChunk(append(text, '\n'))
}

// runNotifier wakes the watches after changes, until ctx ends: immediately for a change after a quiet period,
// and at most once per notifyInterval for a sequence of changes.
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

// notifyWatches wakes all waiting watches, so that they read again.
func (m *fsm) notifyWatches() {
	m.mu.Lock()
	next := *m.published.Load()
	updated := next.updated
	next.updated = make(chan struct{})
	m.published.Store(&next)
	m.mu.Unlock()
	close(updated)
}

// closedChannel is the update signal of a watch that should read again immediately.
var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// watchRead is the data that a watch sends next.
type watchRead struct {
	chunks      [][]byte      // in order; watches share the bytes, which must not be modified
	generation  uint64        // generation of the watch after the chunks
	readerAhead bool          // the reader's generation is above this replica's
	updated     chan struct{} // closed when the watch should read again
}

// readSince returns the changes after a generation, up to maxChangesPerRead of them. It returns the full list
// if these changes are not available, or if the generation is 0. A reader that is ahead of the replica gets
// no chunks.
func (m *fsm) readSince(from uint64) watchRead {
	v := m.published.Load()
	if from > v.generation {
		return watchRead{generation: v.generation, updated: v.updated, readerAhead: true}
	}
	changes, ok := v.changesSince(from)
	if !ok || from == 0 {
		return m.readFullList(v)
	}
	read := watchRead{generation: v.generation, updated: v.updated}
	if len(changes) > maxChangesPerRead {
		changes = changes[:maxChangesPerRead]
		read.generation, read.updated = changes[maxChangesPerRead-1].generation, closedChannel
	}
	read.chunks = make([][]byte, 0, len(changes))
	for _, c := range changes {
		read.chunks = append(read.chunks, c.chunk)
	}
	return read
}

// readFullList returns the full list for a watch. v must have been loaded before the call: a change that is
// published in the meantime then closes v.updated, and the watch reads again.
func (m *fsm) readFullList(v *publishedVersion) watchRead {
	list := m.listForWatch()
	read := watchRead{chunks: [][]byte{list.chunk}, generation: list.generation, updated: v.updated}
	if list.generation < v.generation {
		read.updated = closedChannel
	}
	return read
}
