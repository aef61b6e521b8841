// Package simwire is the codec of the simulator's line protocol. It parses lines into typed events and
// encodes the balancer's actions as lines. It is the only package that maps the simulator's names and values
// to the balancer's. It contains no balancing logic.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"opalhook/balancer"
	"opalhook/internal/settings"
)

const (
	initialLineBuffer = 1 << 16 // in bytes
	maxLine           = 1 << 24 // largest line, in bytes; the longest lines contain settings
	maxTable          = 15      // largest number of a table
)

// LineError is an error with the number of the line in which it occurred.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Reader reads events. It stores the numbered tables of endpoints that the simulator sends once and later
// refers to.
type Reader struct {
	scanner *bufio.Scanner
	line    int
	tables  map[int][]balancer.Endpoint
}

// NewReader returns a [Reader] that reads from r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, initialLineBuffer), maxLine)
	return &Reader{scanner: scanner, tables: map[int][]balancer.Endpoint{}}
}

// Line returns the number of the line read last, from 1.
func (r *Reader) Line() int { return r.line }

// Next returns the next event. It skips empty lines and the messages that fill tables. It returns [io.EOF] if
// the input ends between messages, and a [*LineError] for any other error.
func (r *Reader) Next() (Event, error) {
	for {
		text, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if text == "" {
			continue
		}
		event, err := r.parse(text)
		if err != nil {
			return nil, &LineError{r.line, err}
		}
		if event != nil {
			return event, nil
		}
	}
}

// readLine returns the next line without its line end.
func (r *Reader) readLine() (string, error) {
	if r.scanner.Scan() {
		r.line++
		return r.scanner.Text(), nil
	}
	if err := r.scanner.Err(); err != nil {
		return "", &LineError{r.line + 1, err}
	}
	return "", io.EOF
}

// parse parses one message. The event is nil for a message that fills a table.
func (r *Reader) parse(text string) (Event, error) {
	if name, rest, _ := strings.Cut(text, " "); name == "LAUNCH" {
		return parseLaunch(rest)
	}
	f := newFields(text)
	event, err := r.event(f)
	if err != nil {
		return nil, err
	}
	if err := f.end(); err != nil {
		return nil, err
	}
	return event, nil
}

// event parses a message whose values are separated by spaces. Errors of malformed values are stored in f.
func (r *Reader) event(f *fields) (Event, error) {
	switch f.name {
	case "PAGE":
		return nil, r.parsePage(f)
	case "FLEET":
		return r.parseFleet(f)
	}
	parse, ok := parsers[f.name]
	if !ok {
		return nil, fmt.Errorf("unknown message %q", f.name)
	}
	return parse(f), nil
}

// parsers contains the parsers of messages that depend only on their own values. The parsers also check the
// values that they do not use.
var parsers = map[string]func(*fields) Event{
	"CLOCK":         func(f *fields) Event { return Clock{f.dur("clock")} },
	"COMMIT":        func(*fields) Event { return Commit{} },
	"HALT":          func(f *fields) Event { return StopNode{node(f)} },
	"ACCEPT":        parseAccept,
	"HEADERS":       parseHeaders,
	"COMPLETED":     parseCompleted,
	"LEFT":          func(f *fields) Event { return ClientGone{node(f), f.str("ref")} },
	"TIMEOUT_FIRED": func(f *fields) Event { return TimerFired{node(f), f.uint("ctx")} },
	"PROBE_DONE":    parseProbeDone,
	"WHISPER":       func(f *fields) Event { return PeerMessage{node(f), f.int("neighbour"), f.bytes("payload")} },
	"TOTAL":         parseTotal,
}

// node parses the number of the node that an event concerns.
func node(f *fields) nodeEvent { return nodeEvent{f.int("i")} }

func parseAccept(f *fields) Event {
	e := RequestArrived{nodeEvent: node(f)}
	q := &e.Request
	q.ID = f.str("ref")
	q.Class = f.str("tierClass")
	q.Plan = f.str("tier")
	q.Tenant = f.uint("holder")
	q.Timeout = f.dur("grace")
	q.Units = f.num("weight")
	q.EntryNodes = f.int("entryPoints")
	q.FirstEntryNode = f.int("fromNo")
	f.uint("bits")
	return e
}

func parseHeaders(f *fields) Event {
	e := ResponseStarted{nodeEvent: node(f)}
	e.ID = f.str("ref")
	e.Attempt = f.int("roundNo")
	f.str("server")
	f.dur("spent")
	return e
}

func parseCompleted(f *fields) Event {
	e := AttemptFinished{nodeEvent: node(f)}
	o := &e.Outcome
	o.ID = f.str("ref")
	o.Answered = f.bool("closed")
	o.Result = f.result("reason")
	o.EndpointID = f.str("server")
	o.Elapsed = f.dur("spent")
	o.Attempt = f.int("roundNo")
	f.num("fleetUse")
	o.Units = f.num("actual")
	o.LoadReport = f.load("feedback")
	return e
}

func parseProbeDone(f *fields) Event {
	e := HealthChecked{nodeEvent: node(f)}
	e.Result = f.result("reason")
	e.EndpointID = f.str("server")
	e.Elapsed = f.dur("spent")
	e.LoadReport = f.load("feedback")
	return e
}

func parseTotal(f *fields) Event {
	e := CounterRead{node(f)}
	f.num("level")
	f.result("reason")
	f.dur("spent")
	f.uint("slotName")
	return e
}

// parseLaunch parses a node's start. Its last value is the settings object, which may contain spaces.
func parseLaunch(rest string) (Event, error) {
	number, rest, _ := strings.Cut(rest, " ")
	seed, object, _ := strings.Cut(rest, " ")
	f := fields{name: "LAUNCH", values: []string{number, seed}}
	e := StartNode{nodeEvent: node(&f)}
	e.Seed = f.uint("prng")
	if err := f.end(); err != nil {
		return nil, err
	}
	var err error
	if e.Settings, _, err = settings.Parse([]byte(object)); err != nil {
		return nil, fmt.Errorf("LAUNCH: info: %w", err)
	}
	return e, nil
}

// parsePage fills a table from the following lines, one entry per line.
func (r *Reader) parsePage(f *fields) error {
	table, rows := f.int("table"), f.int("rows")
	if f.err != nil {
		return nil // the caller reports f.err
	}
	if table < 0 || table > maxTable || rows < 0 {
		return fmt.Errorf("PAGE: table must be from 0 to %d and rows at least 0, got %d and %d",
			maxTable, table, rows)
	}
	var list []balancer.Endpoint
	for i := range rows {
		text, err := r.readLine()
		if err != nil {
			return fmt.Errorf("PAGE: read %d of %d entries: %w", i, rows, unexpectedEOF(err))
		}
		entry, err := parseItem(text)
		if err != nil {
			return err
		}
		list = append(list, entry)
	}
	r.tables[table] = list
	return nil
}

// unexpectedEOF replaces [io.EOF] by [io.ErrUnexpectedEOF], for an input that ends inside a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseItem parses one entry of a table.
func parseItem(text string) (balancer.Endpoint, error) {
	var e balancer.Endpoint
	f := newFields(text)
	if f.name != "ITEM" {
		return e, fmt.Errorf("expected ITEM, got %q", f.name)
	}
	e.ID = f.str("server")
	e.State = f.state("mode")
	e.Weight = f.num("rating")
	e.MachineType = f.str("machine")
	e.Zone = f.str("regionPart")
	e.Cell = f.int("pod")
	e.StartedAt = f.dur("bootTime")
	return e, f.end()
}

// parseFleet parses an update of the endpoint list. The update refers to a table unless it reports a failure.
func (r *Reader) parseFleet(f *fields) (Event, error) {
	e := EndpointList{nodeEvent: node(f)}
	f.num("seqNo")
	table, kind := f.str("table"), f.str("form")
	if f.err != nil {
		return nil, nil // the caller reports f.err
	}
	var ok bool
	if e.Kind, ok = updateKinds[kind]; !ok {
		return nil, fmt.Errorf("FLEET: unknown form %q", kind)
	}
	if e.Kind == balancer.UpdateFailed {
		return e, nil
	}
	number, err := strconv.Atoi(table)
	if err != nil {
		return nil, fmt.Errorf("FLEET: bad table %q", table)
	}
	if e.Endpoints, ok = r.tables[number]; !ok {
		return nil, fmt.Errorf("FLEET: unknown table %d", number)
	}
	return e, nil
}
