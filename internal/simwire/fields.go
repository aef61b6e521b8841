package simwire

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"opalhook/balancer"
	"opalhook/internal/settings"
)

// maxSeconds is the largest absolute value of a time, in seconds. A larger one is malformed.
const maxSeconds = 1e9

// fields parses the values of one message in order. It stores the first error. Values returned after an error
// must not be used. The parameter field of its methods is the name of the value for error messages.
type fields struct {
	name   string // name of the message
	values []string
	next   int
	err    error
}

// newFields splits a line at spaces into the message's name and its values.
func newFields(line string) *fields {
	name, rest, _ := strings.Cut(line, " ")
	f := &fields{name: name}
	if rest != "" {
		f.values = strings.Split(rest, " ")
	}
	return f
}

// end returns the first error, or an error if values are left over.
func (f *fields) end() error {
	if f.err != nil {
		return fmt.Errorf("%s: %w", f.name, f.err)
	}
	if left := len(f.values) - f.next; left > 0 {
		return fmt.Errorf("%s: %d more values than expected", f.name, left)
	}
	return nil
}

// fail stores an error if it is the first one.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// malformed stores an error for a value that can't be parsed.
func (f *fields) malformed(field, v string) { f.fail(fmt.Errorf("bad %s %q", field, v)) }

// str returns the next value, or "" if it is absent.
func (f *fields) str(field string) string {
	if f.next >= len(f.values) {
		f.fail(fmt.Errorf("%s is missing", field))
		return ""
	}
	v := f.values[f.next]
	f.next++
	if v == absent {
		return ""
	}
	if v == "" {
		f.fail(fmt.Errorf("%s is empty", field))
	}
	return v
}

// num returns the next value as a finite number, or 0 if it is absent.
func (f *fields) num(field string) float64 {
	v := f.str(field)
	if v == "" {
		return 0
	}
	x, err := parseFinite(v)
	if err != nil {
		f.malformed(field, v)
	}
	return x
}

// dur returns the next value, a time in seconds, or 0 if it is absent.
func (f *fields) dur(field string) time.Duration {
	x := f.num(field)
	if math.Abs(x) > maxSeconds {
		f.malformed(field, strconv.FormatFloat(x, 'g', -1, 64))
		return 0
	}
	return settings.Duration(x)
}

// int returns the next value as an integer, which must not be absent.
func (f *fields) int(field string) int {
	v := f.str(field)
	x, err := strconv.Atoi(v)
	if err != nil {
		f.malformed(field, v)
	}
	return x
}

// uint returns the next value as an unsigned integer, or 0 if it is absent.
func (f *fields) uint(field string) uint64 {
	v := f.str(field)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.malformed(field, v)
	}
	return x
}

// bool returns the next value, which must be 0 or 1, as a bool.
func (f *fields) bool(field string) bool {
	v := f.str(field)
	if v != "0" && v != "1" {
		f.malformed(field, v)
	}
	return v == "1"
}

// bytes decodes the next value from base64. An absent value is empty.
func (f *fields) bytes(field string) []byte {
	v := f.str(field)
	b, err := base64.StdEncoding.DecodeString(v)
	if err != nil {
		f.malformed(field, v)
	}
	return b
}

// state returns the next value as the state of an endpoint.
func (f *fields) state(field string) balancer.EndpointState { return lookUp(f, field, endpointStates) }

// result returns the next value as the result of an attempt or a health check.
func (f *fields) result(field string) balancer.Result { return lookUp(f, field, results) }

// lookUp returns the meaning of the next value, which must be a key of meanings.
func lookUp[T any](f *fields, field string, meanings map[string]T) T {
	v := f.str(field)
	meaning, ok := meanings[v]
	if !ok {
		f.malformed(field, v)
	}
	return meaning
}

// load returns the next value as a load report, or nil if it is absent. Numbers that the report does not
// contain are -1.
func (f *fields) load(field string) *balancer.LoadReport {
	v := f.str(field)
	if v == "" {
		return nil
	}
	l := balancer.LoadReport{InFlight: -1, Queued: -1, Utilization: -1}
	for _, pair := range strings.Split(v, ",") {
		name, val, ok := strings.Cut(pair, ":")
		x, err := parseFinite(val)
		if !ok || err != nil {
			f.malformed(field, v)
			return nil
		}
		switch name {
		case loadInFlight:
			l.InFlight = x
		case loadQueued:
			l.Queued = x
		case loadUtilization:
			l.Utilization = x
		}
	}
	return &l
}

var errNotFinite = errors.New("not a finite number")

func parseFinite(text string) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		err = errNotFinite
	}
	return x, err
}
