// Command experiment runs scripts in virtual time and prints the policies side
// by side.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"

	"bilberrymux/io/experiment"
	"bilberrymux/io/report"
)

// options are the flags of the command.
type options struct {
	Seed     uint64   `long:"seed" default:"1" description:"first seed"`
	Seeds    int      `long:"seeds" default:"1" description:"number of seeds"`
	Policies []string `long:"policy" description:"run only this policy; repeat for more"`
	Report   string   `long:"report" description:"write an HTML page with plots to this file"`
	Output   string   `long:"output" description:"write the results as JSON to this file"`
	Summary  bool     `long:"summary" description:"print one line for all seeds, with the worst of them"`
	Counters bool     `long:"counters" description:"print the counters of each run"`
	Args     struct {
		Scripts []string `positional-arg-name:"script" required:"1"`
	} `positional-args:"true"`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		return err
	}
	todo, err := jobs(&o)
	if err != nil {
		return err
	}
	inVirtualTime(func(t *testing.T) error {
		return conclude(&o, runAll(t, todo))
	})
	return nil
}

// conclude prints the results and tells whether what must hold was broken.
func conclude(o *options, results []*experiment.Result) error {
	if err := write(o, results); err != nil {
		return err
	}
	if o.Counters {
		printCounters(results)
	}
	if o.Output != "" {
		body, err := json.Marshal(results)
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.Output, body, 0o644); err != nil {
			return err
		}
	}
	if err := writeReport(o.Report, results); err != nil {
		return err
	}
	return verdict(results)
}

// writeReport writes the page, if one is wanted.
func writeReport(path string, results []*experiment.Result) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return report.Write(f, results)
}

func write(o *options, results []*experiment.Result) error {
	if o.Summary {
		return experiment.WriteSummary(os.Stdout, experiment.Summarise(results))
	}
	return experiment.WriteTable(os.Stdout, results)
}

// inVirtualTime runs f inside a test, since testing/synctest, which gives
// virtual time, wants one. It ends the process with the outcome of f.
func inVirtualTime(f func(t *testing.T) error) {
	os.Args = os.Args[:1]
	testing.Main(
		func(string, string) (bool, error) { return true, nil },
		[]testing.InternalTest{{Name: "experiment", F: func(t *testing.T) {
			if err := f(t); err != nil {
				t.Fatal(err)
			}
		}}}, nil, nil)
}

// job is one run.
type job struct {
	script *experiment.Script
	policy experiment.Policy
	seed   uint64
}

func jobs(o *options) ([]job, error) {
	var out []job
	for _, path := range o.Args.Scripts {
		s, err := experiment.Load(path)
		if err != nil {
			return nil, err
		}
		if s.Name == "" {
			s.Name = strings.TrimSuffix(filepath.Base(path), ".json")
		}
		for _, p := range experiment.Policies() {
			if len(o.Policies) > 0 && !slices.Contains(o.Policies, p.Name) {
				continue
			}
			for i := range o.Seeds {
				out = append(out, job{s, p, o.Seed + uint64(i)})
			}
		}
	}
	return out, nil
}

// runAll runs every job, several at a time.
func runAll(t *testing.T, todo []job) []*experiment.Result {
	results := make([]*experiment.Result, len(todo))
	t.Run("runs", func(t *testing.T) {
		for i, j := range todo {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				results[i] = experiment.Run(t, j.script, j.policy, j.seed).Finalise()
			})
		}
	})
	return results
}

func printCounters(results []*experiment.Result) {
	for _, r := range results {
		fmt.Printf("\n%s, %s, seed %d\n", r.Script, r.Policy, r.Seed)
		for _, name := range r.CounterNames() {
			fmt.Printf("  %-36s %d\n", name, r.Counters[name])
		}
	}
}

// verdict fails where what must hold was broken by the product's own policy.
func verdict(results []*experiment.Result) error {
	for _, r := range results {
		if broken := r.Violations(); len(broken) > 0 && r.Policy == "bilberrymux" {
			return fmt.Errorf("%s, seed %d: %s", r.Script, r.Seed, strings.Join(broken, ", "))
		}
	}
	return nil
}
