package discovery

import (
	"bytes"
	"encoding/json"
)

// Bounds of the work of [ParsePartial].
const (
	maxPartialEntry  = 4 << 10 // bytes of an entry
	maxPartialStarts = 1 << 14 // opening braces at which an entry may begin
)

// ParsePartial returns the entries of endpoints that leave or are gone from a text that is no complete message. The rest of
// the message can be fetched anew, but these endpoints must get nothing more until then.
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
