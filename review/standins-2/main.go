//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCant   = 2
)

// errBroken is returned by a script that saw the rule broken.
var errBroken = errors.New("the rule was broken")

func main() {
	scripts := map[string]func(rec *record, trouble bool) error{"drill": drill, "poison": poison, "moves": moves, "limit": limit, "zoneloss": zoneloss, "missed": missed}
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 SCRIPT RECORD")
		os.Exit(exitCant)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCant)
	}
	err = scripts[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	status := exitHeld
	switch {
	case errors.Is(err, errBroken):
		status = exitBroken
	case err != nil:
		rec.say("could not run: %v", err)
		status = exitCant
	default:
		rec.say("the rule held")
	}
	if err := rec.close(); err != nil {
		status = exitCant
	}
	os.Exit(status)
}
