package follower

import (
	"fmt"

	"opalhook/internal/discovery"
	"opalhook/internal/edgenode/endpointlist"
)

// messageReader turns the response body of a call into events.
type messageReader struct {
	split discovery.Splitter
	done  bool // an event that ends the call was returned
}

// read returns the events for the next bytes of the body. A non-nil end is the error with which the body
// ended, io.EOF included.
func (r *messageReader) read(text []byte, end error) (events []callEvent) {
	message := func(text []byte) {
		if r.done {
			return
		}
		l, fieldErrors, err := endpointlist.Parse(text)
		if err != nil {
			events = append(events, r.malformed(err, text))
			return
		}
		events = append(events, callEvent{kind: eventMessage, list: l, fieldErrors: fieldErrors})
	}
	heartbeat := func() {
		if !r.done {
			events = append(events, callEvent{kind: eventHeartbeat})
		}
	}
	err := r.split.Feed(text, message, heartbeat)
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

// malformed stops the reader and returns the event for a text that is not a valid message. The event's list
// contains the endpoints that the text reports as draining or removed.
func (r *messageReader) malformed(err error, text []byte) callEvent {
	r.done = true
	return callEvent{
		kind: eventMalformed,
		err:  fmt.Errorf("malformed message: %w", err),
		list: endpointlist.List{Endpoints: endpointlist.ParsePartial(text)},
	}
}
