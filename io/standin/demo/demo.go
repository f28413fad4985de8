// Package demo runs a demonstration of the whole system in one process: the four apps of a
// hand-dryer service company send requests through four daemons, while one backend server has a
// gray failure. The report shows what callers got, and checks that the guarantees held.
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
	"bilberrymux/io/periodic"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
)

// Options configures the demonstration.
type Options struct {
	// Time is how long the load runs.
	Time time.Duration
	// Scale multiplies the request rates of all streams.
	Scale float64
	// Seed is the seed of arrivals, processing times and faults.
	Seed uint64
	// JSON makes Report.Write write JSON instead of a table.
	JSON bool
	// Out is where Report.Write writes.
	Out io.Writer
}

// Report is the result of the demonstration.
type Report struct {
	// Ranks holds the callers' view of each rank.
	Ranks []load.RankReport `json:"ranks"`
	// GrayDetectedMillis is the time in milliseconds from the start of the gray failure to the
	// ejection of the gray server, or -1 if it was not ejected.
	GrayDetectedMillis int64 `json:"grayDetectedMillis"`
	// FalseEjections is the number of healthy servers that were ejected.
	FalseEjections int `json:"falseEjections"`
	// Ran is the number of runs of requests on all servers.
	Ran int `json:"ran"`
	// DuplicateRuns is the number of idempotency keys whose request ran more than once.
	DuplicateRuns int `json:"secondRuns"`
	// FalseNotRun is the number of requests that ran although their caller was told that they did
	// not.
	FalseNotRun int `json:"untrueNotRun"`
	// WrongAnswers describes the answers that were malformed or belonged to another request.
	WrongAnswers []string `json:"wrongAnswers"`
	// FloorViolations is the number of polls, summed over services, at which ejections left a
	// service less capacity than its floor.
	FloorViolations int `json:"floorBreaks"`
}

// Violations returns one message for each guarantee that was violated, or none if all held.
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

// first returns the first line, or an empty string.
func first(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return lines[0]
}

// services returns the services and the routes of the demonstration.
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

// streams returns the request streams of the four apps, with rates multiplied by scale.
func streams(scale float64) []load.Stream {
	return []load.Stream{
		{Name: "technicians", Organisation: "technicians", Rank: ident.Urgent, Method: "GET", Path: "/history", Rate: 80 * scale, DeadlineMillis: 1000, MaxResends: 2},
		{Name: "dispatchers", Organisation: "dispatchers", Rank: ident.Urgent, Method: "POST", Path: "/bookings", Rate: 40 * scale, DeadlineMillis: 2000, Keyed: true, Body: `{"visit":"washroom"}`, MaxResends: 3},
		{Name: "accounts", Organisation: "accounts", Rank: ident.Normal, Method: "GET", Path: "/contracts", Rate: 60 * scale, DeadlineMillis: 2000, MaxResends: 2},
		{Name: "parts", Organisation: "parts", Rank: ident.Background, Method: "GET", Path: "/catalogue", Rate: 60 * scale, DeadlineMillis: 4000, MaxResends: 1},
		{Name: "photos", Organisation: "parts", Rank: ident.Background, Method: "GET", Path: "/history/parts", Rate: 20 * scale, DeadlineMillis: 4000, MaxResends: 1},
	}
}

// grayStartFraction is the fraction of the run time after which the gray failure starts.
const grayStartFraction = 0.4

// Run starts the fleet, sends the load for Options.Time and returns the report. It stops the fleet
// before it returns.
func Run(o Options) (*Report, error) {
	specs, routes := services()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f, err := fleet.Start(fleet.Options{
		Regions: []ident.RegionID{"north", "south"}, Daemons: 4, Services: specs, Routes: routes,
		Seed: o.Seed, Log: log,
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
	time.AfterFunc(time.Duration(grayStartFraction*float64(o.Time)), w.startGrayFailure)
	go w.run(ctx)
	l.Run(ctx)
	return w.report(l), nil
}

// watcher starts the gray failure and polls the daemons' views of their servers while the load
// runs. Its mutex guards the fields below it.
type watcher struct {
	fleet  *fleet.Fleet
	floors map[ident.ServiceID]int

	mu              sync.Mutex
	gray            ident.ServerID
	grayAt          time.Time
	grayEjectedAt   time.Time
	falselyEjected  map[ident.ServerID]bool
	floorViolations int
}

func newWatcher(f *fleet.Fleet, specs []fleet.ServiceSpec) *watcher {
	w := &watcher{fleet: f, floors: map[ident.ServiceID]int{}, falselyEjected: map[ident.ServerID]bool{}}
	for _, s := range specs {
		w.floors[s.Name] = s.Config.FloorSlots
	}
	return w
}

// startGrayFailure makes one server fail every request while its health checks keep passing.
func (w *watcher) startGrayFailure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gray = "history-north-1"
	w.grayAt = time.Now()
	w.fleet.Servers["history"][w.gray].SetFaults(backendserver.Faults{FailFraction: 1})
}

// pollInterval is the time between polls, and thus the resolution of GrayDetectedMillis.
const pollInterval = 10 * time.Millisecond

// run polls until the context ends.
func (w *watcher) run(ctx context.Context) {
	periodic.Every(ctx, pollInterval, func(time.Time) { w.poll() })
}

// poll collects the ejected servers over all daemons, records the ejections and checks the
// capacity floors.
func (w *watcher) poll() {
	ejected := map[ident.ServiceID]map[ident.ServerID]int{}
	for _, d := range w.fleet.Daemons {
		d.Shards().Each(func(id ident.ShardID, _ bool, dispatcher *dispatch.Dispatcher) {
			for _, s := range dispatcher.Shard.View().Servers {
				if s.State == pool.Ejected || s.State == pool.Trial {
					if ejected[id.Service] == nil {
						ejected[id.Service] = map[ident.ServerID]int{}
					}
					ejected[id.Service][s.ID] = s.Slots
					w.recordEjection(s)
				}
			}
		})
	}
	w.checkFloors(ejected)
}

// recordEjection records a server that is ejected: the first ejection of the gray server, or a false
// ejection of another.
func (w *watcher) recordEjection(s shard.ServerView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.ID != w.gray {
		w.falselyEjected[s.ID] = true
		return
	}
	if w.grayEjectedAt.IsZero() {
		w.grayEjectedAt = time.Now()
	}
}

// checkFloors counts each service whose capacity, without the slots of its ejected servers, is
// below its floor.
func (w *watcher) checkFloors(ejected map[ident.ServiceID]map[ident.ServerID]int) {
	for service, servers := range ejected {
		s := w.fleet.Daemons[0].Versions().Current().Service(service)
		healthy := s.Capacity()
		for _, slots := range servers {
			healthy -= slots
		}
		if healthy < w.floors[service] {
			w.mu.Lock()
			w.floorViolations++
			w.mu.Unlock()
		}
	}
}

// report compares the runs that the servers counted with what the callers were told.
func (w *watcher) report(l *load.Load) *Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Report{
		Ranks: l.Report(), GrayDetectedMillis: -1, FalseEjections: len(w.falselyEjected), FloorViolations: w.floorViolations,
		WrongAnswers: l.Ledger().WrongAnswers,
	}
	if !w.grayEjectedAt.IsZero() {
		r.GrayDetectedMillis = w.grayEjectedAt.Sub(w.grayAt).Milliseconds()
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

// Write writes the report to o.Out, as text or, with o.JSON, as JSON.
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
