// Command capacity measures the slopes that docs/CAPACITY.md is worked out
// from: what an idle fleet costs by its size, what a change costs, what a
// booking costs at the store, and what a whole configuration takes.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
	"gonum.org/v1/gonum/stat"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/settings"
	"bilberrymux/io/daemon"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
	"bilberrymux/io/versions"
)

func main() {
	parser := flags.NewNamedParser("capacity", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"fleet", "Cost of idle daemons and of a change, by the size of the fleet", &fleetCommand{}},
		{"bookings", "Store operations for each booking, by the rate", &bookingsCommand{}},
		{"memory", "Memory of a process that holds a part of the target's configuration", &memoryCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// fit writes a straight line through points.
func fit(what string, xs, ys []float64) {
	a, b := stat.LinearRegression(xs, ys, nil, false)
	fmt.Printf("fit: %s = %.4g + %.4g x\n", what, a, b)
}

// fleetCommand measures fleets of several sizes.
type fleetCommand struct {
	Sizes   []int `long:"size" default:"4" default:"8" default:"16" default:"32" default:"64" description:"number of daemons; repeat for more"`
	Seconds int   `long:"seconds" default:"20" description:"how long each fleet idles"`
	Changes int   `long:"changes" default:"5" description:"number of changes in each fleet"`
}

// row is the cost of one fleet.
type row struct {
	daemons                               float64
	bytes, reads, writes, cpuPercent      float64
	heapMB, changeMillis, changeBytes     float64
	changeReads, changeCPUMillis, members float64
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "daemons\tcontrol B/s each\tstore reads/s all\tstore writes/s all\tCPU % each\theap MB each\tchange to all ms\tB a change each\tCPU ms a change each\t")
	var xs, bytes, reads, cpus, spread []float64
	for _, n := range c.Sizes {
		r, err := c.measure(n)
		if err != nil {
			return err
		}
		fmt.Fprintf(t, "%d\t%.0f\t%.2f\t%.3f\t%.3f\t%.2f\t%.0f\t%.0f\t%.2f\t\n",
			n, r.bytes, r.reads, r.writes, r.cpuPercent, r.heapMB, r.changeMillis, r.changeBytes, r.changeCPUMillis)
		xs, bytes, reads = append(xs, float64(n)), append(bytes, r.bytes), append(reads, r.reads)
		cpus, spread = append(cpus, r.cpuPercent), append(spread, r.changeMillis)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fit("control B/s each, by daemons", xs, bytes)
	fit("store reads/s of all, by daemons", xs, reads)
	fit("CPU % each, by daemons", xs, cpus)
	fit("ms of a change to all, by daemons", xs, spread)
	return nil
}

// start brings up daemons in two regions with the services of a small team.
func start(daemons int) (*fleet.Fleet, error) {
	f, err := fleet.Start(fleet.Options{
		Regions: []ident.RegionID{"north", "south"}, Daemons: daemons, Seed: 1, Log: quiet(),
		Services: []fleet.ServiceSpec{
			{Name: "a", ServersPerRegion: 4, Slots: 4, WorkMedian: time.Millisecond},
			{Name: "b", ServersPerRegion: 4, Slots: 4, WorkMedian: time.Millisecond},
		},
		Routes: map[string]config.Route{
			"write": {Prefix: "/a", Service: "a", Rank: ident.Urgent, TimeoutMillis: 5000},
			"read":  {Prefix: "/b", Service: "b", Rank: ident.Normal, Idempotent: true, TimeoutMillis: 5000},
		},
		Adjust: func(s *settings.Settings) { s.LogLevel = "error" },
	})
	if err != nil {
		return nil, err
	}
	if err := f.WaitReady(time.Minute); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// settle is how long a fleet runs before it is measured.
const settle = 5 * time.Second

func (c *fleetCommand) measure(n int) (*row, error) {
	before := heap()
	f, err := start(n)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	time.Sleep(settle)
	r := &row{daemons: float64(n), heapMB: (heap() - before) / (1 << 20) / float64(n)}
	sent, counts, used := traffic(f), f.Table.Counts(), cpu()
	time.Sleep(time.Duration(c.Seconds) * time.Second)
	seconds := float64(c.Seconds)
	after := f.Table.Counts()
	r.bytes = float64(traffic(f)-sent) / seconds / float64(n)
	r.reads = float64(after.Reads-counts.Reads) / seconds
	r.writes = float64(after.Writes-counts.Writes) / seconds
	r.cpuPercent = 100 * (cpu() - used).Seconds() / seconds / float64(n)
	return r, c.change(f, r)
}

// change measures what it costs to put a version in force everywhere, beyond
// the idle cost.
func (c *fleetCommand) change(f *fleet.Fleet, r *row) error {
	for i := range c.Changes {
		sent, used := traffic(f), cpu()
		begin := time.Now()
		base := f.Daemons[0].ConfigVersion()
		n, err := f.Daemons[i%len(f.Daemons)].Versions().Submit(context.Background(), versions.Submission{
			ID: fmt.Sprint("c", i), Base: base,
			Patch: json.RawMessage(fmt.Sprintf(`{"organisations":{"club-%d":{"weight":2}}}`, i)),
		})
		if err != nil {
			return err
		}
		for !everywhere(f, n) {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(begin)
		time.Sleep(500 * time.Millisecond)
		elapsed := time.Since(begin).Seconds()
		k := float64(c.Changes)
		r.changeMillis += float64(took.Milliseconds()) / k
		r.changeBytes += (float64(traffic(f)-sent)/r.daemons - r.bytes*elapsed) / k
		r.changeCPUMillis += 1000 * ((cpu()-used).Seconds()/r.daemons - r.cpuPercent/100*elapsed) / k
	}
	return nil
}

func everywhere(f *fleet.Fleet, n ident.Version) bool {
	for _, d := range f.Daemons {
		if d.ConfigVersion() < n {
			return false
		}
	}
	return true
}

// traffic adds up what all daemons sent and received. Each byte counts at both
// of its ends.
func traffic(f *fleet.Fleet) int64 {
	total := int64(0)
	for _, d := range f.Daemons {
		sent, received := d.Traffic()
		total += sent + received
	}
	return total
}

// bookingsCommand measures the store's part in bookings.
type bookingsCommand struct {
	Rates   []float64 `long:"rate" default:"50" default:"200" default:"800" description:"bookings a second; repeat for more"`
	Seconds int       `long:"seconds" default:"8" description:"how long each rate is held"`
	Plain   bool      `long:"plain" description:"plain keys, which need a claim before the run"`
}

// Execute implements flags.Commander.
func (c *bookingsCommand) Execute([]string) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "bookings/s\tanswered\tstore writes/s\trows/s\treads/s\twrites a booking\tp50 ms\tp99 ms\t")
	for _, rate := range c.Rates {
		f, err := start(4)
		if err != nil {
			return err
		}
		before := f.Table.Counts()
		l := load.New(load.Options{Entries: f.Entries(), Seed: 1, PlainKeys: c.Plain, Streams: []load.Stream{{
			Name: "bookings", Rank: ident.Urgent, Method: "POST", Path: "/a", Rate: rate, DeadlineMillis: 4000, Keyed: true, Body: "x",
		}}})
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Seconds)*time.Second)
		l.Run(ctx)
		cancel()
		after := f.Table.Counts()
		f.Stop()
		r, seconds := l.Report()[0], float64(c.Seconds)
		fmt.Fprintf(t, "%.0f\t%d/%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t\n", rate, r.OK, r.Sent,
			float64(after.Writes-before.Writes)/seconds, float64(after.RowsWritten-before.RowsWritten)/seconds,
			float64(after.Reads-before.Reads)/seconds, float64(after.Writes-before.Writes)/float64(max(1, r.OK)), r.P50MS, r.P99MS)
	}
	return t.Flush()
}

// memoryCommand loads a part of the target's configuration.
type memoryCommand struct {
	Part  float64 `long:"part" default:"1" description:"part of the target's size"`
	Write string  `long:"write" description:"write the configuration to this file and stop"`
	Read  string  `long:"read" description:"load the configuration from this file, so that making it does not count"`
}

// Execute implements flags.Commander.
func (c *memoryCommand) Execute([]string) error {
	if c.Write != "" {
		return os.WriteFile(c.Write, config.Synthetic(c.Part), 0o644)
	}
	body, err := os.ReadFile(c.Read)
	if err != nil {
		return err
	}
	daemon.LimitMemory()
	base, start := status("VmRSS"), time.Now()
	k := versions.New(nil, nil)
	if err := k.InstallSnapshot(1, body); err != nil {
		return err
	}
	took, peak := time.Since(start), status("VmHWM")
	size := len(body)
	body = nil
	runtime.GC()
	fmt.Printf("%s: JSON %.1f MB, loaded in %v, heap %.1f MB, resident before %s, peak %s\n",
		c.Read, float64(size)/(1<<20), took.Round(time.Millisecond), heap()/(1<<20), base, peak)
	runtime.KeepAlive(k)
	return nil
}

// status reads a line of this process's status.
func status(name string) string {
	body, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return "unknown"
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			return strings.Join(strings.Fields(value), " ")
		}
	}
	return "unknown"
}
