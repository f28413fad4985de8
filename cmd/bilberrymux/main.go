// Command bilberrymux runs a daemon of the proxy fleet and provides the operators' commands.
//
// Exit codes: 0 for success, 1 for a failure, 2 for bad usage or a refused
// configuration or settings file, 3 for a patch against a stale version, 4 for an
// unknown outcome, for instance because the daemon did not respond.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"bilberrymux/io/daemon"
)

// Exit codes, as described in the package comment.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitStale   = 3
	exitUnknown = 4
)

// exitError is an error with the exit code that the process returns for it.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// command describes a subcommand and the value that go-flags decodes its flags into.
type command struct {
	name, short, long string
	data              any
}

// commands returns all subcommands in the order of the help text.
func commands() []command {
	return []command{
		{"serve", "Run the daemon", serveHelp, &serveCommand{}},
		{"edge", "Run the daemon on the users' platform", edgeHelp, &edgeCommand{}},
		{"explain", "Tell what happened to one request, from log files", explainHelp, &explainCommand{}},
		{"losses", "Count lost requests by cause, from log files", lossesHelp, &lossesCommand{}},
		{"check", "Check a settings or configuration file", checkHelp, &checkCommand{}},
		{"locate", "Ask a daemon where callers should connect", locateHelp, &locateCommand{}},
		{"show", "Show the state of a daemon", showHelp, &showCommand{}},
		{"patch", "Submit a patch of the shared configuration", patchHelp, &patchCommand{}},
		{"history", "List the versions of the shared configuration", historyHelp, &historyCommand{}},
		{"diff", "Show what changed between two versions", diffHelp, &diffCommand{}},
		{"rollback", "Put an older version in force as a new one", rollbackHelp, &rollbackCommand{}},
		{"release", "Lift the quarantine of a request", releaseHelp, &releaseCommand{}},
		{"drain", "Ask a daemon for a planned stop", drainHelp, &drainCommand{}},
		{"version", "Print the version of the program", "", &versionCommand{}},
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses and executes a command line and returns the exit code.
func run(args []string) int {
	parser := flags.NewNamedParser("bilberrymux", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A proxy fleet for backend servers with gray failures."
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

// exitCode prints err for the user, if any, and returns the exit code for it.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Println(err)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "bilberrymux:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

// versionCommand prints the version of the program.
type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Println("bilberrymux", daemon.Build)
	return nil
}
