//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the store as it is sent.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, key string }

// storeCopy is the content of the store at a moment.
type storeCopy struct {
	rows    map[rowKey]storeRow
	version uint64
}

// store is the platform's store. Only the unnamed part of its tables is used.
type store struct {
	server *http.Server
	began  time.Time

	mu      sync.Mutex
	rows    map[rowKey]storeRow
	history []storeRow
	version uint64
	era     int
	away    bool
	// changed is closed and replaced by each change, and when the store goes away.
	changed chan struct{}
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{began: time.Now(), rows: map[rowKey]storeRow{}, era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/rows-tx", s.handle(s.transact))
	mux.HandleFunc("/-/rows-get", s.handle(s.get))
	mux.HandleFunc("/-/rows-feed", s.handle(s.feed))
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// notify wakes the calls that wait for changes. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write applies rows and removals in one transaction. The caller holds the lock.
func (s *store) write(rows []storeRow, removed []storeRow) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[rowKey{r.Table, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range removed {
		delete(s.rows, rowKey{r.Table, r.Key})
		s.history = append(s.history, storeRow{Table: r.Table, Key: r.Key, Version: s.version, Tombstone: true})
	}
	s.notify()
}

// put writes a row for a server or the operator, and reports whether the store confirmed it.
func (s *store) put(table, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.write([]storeRow{{Table: table, Key: key, Value: value}}, nil)
	return true
}

// remove removes a row, also while the store is away: entries run out meanwhile.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table, key}]; ok {
		s.write(nil, []storeRow{{Table: table, Key: key}})
	}
}

// newest returns the newest version.
func (s *store) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// copyNow returns a copy of the content.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.rows), s.version}
}

// goAway makes the store break off all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// comeBack ends goAway. With a copy the store has the content of that copy, in a new era.
func (s *store) comeBack(from *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if from == nil {
		return
	}
	s.rows, s.version = maps.Clone(from.rows), from.version
	s.history = slices.DeleteFunc(s.history, func(r storeRow) bool { return r.Version > from.version })
	s.era++
}

// handle breaks off calls while the store is away, and answers the others.
func (s *store) handle(call func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		status, body := 0, any(nil)
		if !s.isAway() {
			status, body = call(r)
		}
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away || status == 0 {
			if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
				c.Close()
			}
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", strconv.Itoa(era))
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// rowsAnswer is the body of answers with rows.
type rowsAnswer struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"has_more"`
	Version uint64     `json:"row_version"`
	Now     float64    `json:"now_s"`
}

// answer returns a body with rows. The caller holds the lock.
func (s *store) answer(rows []storeRow, more bool) rowsAnswer {
	if rows == nil {
		rows = []storeRow{}
	}
	return rowsAnswer{rows, more, s.version, time.Since(s.began).Seconds()}
}

func (s *store) transact(r *http.Request) (int, any) {
	var in struct {
		Expected []storeRow `json:"expected_rev"`
		Writes   []storeRow `json:"writes"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, nil
	}
	for _, w := range slices.Concat(in.Writes, in.Remove) {
		if w.Table == "op" || w.Table == "servers" {
			return http.StatusForbidden, map[string]any{}
		}
	}
	for _, e := range in.Expected {
		if s.rows[rowKey{e.Table, e.Key}].Version != e.Version {
			return http.StatusPreconditionFailed, s.answer(nil, false)
		}
	}
	s.write(in.Writes, in.Remove)
	return http.StatusOK, map[string]any{"row_version": s.version, "now_s": time.Since(s.began).Seconds()}
}

func (s *store) get(r *http.Request) (int, any) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for k, row := range s.rows {
		inRange := k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target"))
		if k.table == q.Get("table") && inRange {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	return http.StatusOK, s.answer(rows[:min(limit, len(rows))], more)
}

func (s *store) feed(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			return 0, nil
		}
		if after > s.version {
			s.mu.Unlock()
			return http.StatusGone, map[string]any{}
		}
		newest := map[string]storeRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > after {
				newest[row.Key] = row
			}
		}
		if len(newest) > 0 || expired {
			rows := slices.SortedFunc(maps.Values(newest), func(a, b storeRow) int { return int(a.Version) - int(b.Version) })
			out := s.answer(rows, false)
			s.mu.Unlock()
			return http.StatusOK, out
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			expired = true
		case <-r.Context().Done():
			return 0, nil
		}
	}
}
