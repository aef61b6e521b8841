package agent

import (
	"log/slog"

	"opalhook/internal/discovery"
)

// ActionKind is the kind of an [Action].
type ActionKind int

// Kinds of actions, with the fields of [Action] that they use.
const (
	OpenWatch     ActionKind = iota // open a watch at Replica from generation From, as call CallID
	CloseWatch                      // close the watch CallID
	FetchSnapshot                   // fetch the complete list from Replica
	PublishList                     // send List to the nodes
	WriteLog                        // log Record
)

// Action is an instruction of a [Follower] to its host. The fields that its kind does not use are zero.
type Action struct {
	Kind    ActionKind
	Replica string // address, host:port
	CallID  uint64
	From    uint64 // generation
	List    discovery.Message
	Record  LogRecord
}

// LogRecord is a record for the log of the host. Its message is constant; variable data is in the attributes.
type LogRecord struct {
	Level   slog.Level
	Message string
	Attrs   []slog.Attr
}

// TakeActions returns the pending actions in the order in which they have to be performed, and removes them.
func (f *Follower) TakeActions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

func (f *Follower) emit(a Action) { f.actions = append(f.actions, a) }

// warn emits an action that writes a log record at the warning level, which is shown by default. The end of
// an outage has the same level as its start, so that operators see both.
func (f *Follower) warn(message string, attrs ...slog.Attr) {
	f.emit(Action{Kind: WriteLog, Record: LogRecord{slog.LevelWarn, message, attrs}})
}
