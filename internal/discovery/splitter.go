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

// splitState is what the bytes of a stream belong to.
type splitState int

const (
	betweenMessages splitState = iota
	inMessage                  // and in none of its strings
	inString
	afterBackslash // in a string
)

// Splitter cuts the body of a watch into messages. A message is one JSON object, on one line or indented over many;
// messages are separated by line ends, and an empty line is a heartbeat. The zero value is ready for a new stream.
type Splitter struct {
	state     splitState
	part      []byte // of the message that has begun
	depth     int    // of the brackets that are open in it
	blankLine bool   // only white space on this line of it so far
}

// Feed takes the next piece of the stream. It calls message for each complete message, whose bytes are valid during the
// call only, and heartbeat for each line end between messages. An error ends the stream; [Splitter.Partial] then
// returns what was being read.
func (s *Splitter) Feed(text []byte, message func([]byte), heartbeat func()) error {
	from := 0 // of the message in text
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
				s.part = append(s.part[:0], text[i:]...)
				return ErrNoMessage
			}
			continue
		}
		if !s.step(c) {
			s.part = append(s.part, text[from:]...)
			return ErrTruncated
		}
		if s.depth == 0 {
			s.part = append(s.part, text[from:i+1]...)
			message(s.part)
			s.state, s.part = betweenMessages, s.part[:0]
		}
	}
	if s.state == betweenMessages {
		s.part = nil // a buffer for the largest list would otherwise stay for as long as the watch
		return nil
	}
	s.part = append(s.part, text[from:]...)
	if len(s.part) > MaxStreamMessage {
		return ErrTooLong
	}
	return nil
}

// step takes one byte of a message. It reports whether the message can go on with it.
func (s *Splitter) step(c byte) bool {
	switch s.state {
	case inString, afterBackslash:
		return s.stepString(c)
	}
	switch {
	case c == '\n':
		if s.blankLine { // a heartbeat: the message before it was never completed
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

// stepString takes one byte of a string. It reports whether a string may contain it.
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

// plainPrefix returns the number of bytes at the start of text that only go on with a string.
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

// Incomplete reports whether a message has begun that is not complete yet.
func (s *Splitter) Incomplete() bool { return s.state != betweenMessages }

// Partial returns the bytes of the message that has begun, or what stood in its place when [Splitter.Feed] failed.
func (s *Splitter) Partial() []byte { return s.part }
