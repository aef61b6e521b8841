package discovery

import (
	"errors"
	"fmt"
)

// MaxStreamMessage bounds one message that a [Splitter] collects, in bytes.
const MaxStreamMessage = 16 << 20

// Errors that end a stream of messages.
var (
	// ErrTooLong means that a message exceeds [MaxStreamMessage].
	ErrTooLong = fmt.Errorf("message of over %d bytes", MaxStreamMessage)
	// ErrNoMessage means that something other than a JSON object stands between messages.
	ErrNoMessage = errors.New("not a JSON object")
	// ErrTruncated means that a message was not completed.
	ErrTruncated = errors.New("message is truncated")
)

// Splitter cuts the body of a watch into messages. A message is one JSON object, on one line or indented over many;
// messages are separated by line ends, and an empty line is a heartbeat. The zero value is ready for a new stream.
type Splitter struct {
	part   []byte // of the message that has begun
	depth  int    // of brackets open in it
	quoted bool   // inside a string
	escape bool   // after a backslash
	blank  bool   // nothing but white space on this line so far
}

// Feed takes the next piece of the stream. It calls message for each complete message, whose bytes are valid during the
// call only, and heartbeat for each line end between messages. An error ends the stream; [Splitter.Partial] then
// returns what was being read.
func (s *Splitter) Feed(text []byte, message func([]byte), heartbeat func()) error {
	from := 0 // of the message in text
	for i, c := range text {
		switch {
		case s.depth == 0 && c == '{':
			from, s.depth, s.blank = i, 1, false
		case s.depth == 0 && c == '\n':
			heartbeat()
		case s.depth == 0:
			if c != ' ' && c != '\t' && c != '\r' {
				s.part = append(s.part[:0], text[i:]...)
				return ErrNoMessage
			}
		case s.quoted:
			switch {
			case c < ' ':
				s.part = append(s.part, text[from:]...)
				return ErrTruncated
			case s.escape:
				s.escape = false
			case c == '\\':
				s.escape = true
			case c == '"':
				s.quoted = false
			}
		case c == '\n':
			if s.blank { // the empty line that says that nothing changes: the message was not ended
				s.part = append(s.part, text[from:]...)
				return ErrTruncated
			}
			s.blank = true
		case c == ' ' || c == '\t' || c == '\r':
		default:
			s.blank = false
			switch c {
			case '"':
				s.quoted = true
			case '{', '[':
				s.depth++
			case '}', ']':
				s.depth--
			}
			if s.depth == 0 {
				s.part = append(s.part, text[from:i+1]...)
				message(s.part)
				s.part, s.blank = s.part[:0], false
			}
		}
	}
	if s.depth == 0 {
		s.part = nil // no buffer as large as the largest list is kept for a day of small changes
		return nil
	}
	s.part = append(s.part, text[from:]...)
	if len(s.part) > MaxStreamMessage {
		return ErrTooLong
	}
	return nil
}

// Incomplete reports whether a message has begun that is not complete yet.
func (s *Splitter) Incomplete() bool { return s.depth > 0 }

// Partial returns the bytes of the message that has begun, or what stood in its place when [Splitter.Feed] failed.
func (s *Splitter) Partial() []byte { return s.part }
