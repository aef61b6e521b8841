package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"
	"math"
	"net/netip"
	"time"
)

// MaxFieldErrors is the largest number of errors that [ParseLenient] returns for one message.
const MaxFieldErrors = 100

// MaxWeight is the largest weight that [ParseLenient] accepts.
const MaxWeight = 1e6

// ParsedMessage is a [Message] parsed by [ParseLenient].
type ParsedMessage struct {
	Generation uint64
	Snapshot   bool // whether the message is the complete list, so endpoints missing from it are removed
	Entries    []ParsedEntry
}

// ParsedEntry is an [Entry] parsed by [ParseLenient]. Each field has been checked separately. Fields other
// than Lifecycle have their zero values if they were missing or malformed.
type ParsedEntry struct {
	ID          string // never empty
	Addr        netip.AddrPort
	Zone        string
	MachineType string
	Cell        int
	Lifecycle   string        // [Up], [Draining] or [Removed]
	Weight      float64       // from 0 to [MaxWeight]
	StartedAt   time.Duration // Unix time; 0 means long ago
}

// ParseLenient parses one message and keeps the parts of a malformed message that are safe to act on:
//
//   - An entry without a readable ID is left out.
//   - An entry counts as draining if its lifecycle or address is missing or malformed, or its start time is
//     malformed, unless it is removed. The endpoint may be leaving, so it must not get new requests.
//   - Other malformed fields get their zero values.
//
// Each element of fieldErrors is a [*FieldError]. There are at most [MaxFieldErrors]; if there were more, the
// last element is a [*MoreFieldErrors] instead. A non-nil err means that no part of the text can be used: it is
// not a JSON object of the expected form, or it is a complete list without the field "instances".
func ParseLenient(text []byte) (m ParsedMessage, fieldErrors []error, err error) {
	var raw struct {
		Generation json.RawMessage
		Reset      json.RawMessage
		Instances  json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return ParsedMessage{}, nil, err
	}
	fields := fieldReader{entryIndex: noEntry}
	fields.read("generation", raw.Generation, &m.Generation)
	fields.read("reset", raw.Reset, &m.Snapshot)
	instances := raw.Instances
	if string(instances) == "null" {
		instances = nil
	}
	switch {
	case instances == nil && m.Snapshot:
		return ParsedMessage{}, nil, &FieldError{"instances", errMissing}
	case instances != nil && instances[0] != '[':
		return ParsedMessage{}, nil, &FieldError{"instances", errNotList}
	}
	for text := range elements(instances) {
		fields.entryIndex++
		if e, ok := fields.entry(text); ok {
			m.Entries = append(m.Entries, e)
		}
	}
	return m, fields.errors(), nil
}

// elements returns the elements of a list, as parts of its text, which must be valid JSON or empty.
func elements(list []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		depth, start := 0, 0
		for i := 0; i < len(list); i++ {
			end := false
			switch list[i] {
			case '"':
				i += stringLength(list[i:]) - 1
			case '[', '{':
				if depth++; depth == 1 {
					start = i + 1
				}
			case ']', '}':
				depth--
				end = depth == 0
			case ',':
				end = depth == 1
			}
			if !end {
				continue
			}
			if element := bytes.TrimSpace(list[start:i]); len(element) > 0 && !yield(element) {
				return
			}
			start = i + 1
		}
	}
}

// stringLength returns the length of the JSON string at the beginning of a text, with its quotes.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// fieldReader reads the fields of a message one by one and collects the errors of malformed fields.
type fieldReader struct {
	entryIndex  int     // index of the entry that is read; noEntry for the fields of the message itself
	fieldErrors []error // the first errors, at most MaxFieldErrors
	more        int     // number of further errors
}

// noEntry is the value of fieldReader.entryIndex while no entry is read.
const noEntry = -1

// addError records a [*FieldError] for a field of the current entry or of the message.
func (r *fieldReader) addError(name string, err error) {
	if len(r.fieldErrors) >= MaxFieldErrors {
		r.more++
		return
	}
	if r.entryIndex != noEntry {
		name = entryField(r.entryIndex, name)
	}
	r.fieldErrors = append(r.fieldErrors, &FieldError{name, err})
}

// errors returns the errors that were recorded.
func (r *fieldReader) errors() []error {
	if r.more > 0 {
		last := len(r.fieldErrors) - 1
		r.fieldErrors[last] = &MoreFieldErrors{Count: r.more + 1}
	}
	return r.fieldErrors
}

// read decodes a field into a variable, which stays unchanged if the field is missing. It returns false for a
// malformed field.
func (r *fieldReader) read(name string, text json.RawMessage, into any) bool {
	if len(text) == 0 {
		return true
	}
	if err := json.Unmarshal(text, into); err != nil {
		r.addError(name, fmt.Errorf("%.40q: %w", text, err))
		return false
	}
	return true
}

// entry reads one entry by the rules of [ParseLenient]. It reports whether the entry has an ID.
func (r *fieldReader) entry(text []byte) (e ParsedEntry, ok bool) {
	var raw struct {
		InstanceID, HostPort, Zone, MachineType, Cell, Lifecycle, Weight, StartedAtMs json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		r.addError("instanceId", fmt.Errorf("%.40q: %w", text, err))
		return ParsedEntry{}, false
	}
	if r.read("instanceId", raw.InstanceID, &e.ID); e.ID == "" {
		r.addError("instanceId", errEmpty)
		return ParsedEntry{}, false
	}
	r.read("zone", raw.Zone, &e.Zone)
	r.read("machineType", raw.MachineType, &e.MachineType)
	r.read("cell", raw.Cell, &e.Cell)
	r.weight(raw.Weight, &e.Weight)
	e.Lifecycle = r.lifecycle(raw.Lifecycle)
	startedAt, startOK := r.startedAt(raw.StartedAtMs)
	addr, addrOK := r.address(raw.HostPort, e.Lifecycle)
	e.StartedAt, e.Addr = startedAt, addr
	if e.Lifecycle == Up && (!startOK || !addrOK) {
		e.Lifecycle = Draining
	}
	return e, true
}

// weight reads a weight, which is 0 if it is missing or malformed.
func (r *fieldReader) weight(text json.RawMessage, weight *float64) {
	r.read("weight", text, weight)
	if !(*weight >= 0 && *weight <= MaxWeight) {
		r.addError("weight", fmt.Errorf("must be from 0 to %v, got %v", MaxWeight, *weight))
		*weight = 0
	}
}

// lifecycle reads a lifecycle. It returns [Draining] if the field is missing or malformed.
func (r *fieldReader) lifecycle(text json.RawMessage) (lifecycle string) {
	r.read("lifecycle", text, &lifecycle)
	switch lifecycle {
	case Up, Draining, Removed:
		return lifecycle
	}
	r.addError("lifecycle", fmt.Errorf("must be %s, %s or %s, got %q", Up, Draining, Removed, lifecycle))
	return Draining
}

// startedAt reads the start time of an endpoint. It returns false for a malformed time.
func (r *fieldReader) startedAt(text json.RawMessage) (at time.Duration, ok bool) {
	var ms float64
	ok = r.read("startedAtMs", text, &ms)
	if ms < 0 || ms > math.MaxInt64/float64(time.Millisecond) {
		r.addError("startedAtMs", fmt.Errorf("out of range for a Unix time in milliseconds: %v", ms))
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), ok
}

// address reads an IP address and port. It returns false if the address is missing or malformed, unless the
// endpoint is removed and therefore needs none.
func (r *fieldReader) address(text json.RawMessage, lifecycle string) (addr netip.AddrPort, ok bool) {
	var hostPort string
	r.read("hostPort", text, &hostPort)
	addr, err := netip.ParseAddrPort(hostPort)
	if err == nil {
		return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), true
	}
	if lifecycle == Removed {
		return addr, true
	}
	r.addError("hostPort", err)
	return addr, false
}
