package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what happens in a case to a file, a line each.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes one line with the seconds since the start.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// seconds returns a time in seconds since the start.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// lines returns a writer that adds each line written to it, with a prefix.
func (r *record) lines(prefix string) io.Writer { return &lineWriter{record: r, prefix: prefix} }

type lineWriter struct {
	record *record
	prefix string
	rest   []byte
}

// Write implements io.Writer.
func (w *lineWriter) Write(text []byte) (int, error) {
	w.rest = append(w.rest, text...)
	for {
		line, rest, found := bytes.Cut(w.rest, []byte("\n"))
		if !found {
			return len(text), nil
		}
		w.record.add("%s: %s", w.prefix, line)
		w.rest = rest
	}
}
