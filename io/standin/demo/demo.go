// Package demo is the main job on real input: the four apps of a hand-dryer
// service send requests through four daemons, while one backend server turns
// gray and another dies.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
	"bilberrymux/core/settings"
	"bilberrymux/core/shard"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/loop"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
)

// Options of the demonstration.
type Options struct {
	// Time is how long the load runs.
	Time time.Duration
	// Scale multiplies the rates.
	Scale float64
	Seed  uint64
	// JSON writes the report as JSON in place of tables.
	JSON bool
	Out  io.Writer
}

// Report is what the demonstration found.
type Report struct {
	Ranks []load.RankReport `json:"ranks"`
	// GrayDetectedMillis is the time from a server turning gray to its
	// ejection, or -1.
	GrayDetectedMillis int64 `json:"grayDetectedMillis"`
	// GrayRequests is the number of its requests that failed until then.
	FalseEjections  int      `json:"falseEjections"`
	Ran             int      `json:"ran"`
	DuplicateRuns   int      `json:"secondRuns"`
	FalseNotRun     int      `json:"untrueNotRun"`
	WrongAnswers    []string `json:"wrongAnswers"`
	FloorViolations int      `json:"floorBreaks"`
}

// Violations lists what must hold and did not.
func (r *Report) Violations() []string {
	var out []string
	add := func(bad bool, format string, args ...any) {
		if bad {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(r.DuplicateRuns > 0, "%d requests that must not be repeated ran twice", r.DuplicateRuns)
	add(r.FalseNotRun > 0, "%d requests ran after the caller was told that they did not", r.FalseNotRun)
	add(len(r.WrongAnswers) > 0, "%d wrong answers, the first: %s", len(r.WrongAnswers), first(r.WrongAnswers))
	add(r.FloorViolations > 0, "the capacity floor was broken %d times", r.FloorViolations)
	add(r.GrayDetectedMillis < 0, "the gray server was not found")
	return out
}

func first(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return lines[0]
}

// services returns the services and routes of the demonstration.
func services() ([]fleet.ServiceSpec, map[string]config.Route) {
	spec := func(name ident.ServiceID) fleet.ServiceSpec {
		return fleet.ServiceSpec{
			Name: name, ServersPerRegion: 4, Slots: 2, WorkMedian: 20 * time.Millisecond, WorkSpread: 0.4,
			Config: config.Service{
				FloorSlots: 10, Detector: config.Detector{FalseAlarmRate: 1e-6},
				Retry: config.Retry{HedgeQuantile: 0.95},
			},
		}
	}
	specs := []fleet.ServiceSpec{spec("history"), spec("bookings"), spec("contracts"), spec("catalogue")}
	routes := map[string]config.Route{
		"history":   {Methods: []string{"GET"}, Prefix: "/history", Service: "history", Rank: ident.Urgent, Idempotent: true, TimeoutMillis: 1000},
		"bookings":  {Methods: []string{"POST"}, Prefix: "/bookings", Service: "bookings", Rank: ident.Urgent, TimeoutMillis: 2000},
		"contracts": {Methods: []string{"GET"}, Prefix: "/contracts", Service: "contracts", Rank: ident.Normal, Idempotent: true, TimeoutMillis: 2000},
		"catalogue": {Methods: []string{"GET"}, Prefix: "/catalogue", Service: "catalogue", Rank: ident.Background, Idempotent: true, TimeoutMillis: 4000},
		"parts":     {Methods: []string{"GET"}, Prefix: "/history/parts", Service: "history", Rank: ident.Background, Idempotent: true, TimeoutMillis: 4000},
	}
	return specs, routes
}

// streams returns the four apps.
func streams(scale float64) []load.Stream {
	return []load.Stream{
		{Name: "technicians", Organisation: "technicians", Rank: ident.Urgent, Method: "GET", Path: "/history", Rate: 80 * scale, DeadlineMillis: 1000, MaxResends: 2},
		{Name: "dispatchers", Organisation: "dispatchers", Rank: ident.Urgent, Method: "POST", Path: "/bookings", Rate: 40 * scale, DeadlineMillis: 2000, Keyed: true, Body: `{"visit":"washroom"}`, MaxResends: 3},
		{Name: "accounts", Organisation: "accounts", Rank: ident.Normal, Method: "GET", Path: "/contracts", Rate: 60 * scale, DeadlineMillis: 2000, MaxResends: 2},
		{Name: "parts", Organisation: "parts", Rank: ident.Background, Method: "GET", Path: "/catalogue", Rate: 60 * scale, DeadlineMillis: 4000, MaxResends: 1},
		{Name: "photos", Organisation: "parts", Rank: ident.Background, Method: "GET", Path: "/history/parts", Rate: 20 * scale, DeadlineMillis: 4000, MaxResends: 1},
	}
}

// graySince is the part of the run after which the server turns gray.
const graySince = 0.4

// Run runs the demonstration.
func Run(o Options) (*Report, error) {
	specs, routes := services()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	f, err := fleet.Start(fleet.Options{
		Regions: []ident.RegionID{"north", "south"}, Daemons: 4, Services: specs, Routes: routes,
		Seed: o.Seed, Log: quiet,
		Adjust: func(s *settings.Settings) { s.LocateTTLSeconds = 2 },
	})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	if err := f.WaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	l := load.New(load.Options{Entries: f.Entries(), Streams: streams(o.Scale), Seed: o.Seed})
	w := newWatcher(f, specs)
	ctx, cancel := context.WithTimeout(context.Background(), o.Time)
	defer cancel()
	time.AfterFunc(time.Duration(graySince*float64(o.Time)), w.turnGray)
	go w.run(ctx)
	l.Run(ctx)
	return w.report(l), nil
}

// watcher looks at the daemons' views while the load runs.
type watcher struct {
	fleet  *fleet.Fleet
	floors map[ident.ServiceID]int

	mu       sync.Mutex
	gray     ident.ServerID
	grayAt   time.Time
	found    time.Time
	falsely  map[ident.ServerID]bool
	breaches int
}

func newWatcher(f *fleet.Fleet, specs []fleet.ServiceSpec) *watcher {
	w := &watcher{fleet: f, floors: map[ident.ServiceID]int{}, falsely: map[ident.ServerID]bool{}}
	for _, s := range specs {
		w.floors[s.Name] = s.Config.FloorSlots
	}
	return w
}

// turnGray makes one server fail all real work with green probes.
func (w *watcher) turnGray() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gray = "history-north-1"
	w.grayAt = time.Now()
	w.fleet.Servers["history"][w.gray].SetFaults(backendserver.Faults{FailFraction: 1})
}

// lookPeriod is the resolution of the watcher.
const lookPeriod = 10 * time.Millisecond

func (w *watcher) run(ctx context.Context) {
	loop.Every(ctx, lookPeriod, func(time.Time) { w.look() })
}

// look counts ejections against the floors, over all daemons.
func (w *watcher) look() {
	out := map[ident.ServiceID]map[ident.ServerID]int{}
	for _, d := range w.fleet.Daemons {
		d.Shards().Each(func(id ident.ShardID, _ bool, dispatcher *dispatch.Dispatcher) {
			for _, s := range dispatcher.Shard.View().Servers {
				if s.State == pool.Ejected || s.State == pool.Trial {
					if out[id.Service] == nil {
						out[id.Service] = map[ident.ServerID]int{}
					}
					out[id.Service][s.ID] = s.Slots
					w.ejected(s)
				}
			}
		})
	}
	w.checkFloors(out)
}

func (w *watcher) ejected(s shard.ServerView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.ID != w.gray {
		w.falsely[s.ID] = true
		return
	}
	if w.found.IsZero() {
		w.found = time.Now()
	}
}

func (w *watcher) checkFloors(out map[ident.ServiceID]map[ident.ServerID]int) {
	for service, servers := range out {
		s := w.fleet.Daemons[0].Versions().Current().Service(service)
		healthy := s.Capacity()
		for _, slots := range servers {
			healthy -= slots
		}
		if healthy < w.floors[service] {
			w.mu.Lock()
			w.breaches++
			w.mu.Unlock()
		}
	}
}

func (w *watcher) report(l *load.Load) *Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Report{
		Ranks: l.Report(), GrayDetectedMillis: -1, FalseEjections: len(w.falsely), FloorViolations: w.breaches,
		WrongAnswers: l.Ledger().WrongAnswers,
	}
	if !w.found.IsZero() {
		r.GrayDetectedMillis = w.found.Sub(w.grayAt).Milliseconds()
	}
	ids, keys := w.fleet.Runs()
	for _, n := range ids {
		r.Ran += n
	}
	for _, n := range keys {
		if n > 1 {
			r.DuplicateRuns++
		}
	}
	for _, id := range l.Ledger().NotRun {
		if ids[id] > 0 {
			r.FalseNotRun++
		}
	}
	return r
}

// Write writes the report for people, or as JSON.
func (r *Report) Write(o Options) error {
	if o.JSON {
		body, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		fmt.Fprintln(o.Out, string(body))
		return nil
	}
	if err := load.WriteTable(o.Out, r.Ranks); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "\ngray server found after: %d ms\n", r.GrayDetectedMillis)
	fmt.Fprintf(o.Out, "sound servers ejected:   %d\n", r.FalseEjections)
	fmt.Fprintf(o.Out, "requests run by servers: %d\n", r.Ran)
	fmt.Fprintf(o.Out, "second runs:             %d\n", r.DuplicateRuns)
	fmt.Fprintf(o.Out, "untrue \"not run\":        %d\n", r.FalseNotRun)
	fmt.Fprintf(o.Out, "wrong answers:           %d\n", len(r.WrongAnswers))
	fmt.Fprintf(o.Out, "floor breaks:            %d\n", r.FloorViolations)
	return nil
}
