package main

import (
	"encoding/json"
	"fmt"
	"os"

	"bilberrymux/io/explain"
)

const explainHelp = `Tell what happened to one request, from the log files of all daemons.

Example:
  bilberrymux explain --request 9c41d07be2a35f68 logs/*.json`

// explainCommand reconstructs the course of one request from the daemons' log files.
type explainCommand struct {
	Request string `short:"r" long:"request" description:"id of the request" required:"true"`
	JSON    bool   `long:"json" description:"print JSON"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	explanation, err := explain.Request(c.Request, lines)
	if err != nil {
		return err
	}
	if !c.JSON {
		return explanation.Print(os.Stdout)
	}
	body, err := json.MarshalIndent(explanation, "", "  ")
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	fmt.Println(string(body))
	return nil
}

// readLogs reads the lines of log files.
func readLogs(files []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, &exitError{exitUsage, err}
		}
		read, err := explain.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	return lines, nil
}
