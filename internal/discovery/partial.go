package discovery

import (
	"bytes"
	"encoding/json"
)

// Limits on the work of [ParsePartial].
const (
	maxPartialEntry  = 4 << 10 // largest entry, in bytes
	maxPartialStarts = 1 << 14 // largest number of opening braces that are tried as the start of an entry
)

// ParsePartial returns the draining and removed entries in a malformed or truncated message. The caller can
// fetch the rest of the list again, but must not send requests to these endpoints in the meantime.
func ParsePartial(text []byte) (leaving []ParsedEntry) {
	for range maxPartialStarts {
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			break
		}
		text = text[at:]
		var entry json.RawMessage
		d := json.NewDecoder(bytes.NewReader(text[:min(len(text), maxPartialEntry)]))
		if d.Decode(&entry) != nil {
			text = text[1:] // a complete entry may begin inside this one
			continue
		}
		text = text[d.InputOffset():]
		fields := fieldReader{entryIndex: noEntry}
		if e, ok := fields.entry(entry); ok && e.Lifecycle != Up {
			leaving = append(leaving, e)
		}
	}
	return leaving
}
