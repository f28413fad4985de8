// Command capacity measures the costs, and their slopes by linear regression, from which the figures
// of docs/CAPACITY.md are computed: the cost of an idle fleet by its size, the cost of a
// configuration change, the store operations per booking, and the memory and time that loading a
// whole configuration takes.
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

// discardLogger returns a logger without output.
func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// processorTime returns the user and system processor time that this process has used, or 0 if it
// can't be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the size of the heap after a garbage collection, in bytes.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// printLinearFit prints the linear regression of ys on xs.
func printLinearFit(what string, xs, ys []float64) {
	a, b := stat.LinearRegression(xs, ys, nil, false)
	fmt.Printf("fit: %s = %.4g + %.4g x\n", what, a, b)
}

// fleetCommand measures the cost of idle fleets and of configuration changes, by the size of the
// fleet.
type fleetCommand struct {
	Sizes   []int `long:"size" default:"4" default:"8" default:"16" default:"32" default:"64" description:"number of daemons; repeat for more"`
	Seconds int   `long:"seconds" default:"20" description:"how long each fleet idles"`
	Changes int   `long:"changes" default:"5" description:"number of changes in each fleet"`
}

// fleetCost holds the measurements of one fleet. bytes, reads and writes are per second; reads and
// writes are of the whole fleet, bytes, cpuPercent, heapMB and the changes' bytes and processor time
// are per daemon. The fields of changes are means per change.
type fleetCost struct {
	daemons                               float64
	bytes, reads, writes, cpuPercent      float64
	heapMB, changeMillis, changeBytes     float64
	changeReads, changeCPUMillis, members float64
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "daemons\tcontrol B/s each\tstore reads/s all\tstore writes/s all\tCPU % each\theap MB each\tchange to all ms\tB a change each\tCPU ms a change each\t")
	var xs, bytes, reads, cpus, changeMillis []float64
	for _, n := range c.Sizes {
		r, err := c.measure(n)
		if err != nil {
			return err
		}
		fmt.Fprintf(t, "%d\t%.0f\t%.2f\t%.3f\t%.3f\t%.2f\t%.0f\t%.0f\t%.2f\t\n",
			n, r.bytes, r.reads, r.writes, r.cpuPercent, r.heapMB, r.changeMillis, r.changeBytes, r.changeCPUMillis)
		xs, bytes, reads = append(xs, float64(n)), append(bytes, r.bytes), append(reads, r.reads)
		cpus, changeMillis = append(cpus, r.cpuPercent), append(changeMillis, r.changeMillis)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	printLinearFit("control B/s each, by daemons", xs, bytes)
	printLinearFit("store reads/s of all, by daemons", xs, reads)
	printLinearFit("CPU % each, by daemons", xs, cpus)
	printLinearFit("ms of a change to all, by daemons", xs, changeMillis)
	return nil
}

// startFleet starts a fleet of daemons in two regions, with two services of the size that a small
// team has, and waits until it is ready.
func startFleet(daemons int) (*fleet.Fleet, error) {
	f, err := fleet.Start(fleet.Options{
		Regions: []ident.RegionID{"north", "south"}, Daemons: daemons, Seed: 1, Log: discardLogger(),
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

// settleTime is how long a fleet runs before its measurement begins, so that the cost of starting
// doesn't count.
const settleTime = 5 * time.Second

// measure starts a fleet of n daemons and measures its idle cost and the cost of changes.
func (c *fleetCommand) measure(n int) (*fleetCost, error) {
	before := heapBytes()
	f, err := startFleet(n)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	time.Sleep(settleTime)
	r := &fleetCost{daemons: float64(n), heapMB: (heapBytes() - before) / (1 << 20) / float64(n)}
	sent, counts, used := totalTraffic(f), f.Table.Counts(), processorTime()
	time.Sleep(time.Duration(c.Seconds) * time.Second)
	seconds := float64(c.Seconds)
	after := f.Table.Counts()
	r.bytes = float64(totalTraffic(f)-sent) / seconds / float64(n)
	r.reads = float64(after.Reads-counts.Reads) / seconds
	r.writes = float64(after.Writes-counts.Writes) / seconds
	r.cpuPercent = 100 * (processorTime() - used).Seconds() / seconds / float64(n)
	return r, c.measureChanges(f, r)
}

// measureChanges measures the mean cost of a configuration change that becomes active on all daemons,
// without the idle cost during that time.
func (c *fleetCommand) measureChanges(f *fleet.Fleet, r *fleetCost) error {
	for i := range c.Changes {
		sent, used := totalTraffic(f), processorTime()
		begin := time.Now()
		base := f.Daemons[0].ConfigVersion()
		n, err := f.Daemons[i%len(f.Daemons)].Versions().Submit(context.Background(), versions.Submission{
			ID: fmt.Sprint("c", i), Base: base,
			Patch: json.RawMessage(fmt.Sprintf(`{"organisations":{"club-%d":{"weight":2}}}`, i)),
		})
		if err != nil {
			return err
		}
		for !activeOnAll(f, n) {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(begin)
		time.Sleep(500 * time.Millisecond)
		elapsed := time.Since(begin).Seconds()
		changes := float64(c.Changes)
		r.changeMillis += float64(took.Milliseconds()) / changes
		r.changeBytes += (float64(totalTraffic(f)-sent)/r.daemons - r.bytes*elapsed) / changes
		r.changeCPUMillis += 1000 * ((processorTime()-used).Seconds()/r.daemons - r.cpuPercent/100*elapsed) / changes
	}
	return nil
}

// activeOnAll reports whether all daemons use configuration version n or a later one.
func activeOnAll(f *fleet.Fleet, n ident.Version) bool {
	for _, d := range f.Daemons {
		if d.ConfigVersion() < n {
			return false
		}
	}
	return true
}

// totalTraffic returns the number of bytes that all daemons have sent and received. A byte between
// two daemons counts twice, at the sender and at the receiver.
func totalTraffic(f *fleet.Fleet) int64 {
	total := int64(0)
	for _, d := range f.Daemons {
		sent, received := d.Traffic()
		total += sent + received
	}
	return total
}

// bookingsCommand measures the store operations per booking, by the rate of bookings.
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
		f, err := startFleet(4)
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

// memoryCommand measures the time and memory that loading a configuration takes, whose size is a
// fraction of the target's.
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
	residentBefore, start := procStatus("VmRSS"), time.Now()
	v := versions.New(nil, nil)
	if err := v.InstallSnapshot(1, body); err != nil {
		return err
	}
	took, peak := time.Since(start), procStatus("VmHWM")
	size := len(body)
	body = nil
	runtime.GC()
	fmt.Printf("%s: JSON %.1f MB, loaded in %v, heap %.1f MB, resident before %s, peak %s\n",
		c.Read, float64(size)/(1<<20), took.Round(time.Millisecond), heapBytes()/(1<<20), residentBefore, peak)
	runtime.KeepAlive(v)
	return nil
}

// procStatus returns the value of a line of /proc/self/status, or "unknown" if it can't be read.
func procStatus(name string) string {
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
