//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the names of the cases to their functions. A function returns whether the rule was
// broken, and an error if the case could not run.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"uploads": uploadsCase,
	"kills":   killsCase,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// main plays a case: harness NAME BINARY RECORD. TROUBLE=0 in the environment leaves the
// disruption out.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness NAME BINARY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, record string) int {
	binary, err := filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(binary, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	broken, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
