// Command standin simulates the systems around bilberrymux for tests and demonstrations: the platform,
// backend servers and callers. Its demo command runs all of them and the daemons in one process.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/demo"
	"bilberrymux/io/standin/load"
	"bilberrymux/io/standin/platformserver"
	"bilberrymux/io/standin/table"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses and executes a command line and returns the exit code: 0 for success, 1 for a failure and
// 2 for bad usage.
func run(args []string) int {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"platform", "Serve the table service, object store and VM list", &platformCommand{}},
		{"servers", "Serve backend servers on given addresses", &serversCommand{}},
		{"load", "Send requests of several apps and report by rank", &loadCommand{}},
		{"demo", "Run the main job with everything in one process", &demoCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	_, err := parser.ParseArgs(args)
	var flagError *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &flagError):
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	return 1
}

// signalContext returns a context that is cancelled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// platformCommand runs the simulated platform until SIGTERM or SIGINT.
type platformCommand struct {
	Address string `long:"address" default:"127.0.0.1:7100" description:"where to serve"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of the faults"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	s := platformserver.New(table.New(c.Seed))
	ctx, cancel := signalContext()
	defer cancel()
	go func() {
		<-ctx.Done()
		_ = s.Stop()
	}()
	return s.Serve(l)
}

// serversCommand runs simulated backend servers until SIGTERM or SIGINT.
type serversCommand struct {
	Addresses  []string `long:"address" description:"name=address of one server; repeat for more" required:"true"`
	Slots      int      `long:"slots" default:"2" description:"requests run at once by each server"`
	WorkMillis int      `long:"work-millis" default:"20" description:"median time of work"`
	Spread     float64  `long:"spread" default:"0.4" description:"standard deviation of the logarithm of the time of work"`
	ColdMillis int      `long:"cold-millis" default:"0" description:"how long a started server is slower"`
	Seed       uint64   `long:"seed" default:"1" description:"seed of times and faults"`
}

// coldFactor is the factor by which the work of a newly started server takes longer at first. It
// declines to 1 over the time given by the flag --cold-millis.
const coldFactor = 4

// Execute implements flags.Commander.
func (c *serversCommand) Execute([]string) error {
	for i, arg := range c.Addresses {
		name, address, ok := strings.Cut(arg, "=")
		if !ok {
			return fmt.Errorf("%q is not name=address", arg)
		}
		s := backendserver.New(backendserver.Options{
			Name: name, Slots: c.Slots, WorkMedian: time.Duration(c.WorkMillis) * time.Millisecond,
			WorkSpread: c.Spread, WarmUpTime: time.Duration(c.ColdMillis) * time.Millisecond,
			ColdFactor: coldFactor, Seed: c.Seed + uint64(i),
		})
		if err := s.Listen(address); err != nil {
			return err
		}
		defer s.Stop()
	}
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	return nil
}

// loadCommand sends the requests of several apps to the daemons and reports the results by rank. It
// fails if any answer was wrong, but not with --json.
type loadCommand struct {
	Entries []string `long:"entry" description:"callers' address of a daemon; repeat for more" required:"true"`
	Streams string   `long:"streams" description:"JSON file with the apps' streams" required:"true"`
	Seconds int      `long:"seconds" default:"20" description:"how long to send"`
	Seed    uint64   `long:"seed" default:"1" description:"seed of the arrivals"`
	JSON    bool     `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	body, err := os.ReadFile(c.Streams)
	if err != nil {
		return err
	}
	var streams []load.Stream
	if err := json.Unmarshal(body, &streams); err != nil {
		return fmt.Errorf("%s: %w", c.Streams, err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, time.Duration(c.Seconds)*time.Second)
	defer stop()
	l := load.New(load.Options{Entries: c.Entries, Streams: streams, Seed: c.Seed})
	l.Run(ctx)
	ledger := l.Ledger()
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		return e.Encode(struct {
			Ranks  []load.RankReport `json:"ranks"`
			Ledger load.Ledger       `json:"ledger"`
		}{l.Report(), ledger})
	}
	if err := load.WriteTable(os.Stdout, l.Report()); err != nil {
		return err
	}
	if len(ledger.WrongAnswers) > 0 {
		return fmt.Errorf("%d wrong answers, the first: %s", len(ledger.WrongAnswers), ledger.WrongAnswers[0])
	}
	return nil
}

// demoCommand runs the daemons, backend servers and load of the demonstration in one process. It
// fails if an invariant was violated.
type demoCommand struct {
	Seconds int     `long:"seconds" default:"15" description:"how long to send"`
	Scale   float64 `long:"scale" default:"1" description:"multiplies the rates"`
	Seed    uint64  `long:"seed" default:"1" description:"seed of arrivals, work and faults"`
	JSON    bool    `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	o := demo.Options{
		Time: time.Duration(c.Seconds) * time.Second, Scale: c.Scale, Seed: c.Seed, JSON: c.JSON, Out: os.Stdout,
	}
	if !c.JSON {
		fmt.Printf("4 daemons, 32 backend servers, 5 streams of 4 apps for %d s; history-north-1 turns gray at %.0f%%\n\n",
			c.Seconds, 100*0.4)
	}
	report, err := demo.Run(o)
	if err != nil {
		return err
	}
	if err := report.Write(o); err != nil {
		return err
	}
	if violations := report.Violations(); len(violations) > 0 {
		return fmt.Errorf("invariants violated: %s", strings.Join(violations, "; "))
	}
	return nil
}
