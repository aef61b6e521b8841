package testbed

import (
	"bytes"
	"encoding/json"
	"slices"
)

// listEncodings are the unusual encodings of list messages that a scenario may use: indented JSON over
// several lines, small chunks, a truncated message, a prefix that is not JSON, and an additional malformed
// entry.
var listEncodings = []string{"indent", "trickle", "half", "noise", "entry"}

// setEncoding sets the encoding of list messages to one of listEncodings, or to the normal one if it is "".
func (l *list) setEncoding(encoding string) {
	l.mu.Lock()
	l.encoding = encoding
	l.mu.Unlock()
}

// encode encodes a message in the current encoding. It returns the chunks to write, one after another. A full
// list is always readable, so that a node can recover from changes that it could not read.
func (l *list) encode(m listMessage) ([][]byte, error) {
	l.mu.Lock()
	encoding := l.encoding
	l.mu.Unlock()
	text, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if m.Reset && encoding != "indent" && encoding != "trickle" {
		encoding = ""
	}
	switch encoding {
	case "indent":
		var b bytes.Buffer
		if err := json.Indent(&b, text, "", "\t"); err != nil {
			return nil, err
		}
		text = b.Bytes()
	case "half":
		text = text[:len(text)/2]
	case "noise":
		text = append([]byte("\x00\xff{]"), text...)
	case "entry":
		text = bytes.Replace(text, []byte(`"instances":[`), []byte(`"instances":[{"instanceId":17,"lifecycle":{}},`), 1)
	}
	text = append(text, '\n')
	if encoding == "trickle" {
		return slices.Collect(slices.Chunk(text, trickleChunk)), nil
	}
	return [][]byte{text}, nil
}
