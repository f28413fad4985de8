// Command soak runs daemons as processes, injects faults drawn from each seed, and checks the
// system's promises. Exit codes: 0 no promise was broken, 1 a promise was broken or a run failed,
// 2 the command line is invalid.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"bilberrymux/io/soak"
)

type options struct {
	Binary        string        `long:"binary" description:"the daemon's program" required:"true"`
	Seed          []uint64      `long:"seed" description:"seed of a run; repeat for more" required:"true"`
	Daemons       int           `long:"daemons" description:"daemons in each of two zones" default:"4"`
	Callers       int           `long:"callers" description:"callers" default:"12"`
	AheadCallers  int           `long:"ahead" description:"further callers that open connections long before they use them" default:"12"`
	FaultDuration time.Duration `long:"length" description:"time with faults" default:"14s"`
	QuietDuration time.Duration `long:"tail" description:"time without faults after it" default:"17s"`
	FaultInterval time.Duration `long:"gap" description:"mean time between two faults" default:"500ms"`
	Fault         []string      `long:"fault" description:"name of a fault; repeat for more, none means all"`
	Picture       bool          `long:"picture" description:"keep the files of passing runs too, with the picture of the timeline"`
	JSON          bool          `long:"json" description:"print JSON"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	broken := false
	for _, seed := range o.Seed {
		ok, err := run(&o, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		broken = broken || !ok
	}
	if broken {
		os.Exit(1)
	}
}

// run performs the run of one seed and returns whether all promises were kept. It keeps the run's
// files if a promise was broken, if the run failed or if --picture is set, and deletes them otherwise.
func run(o *options, seed uint64) (bool, error) {
	folder, err := soak.CreateFolder(seed)
	if err != nil {
		return false, err
	}
	r, err := soak.Run(soak.Options{
		Seed: seed, Binary: o.Binary, Folder: folder, DaemonsPerZone: o.Daemons, Callers: o.Callers, AheadCallers: o.AheadCallers,
		FaultDuration: o.FaultDuration, QuietDuration: o.QuietDuration, FaultInterval: o.FaultInterval, Faults: o.Fault, Bounds: soak.DocumentedBounds,
	})
	if err != nil {
		return false, fmt.Errorf("seed %d: %w; files in %s", seed, err, folder)
	}
	broken := len(r.Violations) > 0
	if broken || o.Picture {
		if err := writeTimeline(r, folder); err != nil {
			return false, err
		}
	}
	if err := printReport(o, r, folder); err != nil {
		return false, err
	}
	if broken || o.Picture {
		return !broken, nil
	}
	return true, os.RemoveAll(folder)
}

// writeTimeline writes the timeline of a run to timeline.svg in its folder.
func writeTimeline(r *soak.Report, folder string) error {
	f, err := os.Create(filepath.Join(folder, "timeline.svg"))
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return errors.Join(r.Draw(f), f.Close())
}

// printReport prints the report as JSON or as text. The text lists the broken promises and the
// faults only if a promise was broken.
func printReport(o *options, r *soak.Report, folder string) error {
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("seed %d: %d of %d requests served, %d faults, %d promises broken\n", r.Seed, r.Served, r.Requests, len(r.Faults), len(r.Violations))
	if len(r.Violations) > 0 || o.Picture {
		fmt.Println("  files in", folder)
	}
	if len(r.Violations) == 0 {
		return nil
	}
	for _, v := range r.Violations {
		fmt.Printf("  %s: %s\n", v.Promise, v.Description)
	}
	for _, e := range r.Faults {
		fmt.Printf("  %7.3f to %7.3f s  %s\n", e.At, e.Until, e.Description)
	}
	return nil
}
