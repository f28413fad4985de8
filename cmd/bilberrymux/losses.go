package main

import (
	"encoding/json"
	"fmt"
	"os"

	"bilberrymux/io/explain"
)

const lossesHelp = `Count the requests without a good response by route and cause, from the log files of all daemons.

Example:
  bilberrymux losses logs/*.json`

// lossesCommand prints the table of lost requests.
type lossesCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	Rows int  `long:"rows" description:"greatest number of rows" default:"30"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	if c.Rows < 1 {
		return &exitError{exitUsage, fmt.Errorf("--rows must be at least 1, not %d", c.Rows)}
	}
	lines, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	rows := explain.Losses(lines)
	if !c.JSON {
		return explain.PrintLosses(os.Stdout, rows, c.Rows)
	}
	body, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return fmt.Errorf("losses: %w", err)
	}
	fmt.Println(string(body))
	return nil
}
