package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/core/shard"
	"bilberrymux/io/admin"
	"bilberrymux/io/front"
	"bilberrymux/io/httpread"
)

// table writes rows with aligned columns to standard output. Nothing is written before flush.
type table struct {
	w *tabwriter.Writer
}

// newTable returns a table whose header row holds the columns' names in upper case.
func newTable(columns ...string) *table {
	t := &table{tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)}
	fmt.Fprintln(t.w, strings.ToUpper(strings.Join(columns, "\t")))
	return t
}

// row appends one row.
func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, c)
	}
	fmt.Fprintln(t.w)
}

// flush writes all rows to standard output.
func (t *table) flush() error {
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

const showHelp = `Show the state of a daemon: status, shards, servers, members, events, poison,
config or metrics.

Examples:
  bilberrymux show -a 10.0.0.5:7003 -k key servers
  bilberrymux show -a 10.0.0.5:7003 -k key --json shards`

// showCommand prints one part of the state of a daemon, as a table or as JSON.
type showCommand struct {
	adminOptions
	Args struct {
		What string `positional-arg-name:"what" description:"status, shards, servers, members, events, poison, config or metrics"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	paths := map[string]string{
		"status": admin.PathStatus, "shards": admin.PathShards, "servers": admin.PathShards,
		"members": admin.PathMembers, "events": admin.PathEvents, "poison": admin.PathPoison,
		"config": admin.PathConfig, "metrics": admin.PathCounters,
	}
	path, ok := paths[c.Args.What]
	if !ok {
		return &exitError{exitUsage, fmt.Errorf("can't show %q; see bilberrymux show --help", c.Args.What)}
	}
	var raw json.RawMessage
	if err := c.call("GET", path, nil, &raw); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(raw)
	}
	switch c.Args.What {
	case "shards":
		return decodeAndPrint(raw, printShards)
	case "servers":
		return decodeAndPrint(raw, printServers)
	case "members":
		return decodeAndPrint(raw, printMembers)
	case "events":
		return decodeAndPrint(raw, printEvents)
	case "poison":
		return decodeAndPrint(raw, printPoison)
	case "status":
		return decodeAndPrint(raw, printStatus)
	}
	return printJSON(raw)
}

// decodeAndPrint decodes raw and passes the value to printValue.
func decodeAndPrint[T any](raw json.RawMessage, printValue func(T) error) error {
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return printValue(v)
}

func printStatus(s admin.Status) error {
	t := newTable("vm", "state", "region", "zone", "version", "live", "in flight", "up", "build")
	up := time.Since(s.Started).Round(time.Second)
	t.row(s.VM, s.State, s.Region, s.Zone, s.Version, s.LiveDaemons, s.InFlight, up, s.Build)
	return t.flush()
}

func printShards(views []shard.View) error {
	t := newTable("service", "region", "owned", "capacity", "busy u/n/b", "waiting u/n/b", "permits used/held")
	for _, v := range views {
		t.row(v.Service, v.Region, v.Owned, v.Capacity, formatRanks(v.Busy), formatRanks(v.Waiting),
			fmt.Sprintf("%d/%d", v.Permits.Used, v.Permits.Allowed))
	}
	return t.flush()
}

// formatRanks formats a count per rank in the order urgent, normal, background.
func formatRanks(n [ident.RankCount]int) string {
	return fmt.Sprintf("%d/%d/%d", n[0], n[1], n[2])
}

func printServers(views []shard.View) error {
	t := newTable("service", "server", "state", "cause", "busy/limit/slots", "weight", "suspicion", "failing", "slow", "shed", "flaps")
	for _, v := range views {
		for _, s := range v.Servers {
			t.row(v.Service, s.ID, s.State, s.Cause, fmt.Sprintf("%d/%d/%d", s.Busy, s.Limit, s.Slots), s.Weight,
				formatPercent(s.Suspicion), formatPercent(s.FailureRate), formatPercent(s.SlowRate), formatPercent(s.ShedRate), s.Flaps)
		}
	}
	return t.flush()
}

// formatPercent formats a ratio between 0 and 1 as a whole percentage.
func formatPercent(ratio float64) string {
	return fmt.Sprintf("%.0f%%", 100*ratio)
}

func printMembers(entries []member.Entry) error {
	t := newTable("vm", "state", "region", "zone", "callers", "peers", "incarnation")
	for _, e := range entries {
		t.row(e.VM, e.State, e.Region, e.Zone, e.CallerAddress, e.PeerAddress, e.Incarnation)
	}
	return t.flush()
}

func printEvents(events []admin.Event) error {
	t := newTable("time", "service", "server", "from", "to", "reason")
	for _, e := range events {
		t.row(e.Time.Format(time.RFC3339Nano), e.Service, e.Server, e.From, e.To, e.Reason)
	}
	return t.flush()
}

func printPoison(entries []admin.PoisonView) error {
	t := newTable("service", "fingerprint", "until", "released", "servers")
	for _, e := range entries {
		t.row(e.Service, e.Hex, e.Until.Format(time.RFC3339), e.Released, e.Servers)
	}
	return t.flush()
}

const locateHelp = `Ask a daemon, at its callers' address, where to connect for a service.

Example:
  bilberrymux locate --daemon 10.0.0.5:7001 bookings`

// locateCommand prints the addresses that a daemon tells callers of a service to connect to.
type locateCommand struct {
	Daemon string `short:"d" long:"daemon" description:"callers' address of a daemon" required:"true"`
	JSON   bool   `long:"json" description:"print JSON"`
	Args   struct {
		Service string `positional-arg-name:"service"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *locateCommand) Execute([]string) error {
	url := "http://" + c.Daemon + front.LocatePath + "?service=" + c.Args.Service
	client := fasthttp.Client{ConfigureClient: httpread.Configure}
	status, body, err := client.GetTimeout(nil, url, adminTimeout)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Daemon, err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("%s: status %d: %s", c.Daemon, status, body)
	}
	var location front.Location
	if err := json.Unmarshal(body, &location); err != nil {
		return fmt.Errorf("%s: decode response: %w", c.Daemon, err)
	}
	if c.JSON {
		return printJSON(location)
	}
	t := newTable("address", "region", "zone", "permit")
	for _, a := range location.Addresses {
		t.row(a.Address, a.Region, a.Zone, a.Permit)
	}
	return t.flush()
}

const releaseHelp = `Lift the quarantine of a request, on all daemons.

Example:
  bilberrymux release -a 10.0.0.5:7003 -k key bookings 00c0ffee00c0ffee`

// releaseCommand lifts the quarantine of requests with a given fingerprint on all daemons.
type releaseCommand struct {
	adminOptions
	Args struct {
		Service     string `positional-arg-name:"service"`
		Fingerprint string `positional-arg-name:"fingerprint"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *releaseCommand) Execute([]string) error {
	req := admin.ReleaseRequest{Service: ident.ServiceID(c.Args.Service), Hex: c.Args.Fingerprint}
	if err := c.call("POST", admin.PathRelease, req, nil); err != nil {
		return err
	}
	fmt.Println("released")
	return nil
}

const drainHelp = `Ask a daemon for a planned stop, as SIGTERM does.

Example:
  bilberrymux drain -a 10.0.0.5:7003 -k key`

// drainCommand asks a daemon for a planned stop.
type drainCommand struct {
	adminOptions
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	var s admin.Status
	if err := c.call("POST", admin.PathDrain, nil, &s); err != nil {
		return err
	}
	fmt.Printf("%s is stopping\n", s.VM)
	return nil
}
