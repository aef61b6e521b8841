package discovery

import (
	"bufio"
	"encoding/json"
	"io"
)

// LineReader reads the body of a watch with one message per line, the format of the list service. Unlike
// [Splitter] with [ParseLenient], it does not accept messages that span lines, and the first malformed line
// ends the watch.
type LineReader struct {
	lines *bufio.Scanner
}

// NewLineReader returns a reader of body that accepts lines of up to about maxLine bytes.
func NewLineReader(body io.Reader, maxLine int) *LineReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	return &LineReader{lines}
}

// Next waits for the next line, which is a message or, if empty, a heartbeat. It returns [io.EOF] at the end
// of the watch, a [*MalformedLineError] for a line that is not a message, and otherwise the error of reading
// the body or of a line that is too long.
func (r *LineReader) Next() (m Message, heartbeat bool, err error) {
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return Message{}, false, err
		}
		return Message{}, false, io.EOF
	}
	line := r.lines.Bytes()
	if len(line) == 0 {
		return Message{}, true, nil
	}
	if err := json.Unmarshal(line, &m); err != nil {
		return Message{}, false, &MalformedLineError{Line: string(line), Err: err}
	}
	return m, false, nil
}

// MalformedLineError means that a line of a watch is neither empty nor a message.
type MalformedLineError struct {
	Line string
	Err  error
}

// Error implements error.
func (e *MalformedLineError) Error() string { return "malformed line: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MalformedLineError) Unwrap() error { return e.Err }
