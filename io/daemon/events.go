package daemon

import (
	"context"
	"sync"

	"bilberrymux/core/shard"
	"bilberrymux/core/store"
	"bilberrymux/io/admin"
)

// eventsKept is the number of changes of state that operators can look back on.
const eventsKept = 200

// eventLog keeps the latest changes of servers' states.
type eventLog struct {
	mu     sync.Mutex
	events []admin.Event
}

func newEventLog() *eventLog {
	return &eventLog{}
}

func (l *eventLog) add(e shard.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, admin.Event{Service: e.Shard.Service, Region: e.Shard.Region, Event: e})
	if extra := len(l.events) - eventsKept; extra > 0 {
		l.events = append([]admin.Event(nil), l.events[extra:]...)
	}
}

func (l *eventLog) list() []admin.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]admin.Event{}, l.events...)
}

// countedStore counts the calls of a store.
func countedStore(s *store.Store, count func(name string, n int64)) *store.Store {
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
