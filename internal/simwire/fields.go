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

// maxSeconds bounds times of either sign; a larger one is malformed.
const maxSeconds = 1e9

// fields takes the values of one message in order. It keeps the first error, after which what it returns means nothing.
type fields struct {
	name string // of the message
	vals []string
	next int
	err  error
}

// newFields splits a line into the message's name and values.
func newFields(line string) *fields {
	name, rest, _ := strings.Cut(line, " ")
	f := &fields{name: name}
	if rest != "" {
		f.vals = strings.Split(rest, " ")
	}
	return f
}

// end returns the first error, or that values are left over.
func (f *fields) end() error {
	if f.err != nil {
		return fmt.Errorf("%s: %w", f.name, f.err)
	}
	if left := len(f.vals) - f.next; left > 0 {
		return fmt.Errorf("%s: %d values more than expected", f.name, left)
	}
	return nil
}

// fail keeps an error if it is the first.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// malformed keeps that a value can't be read.
func (f *fields) malformed(what, v string) { f.fail(fmt.Errorf("bad %s %q", what, v)) }

// str returns the next value; an absent one is "".
func (f *fields) str(what string) string {
	if f.next >= len(f.vals) {
		f.fail(fmt.Errorf("%s is missing", what))
		return ""
	}
	v := f.vals[f.next]
	f.next++
	if v == absent {
		return ""
	}
	if v == "" {
		f.fail(fmt.Errorf("%s is empty", what))
	}
	return v
}

// num returns a finite number; an absent one is 0.
func (f *fields) num(what string) float64 {
	v := f.str(what)
	if v == "" {
		return 0
	}
	x, err := parseFinite(v)
	if err != nil {
		f.malformed(what, v)
	}
	return x
}

// dur returns a time given in seconds; an absent one is 0.
func (f *fields) dur(what string) time.Duration {
	x := f.num(what)
	if math.Abs(x) > maxSeconds {
		f.malformed(what, strconv.FormatFloat(x, 'g', -1, 64))
		return 0
	}
	return settings.Duration(x)
}

// int returns a whole number, which may not be absent.
func (f *fields) int(what string) int {
	v := f.str(what)
	x, err := strconv.Atoi(v)
	if err != nil {
		f.malformed(what, v)
	}
	return x
}

// uint returns a whole number from 0; an absent one is 0.
func (f *fields) uint(what string) uint64 {
	v := f.str(what)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.malformed(what, v)
	}
	return x
}

// bool returns 0 or 1 as a truth.
func (f *fields) bool(what string) bool {
	v := f.str(what)
	if v != "0" && v != "1" {
		f.malformed(what, v)
	}
	return v == "1"
}

// bytes returns a value in base64; an absent one is empty.
func (f *fields) bytes(what string) []byte {
	v := f.str(what)
	b, err := base64.StdEncoding.DecodeString(v)
	if err != nil {
		f.malformed(what, v)
	}
	return b
}

// state returns the state of an endpoint.
func (f *fields) state(what string) balancer.EndpointState { return lookUp(f, what, endpointStates) }

// result returns how an attempt or a health check ended.
func (f *fields) result(what string) balancer.Result { return lookUp(f, what, results) }

// lookUp returns what the next value, a word, means.
func lookUp[T any](f *fields, what string, meanings map[string]T) T {
	v := f.str(what)
	meaning, ok := meanings[v]
	if !ok {
		f.malformed(what, v)
	}
	return meaning
}

// load returns a load report, nil where it is absent.
func (f *fields) load(what string) *balancer.LoadReport {
	v := f.str(what)
	if v == "" {
		return nil
	}
	l := balancer.LoadReport{InFlight: -1, Queued: -1, Utilization: -1}
	for _, pair := range strings.Split(v, ",") {
		name, val, ok := strings.Cut(pair, ":")
		x, err := parseFinite(val)
		if !ok || err != nil {
			f.malformed(what, v)
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
