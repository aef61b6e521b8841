package discovery

import (
	"bufio"
	"encoding/json"
	"io"
)

// LineReader reads the body of a watch that has one message on each line, as the list service writes it. Unlike
// [Splitter] with [ParseLenient] it accepts no message that spans lines, and the first malformed line ends the watch.
type LineReader struct {
	lines *bufio.Scanner
}

// NewLineReader returns a reader of body that accepts lines of up to about maxLine bytes.
func NewLineReader(body io.Reader, maxLine int) *LineReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	return &LineReader{lines}
}

// Next waits for the next line: a message, or an empty line, which is a heartbeat. The error is [io.EOF] at the end of
// the watch, a [*MalformedLineError] where the line is no message, or the body's own.
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

// MalformedLineError is a line of a watch that is no message.
type MalformedLineError struct {
	Line string
	Err  error
}

// Error implements error.
func (e *MalformedLineError) Error() string { return "malformed line: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MalformedLineError) Unwrap() error { return e.Err }
