package testbed

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time.Duration that is encoded as a string such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a non-negative duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a non-negative duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText encodes the duration in the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// s returns the duration in seconds.
func (d Duration) s() float64 { return time.Duration(d).Seconds() }

// LoadScenario reads and validates a scenario file. Errors name the file, the line and the field, the value
// received and what is accepted.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return ParseScenario(path, text)
}

// ParseScenario parses and validates the text of a scenario file. Errors name the file as name.
func ParseScenario(name string, text []byte) (*Scenario, error) {
	s := defaults()
	s.Classes, s.Plans = nil, nil // classes and plans of the file replace the defaults
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
			row, _ := unknown.Errors[0].Position()
			return nil, fmt.Errorf("%s:%d: %s: unknown key", name, row, strings.Join(unknown.Errors[0].Key(), "."))
		}
		var at *toml.DecodeError
		if errors.As(err, &at) {
			row, col := at.Position()
			return nil, fmt.Errorf("%s:%d:%d: %s: %w", name, row, col, strings.Join(at.Key(), "."), err)
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := s.validate(); err != nil {
		var f *fieldError
		if errors.As(err, &f) {
			if line := lineOf(text, f.field); line > 0 {
				return nil, fmt.Errorf("%s:%d: %w", name, line, err)
			}
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &s, nil
}

// lineOf returns the line number of a field such as fault[2].zone. It returns the line of the field's table
// if the table lacks the field, and 0 if the text has neither.
func lineOf(text []byte, field string) (line int) {
	p := unstable.Parser{}
	p.Reset(text)
	table, seen := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var key []string
		var at int
		for it := e.Key(); it.Next(); {
			if at == 0 {
				at = 1 + bytes.Count(text[:it.Node().Raw.Offset], []byte("\n"))
			}
			key = append(key, string(it.Node().Data))
		}
		path := strings.Join(key, ".")
		switch e.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = path + "[" + strconv.Itoa(seen[path]) + "]"
			seen[path]++
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
			if path == field {
				return at
			}
			continue
		}
		if strings.HasPrefix(field, table+".") {
			line = at
		}
	}
	return line
}

// write writes the scenario to a file in the format that LoadScenario reads.
func (s *Scenario) write(path string) error {
	text, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	return nil
}
