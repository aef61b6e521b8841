package discovery

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// MaxWeight is the largest weight that [ParseLenient] accepts.
const MaxWeight = 1e6

// ParsedMessage is a [Message] as [ParseLenient] reads it.
type ParsedMessage struct {
	Generation uint64
	Snapshot   bool // the complete list: an endpoint missing from it is gone
	Entries    []ParsedEntry
}

// ParsedEntry is an [Entry] as [ParseLenient] reads it: each field has been checked by itself, and has its zero value
// where it was missing or malformed.
type ParsedEntry struct {
	ID          string // never empty
	Addr        netip.AddrPort
	Zone        string
	MachineType string
	Cell        int
	Lifecycle   string        // [Up], [Draining] or [Removed]
	Weight      float64       // from 0 to [MaxWeight]
	StartedAt   time.Duration // Unix time; 0: long ago
}

// ParseLenient parses one message and keeps as much of a malformed one as is safe to act on:
//
//   - an entry whose id can't be read is left out;
//   - an entry whose lifecycle, address or start can't be read counts as draining unless it is removed, as nothing new
//     may go to an endpoint that may be leaving;
//   - other fields that can't be read have their zero value.
//
// Each element of faults is a [*FieldError]. A non-nil err means that the text is no message at all.
func ParseLenient(text []byte) (m ParsedMessage, faults []error, err error) {
	var raw struct {
		Generation json.RawMessage
		Reset      json.RawMessage
		Instances  []json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return ParsedMessage{}, nil, err
	}
	fields := fieldReader{entryIndex: noEntry}
	fields.read("generation", raw.Generation, &m.Generation)
	fields.read("reset", raw.Reset, &m.Snapshot)
	if m.Snapshot && raw.Instances == nil {
		return ParsedMessage{}, nil, &FieldError{"instances", errMissing}
	}
	for i, text := range raw.Instances {
		fields.entryIndex = i
		if e, ok := fields.entry(text); ok {
			m.Entries = append(m.Entries, e)
		}
	}
	return m, fields.faults, nil
}

// fieldReader reads the fields of a message one by one and collects what is malformed.
type fieldReader struct {
	entryIndex int // of the entry whose fields are read, or noEntry
	faults     []error
}

// noEntry is the index of the message's own fields.
const noEntry = -1

// fault records that a field is malformed.
func (r *fieldReader) fault(name string, err error) {
	if r.entryIndex != noEntry {
		name = entryField(r.entryIndex, name)
	}
	r.faults = append(r.faults, &FieldError{name, err})
}

// read decodes a field, if it is there. It reports whether the field is missing or well-formed.
func (r *fieldReader) read(name string, text json.RawMessage, into any) bool {
	if len(text) == 0 {
		return true
	}
	if err := json.Unmarshal(text, into); err != nil {
		r.fault(name, fmt.Errorf("%.40q: %w", text, err))
		return false
	}
	return true
}

// entry reads one entry by the rules of [ParseLenient]. It reports whether the entry has an id.
func (r *fieldReader) entry(text []byte) (e ParsedEntry, ok bool) {
	var raw struct {
		InstanceID, HostPort, Zone, MachineType, Cell, Lifecycle, Weight, StartedAtMs json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		r.fault("instanceId", fmt.Errorf("%.40q: %w", text, err))
		return ParsedEntry{}, false
	}
	if r.read("instanceId", raw.InstanceID, &e.ID); e.ID == "" {
		r.fault("instanceId", errEmpty)
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

// weight reads a weight, 0 where it is malformed.
func (r *fieldReader) weight(text json.RawMessage, weight *float64) {
	r.read("weight", text, weight)
	if !(*weight >= 0 && *weight <= MaxWeight) {
		r.fault("weight", fmt.Errorf("%v is not from 0 to %v", *weight, MaxWeight))
		*weight = 0
	}
}

// lifecycle reads a lifecycle, [Draining] where it is malformed.
func (r *fieldReader) lifecycle(text json.RawMessage) (lifecycle string) {
	r.read("lifecycle", text, &lifecycle)
	switch lifecycle {
	case Up, Draining, Removed:
		return lifecycle
	}
	r.fault("lifecycle", fmt.Errorf("%q is neither %s, %s nor %s", lifecycle, Up, Draining, Removed))
	return Draining
}

// startedAt reads the time of an endpoint's start. It reports whether the time is well-formed.
func (r *fieldReader) startedAt(text json.RawMessage) (at time.Duration, ok bool) {
	var ms float64
	ok = r.read("startedAtMs", text, &ms)
	if ms < 0 || ms > math.MaxInt64/float64(time.Millisecond) {
		r.fault("startedAtMs", fmt.Errorf("%v is out of range", ms))
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), ok
}

// address reads an address, which only an endpoint that is removed may lack. It reports whether the endpoint has what
// it needs.
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
	r.fault("hostPort", err)
	return addr, false
}
