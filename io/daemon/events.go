package daemon

import (
	"context"
	"sync"

	"bilberrymux/core/shard"
	"bilberrymux/core/store"
	"bilberrymux/io/admin"
)

// maxEvents is the number of state changes that the event log keeps for operators.
const maxEvents = 200

// eventLog keeps the most recent state changes of backend servers. It is safe for concurrent use.
type eventLog struct {
	mu     sync.Mutex
	events []admin.Event
}

func newEventLog() *eventLog {
	return &eventLog{}
}

// add appends an event and discards the oldest ones beyond maxEvents.
func (l *eventLog) add(e shard.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, admin.Event{Service: e.Shard.Service, Region: e.Shard.Region, Event: e})
	if extra := len(l.events) - maxEvents; extra > 0 {
		l.events = append([]admin.Event(nil), l.events[extra:]...)
	}
}

// list returns a copy of the events, oldest first.
func (l *eventLog) list() []admin.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]admin.Event{}, l.events...)
}

// instrumentStore returns a copy of a store whose reads, scans, VM listings and transactions are
// counted. Object reads and writes are not.
func instrumentStore(s *store.Store, count func(name string, n int64)) *store.Store {
	counted := *s
	counted.Read = func(ctx context.Context, key string) (store.Row, bool, error) {
		count("store.reads", 1)
		return s.Read(ctx, key)
	}
	counted.Scan = func(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
		count("store.reads", 1)
		return s.Scan(ctx, prefix, after, limit)
	}
	counted.ListVMs = func(ctx context.Context) ([]store.VM, error) {
		count("store.reads", 1)
		return s.ListVMs(ctx)
	}
	counted.Transact = func(ctx context.Context, writes []store.Write) (store.Revision, error) {
		count("store.writes", 1)
		count("store.rows", int64(len(writes)))
		return s.Transact(ctx, writes)
	}
	return &counted
}
