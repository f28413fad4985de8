//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened to a file, with times in seconds since the start of the traffic.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// begin sets the start of the traffic.
func (r *record) begin(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = at
}

// at returns the seconds from the start of the traffic to a time.
func (r *record) at(t time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.Sub(r.start).Seconds()
}

// add writes a line with the time of an event.
func (r *record) add(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", t.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the file and to standard output.
func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add(time.Now(), "== %s", text)
	fmt.Println(text)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
