package discovery

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// readLines reads a watch until the first error, which it returns as end.
func readLines(lines *LineReader) (generations []uint64, heartbeats int, end error) {
	for {
		m, heartbeat, err := lines.Next()
		switch {
		case err != nil:
			return generations, heartbeats, err
		case heartbeat:
			heartbeats++
		default:
			generations = append(generations, m.Generation)
		}
	}
}

// LineReader returns each message and heartbeat of a watch until the end of the body, its error or a
// malformed line.
func TestLineReader(t *testing.T) {
	errBroken := errors.New("connection reset")
	const good = `{"generation":3,"reset":true,"instances":[]}`
	for _, c := range []struct {
		name, text  string
		end         error // error at the end of the body; nil for io.EOF
		generations []uint64
		heartbeats  int
		malformed   string // expected malformed line; "" if there is none
	}{
		{name: "empty", text: ""},
		{name: "heartbeats", text: "\n\r\n\n", heartbeats: 3},
		{name: "messages", text: "\n" + good + "\n\n" + `{"generation":4}` + "\n", generations: []uint64{3, 4}, heartbeats: 2},
		{name: "no final line end", text: good, generations: []uint64{3}},
		{name: "over two lines", text: "{\"generation\":3,\n\"instances\":[]}\n", malformed: `{"generation":3,`},
		{name: "cut", text: good + "\n" + good[:20], generations: []uint64{3}, malformed: good[:20]},
		{name: "blank", text: " \n", malformed: " "},
		{name: "wrong type", text: `{"generation":"3"}` + "\n", malformed: `{"generation":"3"}`},
		{name: "connection reset", text: good + "\n", end: errBroken, generations: []uint64{3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var body io.Reader = strings.NewReader(c.text)
			wantEnd := io.EOF
			if c.end != nil {
				body, wantEnd = io.MultiReader(body, iotest.ErrReader(c.end)), c.end
			}
			lines := NewLineReader(body, 1000)
			generations, heartbeats, err := readLines(lines)
			if !slices.Equal(generations, c.generations) || heartbeats != c.heartbeats {
				t.Errorf("generations %v and %d heartbeats, want %v and %d", generations, heartbeats, c.generations, c.heartbeats)
			}
			var malformed *MalformedLineError
			switch {
			case errors.As(err, &malformed):
				if malformed.Line != c.malformed {
					t.Errorf("malformed line %q, want %q", malformed.Line, c.malformed)
				}
			case !errors.Is(err, wantEnd) || c.malformed != "":
				t.Errorf("ends with %v, want %v or malformed line %q", err, wantEnd, c.malformed)
			}
		})
	}
	if _, _, err := NewLineReader(strings.NewReader(strings.Repeat("x", 1001)), 1000).Next(); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a line of 1001 bytes with a limit of 1000: error %v, want one other than io.EOF", err)
	}
}
