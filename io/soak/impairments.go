package soak

import (
	"sync"
	"time"
)

// Span is the time during which a component was impaired. If To is zero, the impairment has not
// ended.
type Span struct {
	From, To time.Time
}

// storeName is the key of the store in the impairments. Daemons and servers have their own names as
// keys.
const storeName = "store"

// impairmentLog records when each component was impaired. It is safe for concurrent use.
type impairmentLog struct {
	mu    sync.Mutex
	spans map[string][]Span
}

func newImpairmentLog() *impairmentLog {
	return &impairmentLog{spans: map[string][]Span{}}
}

// begin records that a component is impaired until the returned function is called.
func (l *impairmentLog) begin(name string) (end func()) {
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

// snapshot returns a copy of all spans, keyed by the component's name.
func (l *impairmentLog) snapshot() map[string][]Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]Span{}
	for name, spans := range l.spans {
		out[name] = append([]Span(nil), spans...)
	}
	return out
}

// Impaired reports whether the named component was impaired at any moment between from and to.
func (h *History) Impaired(name string, from, to time.Time) bool {
	for _, s := range h.Impairments[name] {
		if s.From.Before(to) && (s.To.IsZero() || s.To.After(from)) {
			return true
		}
	}
	return false
}
