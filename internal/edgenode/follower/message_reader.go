package follower

import (
	"fmt"

	"opalhook/internal/discovery"
	"opalhook/internal/edgenode/endpointlist"
)

// messageReader turns what comes on a call into events.
type messageReader struct {
	split discovery.Splitter
	done  bool // the call has ended, or is to be closed
}

// read reads what has come, and the error that ended the call, if any.
func (r *messageReader) read(text []byte, end error) (events []callEvent) {
	message := func(text []byte) {
		if r.done {
			return
		}
		l, entryErrors, err := endpointlist.Parse(text)
		if err != nil {
			events = append(events, r.malformed(err, text))
			return
		}
		events = append(events, callEvent{kind: eventMessage, list: l, entryErrors: entryErrors})
	}
	emptyLine := func() {
		if !r.done {
			events = append(events, callEvent{kind: eventEmptyLine})
		}
	}
	err := r.split.Feed(text, message, emptyLine)
	if err == nil && end != nil && r.split.Incomplete() {
		err = discovery.ErrTruncated
	}
	switch {
	case r.done:
	case err != nil:
		events = append(events, r.malformed(err, r.split.Partial()))
	case end != nil:
		events = append(events, callEvent{kind: eventEnd, err: end})
		r.done = true
	case r.split.Incomplete():
		events = append(events, callEvent{kind: eventPartial})
	}
	return events
}

// malformed ends the reading of a text that is no message. What could be read of it is in the event's list.
func (r *messageReader) malformed(err error, text []byte) callEvent {
	r.done = true
	return callEvent{
		kind: eventMalformed,
		err:  fmt.Errorf("malformed message: %w", err),
		list: endpointlist.List{Endpoints: endpointlist.ParsePartial(text)},
	}
}
