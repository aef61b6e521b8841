package registry

import (
	"bytes"
	"fmt"
	"slices"
)

// maxCachedListLag is the fraction of the full list's bytes that the changes since may come to before the list is
// encoded again for watches. Up to then a watch is sent the earlier list and the changes, so that slow readers hold few
// copies.
const maxCachedListLag = 1.0 / 8

// encodedList is the full list at a generation as a watch sends it.
type encodedList struct {
	generation   uint64
	restoreCount uint64 // of the FSM when it was encoded
	chunk        []byte // nil: there is none
}

// json returns the list as one line of JSON.
func (l encodedList) json() []byte {
	start := bytes.Index(l.chunk, crlf) + len(crlf)
	return l.chunk[start : len(l.chunk)-len(crlf)]
}

// crlf ends the length and the content of a chunk.
var crlf = []byte("\r\n")

// httpChunk frames text as a chunk of HTTP/1.1.
func httpChunk(text []byte) []byte {
	return slices.Concat(fmt.Appendf(nil, "%x", len(text)), crlf, text, crlf)
}

// currentList returns the full list at the current generation.
func (m *fsm) currentList() encodedList {
	m.encodeMu.Lock()
	defer m.encodeMu.Unlock()
	return m.encodeList(func(list encodedList, s *State) bool { return list.generation == s.Generation() })
}

// listForWatch returns the full list as a watch may begin with it: an earlier one where the changes since are kept and
// few.
func (m *fsm) listForWatch() encodedList {
	m.encodeMu.Lock()
	defer m.encodeMu.Unlock()
	return m.encodeList(func(list encodedList, _ *State) bool { return m.published.Load().isCloseTo(list) })
}

// isCloseTo reports whether the changes since a list are kept and at most maxCachedListLag of its size.
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

// encodeList returns the cached list where usable accepts it, or encodes the current one. Only the copying of the
// entries delays changes. Called with encodeMu held.
func (m *fsm) encodeList(usable func(encodedList, *State) bool) encodedList {
	m.mu.Lock()
	if m.cachedList.chunk != nil && m.cachedList.restoreCount == m.restoreCount && usable(m.cachedList, m.state) {
		m.mu.Unlock()
		return m.cachedList
	}
	generation, restoreCount, entries := m.state.Generation(), m.restoreCount, m.state.unsortedEntries()
	m.mu.Unlock()
	sortEntries(entries)
	chunk := encodeMessage(message{Generation: generation, Reset: true, Instances: entries})
	m.cachedList = encodedList{generation, restoreCount, chunk}
	return m.cachedList
}
