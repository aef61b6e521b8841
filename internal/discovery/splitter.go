package discovery

import (
	"errors"
	"fmt"
)

// MaxStreamMessage is the default size limit for an incomplete message that a [Splitter] buffers, in bytes.
const MaxStreamMessage = 16 << 20

// Errors that end a stream of messages.
var (
	// ErrTooLong means that a message exceeds the limit of its [Splitter].
	ErrTooLong = errors.New("message is too long")
	// ErrNotObject means that a message does not begin with an opening brace.
	ErrNotObject = errors.New("not a JSON object")
	// ErrTruncated means that a message is incomplete: an empty line or the end of the stream follows it, or
	// one of its strings contains a control character such as a line end.
	ErrTruncated = errors.New("message is truncated")
)

// splitState is the position of a [Splitter] in the syntax of the stream.
type splitState int

const (
	betweenMessages splitState = iota
	inMessage                  // inside a message, outside its strings
	inString
	afterBackslash // inside a string, after a backslash
)

// Splitter splits the body of a watch into messages. A message is one JSON object, which may span lines.
// Messages are separated by line ends, and an empty line is a heartbeat. The zero value is ready for a new
// stream.
type Splitter struct {
	Limit int // size limit for an incomplete message, in bytes; 0: MaxStreamMessage

	state     splitState
	partial   []byte // bytes of the incomplete message
	depth     int    // number of open braces and brackets
	blankLine bool   // whether the current line of the message has only white space so far
}

// Feed reads the next piece of the stream. It calls message for each complete message, with bytes that are
// valid only during the call, and heartbeat for each line end between messages. After an error the stream
// can't be continued, and [Splitter.Partial] returns the bytes that caused it.
func (s *Splitter) Feed(text []byte, message func([]byte), heartbeat func()) error {
	from := 0 // start of the current message in text
	for i := 0; i < len(text); i++ {
		if s.state == inString {
			if i += plainPrefix(text[i:]); i == len(text) {
				break
			}
		}
		c := text[i]
		if s.state == betweenMessages {
			switch {
			case c == '{':
				from = i
				s.state, s.depth, s.blankLine = inMessage, 1, false
			case c == '\n':
				heartbeat()
			case !isBlank(c):
				s.partial = append(s.partial[:0], text[i:]...)
				return ErrNotObject
			}
			continue
		}
		if !s.step(c) {
			s.partial = append(s.partial, text[from:]...)
			return ErrTruncated
		}
		if s.depth == 0 {
			s.partial = append(s.partial, text[from:i+1]...)
			message(s.partial)
			s.state, s.partial = betweenMessages, s.partial[:0]
		}
	}
	if s.state == betweenMessages {
		s.partial = nil // do not keep a buffer for the largest list while the watch is idle
		return nil
	}
	s.partial = append(s.partial, text[from:]...)
	limit := s.Limit
	if limit == 0 {
		limit = MaxStreamMessage
	}
	if len(s.partial) > limit {
		return fmt.Errorf("%w: it exceeds %d bytes", ErrTooLong, limit)
	}
	return nil
}

// step reads one byte of a message. It returns false if the message is truncated before that byte.
func (s *Splitter) step(c byte) bool {
	switch s.state {
	case inString, afterBackslash:
		return s.stepString(c)
	}
	switch {
	case c == '\n':
		if s.blankLine { // a heartbeat, so the server will not complete the message
			return false
		}
		s.blankLine = true
		return true
	case isBlank(c):
		return true
	}
	s.blankLine = false
	switch c {
	case '"':
		s.state = inString
	case '{', '[':
		s.depth++
	case '}', ']':
		s.depth--
	}
	return true
}

// stepString reads one byte of a string. It returns false for a control character, which JSON strings can't
// contain.
func (s *Splitter) stepString(c byte) bool {
	switch {
	case c < ' ':
		return false
	case s.state == afterBackslash:
		s.state = inString
	case c == '\\':
		s.state = afterBackslash
	case c == '"':
		s.state = inMessage
	}
	return true
}

// plainPrefix returns the number of leading bytes of text that neither end a string nor begin an escape
// sequence and are not control characters.
func plainPrefix(text []byte) int {
	for i, c := range text {
		if c < ' ' || c == '\\' || c == '"' {
			return i
		}
	}
	return len(text)
}

// isBlank reports whether c is white space within a line.
func isBlank(c byte) bool { return c == ' ' || c == '\t' || c == '\r' }

// Incomplete reports whether the stream so far ends inside a message.
func (s *Splitter) Incomplete() bool { return s.state != betweenMessages }

// Partial returns the bytes of the incomplete message, or the malformed bytes after [Splitter.Feed] has
// failed.
func (s *Splitter) Partial() []byte { return s.partial }
