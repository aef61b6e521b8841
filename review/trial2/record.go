package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes the record of a run: one line for each event, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// linef writes one line.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // close reports errors
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.out.Flush()
	if err == nil {
		err = r.file.Close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial2: record:", err)
	}
}
