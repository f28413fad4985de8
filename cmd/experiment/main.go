// Command experiment runs scripts in virtual time with one or more policies and prints a table that
// compares their results. It exits with status 1 if bilberrymux's own policy violates an invariant.
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

// options holds the command-line flags and arguments.
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
	jobs, err := listJobs(&o)
	if err != nil {
		return err
	}
	inVirtualTime(func(t *testing.T) error {
		return finish(&o, runAll(t, jobs))
	})
	return nil
}

// finish prints and writes the results as the flags ask, and returns an error if an invariant was
// violated.
func finish(o *options, results []*experiment.Result) error {
	if err := writeTable(o, results); err != nil {
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
	return checkInvariants(results)
}

// writeReport writes the HTML page to a file. It does nothing if path is empty.
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

// writeTable prints the results to standard output, as a summary or as a line for each run.
func writeTable(o *options, results []*experiment.Result) error {
	if o.Summary {
		return experiment.WriteSummary(os.Stdout, experiment.Summarise(results))
	}
	return experiment.WriteTable(os.Stdout, results)
}

// inVirtualTime runs f inside a test, since testing/synctest, which provides virtual time, requires a
// *testing.T. It does not return: it exits with status 1 if f returns an error, otherwise with 0.
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

// job is one run of a script with a policy and a seed.
type job struct {
	script *experiment.Script
	policy experiment.Policy
	seed   uint64
}

// listJobs loads the scripts and returns a job for each script, selected policy and seed. A script
// without a name is named after its file.
func listJobs(o *options) ([]job, error) {
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

// runAll runs all jobs as parallel subtests and returns their results in the order of the jobs.
func runAll(t *testing.T, jobs []job) []*experiment.Result {
	results := make([]*experiment.Result, len(jobs))
	t.Run("runs", func(t *testing.T) {
		for i, j := range jobs {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				results[i] = experiment.Run(t, j.script, j.policy, j.seed).Finalise()
			})
		}
	})
	return results
}

// printCounters prints the shards' counters of each run.
func printCounters(results []*experiment.Result) {
	for _, r := range results {
		fmt.Printf("\n%s, %s, seed %d\n", r.Script, r.Policy, r.Seed)
		for _, name := range r.CounterNames() {
			fmt.Printf("  %-36s %d\n", name, r.Counters[name])
		}
	}
}

// checkInvariants returns an error for the first run in which bilberrymux's own policy violated an
// invariant. Violations by the other policies are not errors.
func checkInvariants(results []*experiment.Result) error {
	for _, r := range results {
		if violations := r.Violations(); len(violations) > 0 && r.Policy == "bilberrymux" {
			return fmt.Errorf("%s, seed %d: %s", r.Script, r.Seed, strings.Join(violations, ", "))
		}
	}
	return nil
}
