package testbed

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Ways in which changes may be encoded.
var listEncodings = []string{"indent", "trickle", "half", "noise", "entry"}

// setEncoding sets how changes are encoded.
func (l *list) setEncoding(how string) {
	l.mu.Lock()
	l.encoding = how
	l.mu.Unlock()
}

// encode is a message as it is written, in pieces.
func (l *list) encode(m listMessage) ([][]byte, error) {
	l.mu.Lock()
	how := l.encoding
	l.mu.Unlock()
	text, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if m.Reset && how != "indent" && how != "trickle" {
		how = "" // what can't be read can be made up for by the whole list
	}
	switch how {
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
	if how == "trickle" {
		return slices.Collect(slices.Chunk(text, trickleChunk)), nil
	}
	return [][]byte{text}, nil
}
