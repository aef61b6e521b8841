package agent

import (
	"log/slog"

	"opalhook/internal/discovery"
)

// ActionKind says what the host has to do.
type ActionKind int

// Kinds of actions.
const (
	OpenWatch     ActionKind = iota // open a watch at Replica from generation From, as call CallID
	CloseWatch                      // close the watch CallID
	FetchSnapshot                   // fetch the complete list from Replica
	PublishList                     // send List to the nodes
	LogEvent                        // log Event
)

// Action is one thing for the host to do. The fields that a kind does not name are zero.
type Action struct {
	Kind    ActionKind
	Replica string
	CallID  uint64
	From    uint64
	List    discovery.Message
	Event   Event
}

// Event is a line for the log. Its message is constant; what varies is in the attributes.
type Event struct {
	Level   slog.Level
	Message string
	Attrs   []slog.Attr
}

// DrainActions returns the actions to carry out, in order, and forgets them.
func (f *Follower) DrainActions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

func (f *Follower) emit(a Action) { f.actions = append(f.actions, a) }

// warn logs an event at the level that is shown by default: an end of an outage is worth as much as its begin.
func (f *Follower) warn(message string, attrs ...slog.Attr) {
	f.emit(Action{Kind: LogEvent, Event: Event{slog.LevelWarn, message, attrs}})
}
