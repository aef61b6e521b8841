package discovery

import (
	"errors"
	"slices"
	"testing"
)

// For any text, parsed entries are within the documented ranges of ParsedEntry. ParseLenient returns either
// an error or a message with field errors, not both.
func FuzzParseLenient(f *testing.F) {
	f.Add([]byte(`{"generation":8,"reset":true,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:1","lifecycle":"up","weight":1,"startedAtMs":1e12}]}`))
	f.Add([]byte(`{"generation":"8","instances":[{"instanceId":"a","hostPort":7,"lifecycle":"odd","weight":-1,"startedAtMs":-1},null,{}]}`))
	f.Add([]byte(`{"instances":[` + drainingEntry + `,{"instanceId":`))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, fieldErrors, err := ParseLenient(text)
		if err != nil && (len(m.Entries) > 0 || len(fieldErrors) > 0) {
			t.Errorf("error %v with %d entries and %d field errors", err, len(m.Entries), len(fieldErrors))
		}
		for _, e := range slices.Concat(m.Entries, ParsePartial(text)) {
			if e.ID == "" || !(e.Weight >= 0 && e.Weight <= MaxWeight) || e.StartedAt < 0 {
				t.Errorf("entry %+v, want an ID, a weight from 0 to %v and a start time of at least 0", e, MaxWeight)
			}
			if e.Lifecycle != Up && e.Lifecycle != Draining && e.Lifecycle != Removed || e.Lifecycle == Up && !e.Addr.IsValid() {
				t.Errorf("lifecycle %q with address %v, want a known lifecycle, and a valid address if up", e.Lifecycle, e.Addr)
			}
		}
	})
}

// The messages, heartbeats and error of a stream do not depend on the sizes of the pieces in which it is fed.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("\n{\"a\":\"}{\\\"[\"}\n\n{\n \"b\": [1]\n}\n{\"c"), 3)
	f.Add([]byte("{\"a\":1}x{}"), 1)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		if piece <= 0 {
			return
		}
		wantMessages, wantHeartbeats, wantErr := split([][]byte{text})
		messages, heartbeats, err := split(slices.Collect(slices.Chunk(text, piece)))
		if !slices.Equal(messages, wantMessages) || heartbeats != wantHeartbeats || !errors.Is(err, wantErr) {
			t.Errorf("in pieces of %d bytes: %q, %d heartbeats, error %v; in one piece: %q, %d, %v",
				piece, messages, heartbeats, err, wantMessages, wantHeartbeats, wantErr)
		}
	})
}

// split feeds pieces to a Splitter until the first error.
func split(pieces [][]byte) (messages []string, heartbeats int, err error) {
	var s Splitter
	for _, p := range pieces {
		if err := s.Feed(p, func(m []byte) { messages = append(messages, string(m)) }, func() { heartbeats++ }); err != nil {
			return messages, heartbeats, err
		}
	}
	return messages, heartbeats, nil
}
