package registry

import (
	"bytes"
	"fmt"
	"slices"
)

// maxCachedListLag limits how far the cached list may lag behind the current one: the total size of the
// changes since it was encoded, as a fraction of the size of the list. Below the limit, a watch that needs
// the full list is sent the cached list followed by the changes. Slow readers then share few copies of the
// list.
const maxCachedListLag = 1.0 / 8

// encodedList is the full list at a generation, encoded for watches.
type encodedList struct {
	generation   uint64
	restoreCount uint64 // value of fsm.restoreCount when the list was encoded
	chunk        []byte // HTTP chunk with one line of JSON; nil: no list has been encoded
}

// json returns the list as one line of JSON, without the chunk's framing.
func (l encodedList) json() []byte {
	start := bytes.Index(l.chunk, crlf) + len(crlf)
	return l.chunk[start : len(l.chunk)-len(crlf)]
}

// crlf ends the size line and the data of a chunk.
var crlf = []byte("\r\n")

// httpChunk frames text as an HTTP/1.1 chunk.
func httpChunk(text []byte) []byte {
	return slices.Concat(fmt.Appendf(nil, "%x", len(text)), crlf, text, crlf)
}

// currentList returns the full list at the current generation.
func (m *fsm) currentList() encodedList {
	m.encodeMu.Lock()
	defer m.encodeMu.Unlock()
	return m.encodeList(func(list encodedList, s *State) bool { return list.generation == s.Generation() })
}

// listForWatch returns the full list for a watch. This is the cached list, if the changes since it was
// encoded are retained and small enough.
func (m *fsm) listForWatch() encodedList {
	m.encodeMu.Lock()
	defer m.encodeMu.Unlock()
	return m.encodeList(func(list encodedList, _ *State) bool { return m.published.Load().isCloseTo(list) })
}

// isCloseTo reports whether the changes since the list was encoded are retained and amount to at most
// maxCachedListLag of the list's size.
func (v *publishedVersion) isCloseTo(list encodedList) bool {
	changes, ok := v.changesSince(list.generation)
	if !ok {
		return false
	}
	var lag uint64 // bytes
	if n := len(changes); n > 0 {
		first, last := changes[0], changes[n-1]
		lag = last.cumulativeBytes - first.cumulativeBytes + uint64(len(first.chunk))
	}
	return float64(lag) <= maxCachedListLag*float64(len(list.chunk))
}

// encodeList returns the cached list if usable accepts it, and otherwise encodes the current list. It holds
// mu only while it copies the entries, so that encoding does not delay changes. The caller must hold
// encodeMu.
func (m *fsm) encodeList(usable func(encodedList, *State) bool) encodedList {
	m.mu.Lock()
	if m.cachedList.chunk != nil && m.cachedList.restoreCount == m.restoreCount && usable(m.cachedList, m.state) {
		m.mu.Unlock()
		return m.cachedList
	}
	generation, restoreCount, entries := m.state.Generation(), m.restoreCount, m.state.unsortedEntries()
	m.mu.Unlock()
	sortEntries(entries)
	chunk := encodeMessage(message{Generation: generation, Snapshot: true, Entries: entries})
	m.cachedList = encodedList{generation, restoreCount, chunk}
	return m.cachedList
}
