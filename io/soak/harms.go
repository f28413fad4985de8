package soak

import (
	"sync"
	"time"
)

// Span is a time during which something was harmed. A zero To has not ended.
type Span struct {
	From, To time.Time
}

// theStore names the store among what is harmed; daemons and servers go by their
// own names.
const theStore = "store"

// harmLog remembers what was harmed when. It is safe for concurrent use.
type harmLog struct {
	mu    sync.Mutex
	spans map[string][]Span
}

func newHarmLog() *harmLog {
	return &harmLog{spans: map[string][]Span{}}
}

// begin notes that something is harmed until the returned function is called.
func (l *harmLog) begin(name string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans[name] = append(l.spans[name], Span{From: time.Now()})
	n := len(l.spans[name]) - 1
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.spans[name][n].To = time.Now()
	}
}

// all returns every span by name.
func (l *harmLog) all() map[string][]Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]Span{}
	for name, spans := range l.spans {
		out[name] = append([]Span(nil), spans...)
	}
	return out
}

// Impaired reports whether something was harmed at any moment between two.
func (h *History) Impaired(name string, from, to time.Time) bool {
	for _, s := range h.Impairments[name] {
		if s.From.Before(to) && (s.To.IsZero() || s.To.After(from)) {
			return true
		}
	}
	return false
}
