package edgenode

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"opalhook/balancer"
)

// List is one message of discovery.
type List struct {
	Generation uint64
	Full       bool // the complete list: a server missing from it is gone
	Servers    []Instance
}

// Instance is one app server and where it listens.
type Instance struct {
	balancer.Endpoint
	Addr netip.AddrPort // invalid for one that is not up and whose address can't be read
}

// mostWeight is the largest weight that is taken for one.
const mostWeight = 1e6

// parseList parses one message of discovery. What is spoilt costs as little as can be:
//
//   - an entry whose id can't be read is left out;
//   - one whose id can be read counts as draining, unless it is said to be gone, where its state,
//     its address or its start can't be: nothing new may go to a server that may be leaving;
//   - zone, kind, cell and weight are not told where they can't be read.
//
// The errors in spoilt name each field; err means that the text is no message at all.
func parseList(text []byte) (l List, spoilt []error, err error) {
	var raw struct {
		Generation json.RawMessage
		Reset      json.RawMessage
		Instances  []json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return List{}, nil, err
	}
	field := func(name string, text json.RawMessage, into any) {
		if len(text) == 0 {
			return
		}
		if err := json.Unmarshal(text, into); err != nil {
			spoilt = append(spoilt, fmt.Errorf("%s: %.40q is not what it should be", name, text))
		}
	}
	field("generation", raw.Generation, &l.Generation)
	field("reset", raw.Reset, &l.Full)
	if l.Full && raw.Instances == nil {
		return List{}, nil, errors.New("instances: a whole list has none")
	}
	for i, text := range raw.Instances {
		s, errs := parseInstance(text)
		for _, err := range errs {
			spoilt = append(spoilt, fmt.Errorf("instances[%d].%w", i, err))
		}
		if s.ID != "" {
			l.Servers = append(l.Servers, s)
		}
	}
	return l, spoilt, nil
}

// parseInstance parses one entry by the rules of [parseList]; the errors name the fields. An
// entry without an id that can be read comes back without one.
func parseInstance(text []byte) (s Instance, spoilt []error) {
	var raw struct {
		InstanceID, HostPort, Zone, MachineType, Cell, Lifecycle, Weight, StartedAtMs json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Instance{}, []error{fmt.Errorf("instanceId: %.40q is no entry", text)}
	}
	field := func(name string, text json.RawMessage, into any) bool {
		if len(text) == 0 {
			return true
		}
		if err := json.Unmarshal(text, into); err != nil {
			spoilt = append(spoilt, fmt.Errorf("%s: %.40q is not what it should be", name, text))
			return false
		}
		return true
	}
	var lifecycle, hostPort string
	var started float64
	if field("instanceId", raw.InstanceID, &s.ID); s.ID == "" {
		return Instance{}, append(spoilt, errors.New("instanceId: is empty"))
	}
	field("zone", raw.Zone, &s.Zone)
	field("machineType", raw.MachineType, &s.MachineType)
	field("cell", raw.Cell, &s.Cell)
	if field("weight", raw.Weight, &s.Weight); !(s.Weight >= 0 && s.Weight <= mostWeight) {
		spoilt = append(spoilt, fmt.Errorf("weight: %v is not from 0 to %v", s.Weight, mostWeight))
		s.Weight = 0
	}
	field("lifecycle", raw.Lifecycle, &lifecycle)
	switch lifecycle {
	case "up":
		s.State = balancer.Up
	case "draining":
		s.State = balancer.Draining
	case "removed":
		s.State = balancer.Removed
	default:
		spoilt = append(spoilt, fmt.Errorf("lifecycle: %q is neither up, draining nor removed", lifecycle))
		s.State = balancer.Draining
	}
	doubted := !field("startedAtMs", raw.StartedAtMs, &started)
	if started < 0 || started > math.MaxInt64/float64(time.Millisecond) {
		spoilt = append(spoilt, fmt.Errorf("startedAtMs: %v is out of range", started))
		doubted, started = true, 0
	}
	s.StartedAt = time.Duration(started * float64(time.Millisecond))
	field("hostPort", raw.HostPort, &hostPort)
	var err error
	if s.Addr, err = address("hostPort", hostPort); err != nil && s.State != balancer.Removed {
		spoilt, doubted = append(spoilt, err), true
	}
	if doubted && s.State == balancer.Up {
		s.State = balancer.Draining
	}
	return s, spoilt
}

// Bounds of [salvage], which reads what nobody meant to write.
const (
	mostEntry  = 4 << 10 // bytes of an entry
	mostStarts = 1 << 14 // places at which one may begin
)

// salvage returns the entries of servers that leave or are gone from a text that is no whole
// message: what else it said is asked for anew, but these must get nothing more until then.
func salvage(text []byte) (leaving []Instance) {
	for range mostStarts {
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			break
		}
		text = text[at:]
		var entry json.RawMessage
		d := json.NewDecoder(bytes.NewReader(text[:min(len(text), mostEntry)]))
		if d.Decode(&entry) != nil {
			text = text[1:] // a whole entry may begin inside of this one
			continue
		}
		text = text[d.InputOffset():]
		if s, _ := parseInstance(entry); s.ID != "" && s.State != balancer.Up {
			leaving = append(leaving, s)
		}
	}
	return leaving
}

// maxList bounds one message of discovery, in bytes.
const maxList = 16 << 20

// Why a stream of messages can't be read on.
var (
	errListTooLong = fmt.Errorf("a message of over %d bytes", maxList)
	errListGarbage = errors.New("what comes is no message")
	errListCut     = errors.New("a message ends in its middle")
)

// splitter cuts what comes on a watch into messages. A message is one JSON object, on one line
// or indented over many; between them come line ends, also those of empty lines.
type splitter struct {
	part   []byte // of the message that has begun
	depth  int    // of brackets open in it
	quoted bool   // inside a string
	escape bool   // behind a backslash
	blank  bool   // nothing has come on this line
}

// feed takes what has come. It calls message for each message that is whole, and beat for each
// line end between messages. An error ends the stream; part holds what was being read.
func (s *splitter) feed(text []byte, message func([]byte), beat func()) error {
	from := 0 // of the message in text
	for i, c := range text {
		switch {
		case s.depth == 0 && c == '{':
			from, s.depth, s.blank = i, 1, false
		case s.depth == 0 && c == '\n':
			beat()
		case s.depth == 0:
			if c != ' ' && c != '\t' && c != '\r' {
				s.part = append(s.part[:0], text[i:]...)
				return errListGarbage
			}
		case s.quoted:
			switch {
			case c < ' ':
				s.part = append(s.part, text[from:]...)
				return errListCut
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
				return errListCut
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
	if len(s.part) > maxList {
		return errListTooLong
	}
	return nil
}

// begun tells whether part of a message has come.
func (s *splitter) begun() bool { return s.depth > 0 }
