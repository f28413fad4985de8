package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/settings"
	"bilberrymux/io/admin"
	"bilberrymux/io/versions"
	"bilberrymux/platform"
)

const checkHelp = `Check a file without a daemon. With --settings it is the settings of a process,
otherwise a shared configuration, which is checked as a patch of the empty one.

Examples:
  bilberrymux check examples/kalinis/config.json
  bilberrymux check --settings vm.json`

// checkCommand validates a settings or configuration file without a daemon.
type checkCommand struct {
	Settings     bool `long:"settings" description:"the file holds settings"`
	EdgeSettings bool `long:"edge-settings" description:"the file holds settings of a daemon on the users' platform"`
	EdgeConfig   bool `long:"edge-config" description:"the file holds a configuration as the platform's operators write it"`
	Args         struct {
		File string `positional-arg-name:"file"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	check := checkSharedConfig
	switch {
	case c.EdgeSettings:
		check = checkEdgeSettings
	case c.EdgeConfig:
		check = checkEdgeConfig
	case c.Settings:
		check = checkSettings
	}
	summary, err := check(c.Args.File)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	fmt.Println("ok" + summary)
	return nil
}

// checkSettings validates the settings of a process. Like the other checks it returns what to print
// about a valid file.
func checkSettings(path string) (summary string, err error) {
	s, err := settings.Load(path)
	if err != nil {
		return "", err
	}
	return "", s.Check()
}

// checkEdgeSettings validates the settings of a daemon on the users' platform.
func checkEdgeSettings(path string) (summary string, err error) {
	_, err = settings.LoadEdge(path)
	return "", err
}

// checkEdgeConfig validates a configuration as the platform's operators write it.
func checkEdgeConfig(path string) (summary string, err error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	cfg, err := platform.DecodeConfig(body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf(": version %d, %d services, %d routes", cfg.Version, len(cfg.Services), len(cfg.Routes)), nil
}

// checkSharedConfig validates a shared configuration as a patch of the empty one.
func checkSharedConfig(path string) (summary string, err error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	patch, err := config.ParsePatch(body)
	if err != nil {
		return "", err
	}
	if _, err := config.Empty().Apply(patch); err != nil {
		return "", err
	}
	return fmt.Sprintf(": %d services, %d routes, %d organisations", len(patch.Services), len(patch.Routes), len(patch.Organisations)), nil
}

const patchHelp = `Submit a JSON merge patch (RFC 7396) of the shared configuration, made against
a numbered version. A patch against a stale version is refused with exit code 3
and the current number. When the outcome is not known (exit code 4), submit the
same file with the same --id again.

Example:
  bilberrymux patch -a 10.0.0.5:7003 -k key --base 41 drain-server.json`

// patchCommand submits a patch of the shared configuration, or only has it checked (DryRun).
type patchCommand struct {
	adminOptions
	Base   uint64 `long:"base" description:"version that the patch was made against" required:"true"`
	ID     string `long:"id" description:"name of the patch; a new one if empty"`
	Author string `long:"author" description:"who submits; the user if empty"`
	DryRun bool   `long:"dry-run" description:"check only"`
	Args   struct {
		File string `positional-arg-name:"file"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *patchCommand) Execute([]string) error {
	body, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if !json.Valid(body) {
		return &exitError{exitUsage, fmt.Errorf("%s: not JSON", c.Args.File)}
	}
	var reply admin.PatchReply
	if c.DryRun {
		if err := c.call("POST", admin.PathCheck, json.RawMessage(body), &reply); err != nil {
			return err
		}
		fmt.Printf("would be accepted after version %d\n", reply.Version)
		return nil
	}
	req := admin.PatchRequest{
		ID: idOrNew(c.ID), Author: authorOrUser(c.Author), Base: ident.Version(c.Base), Patch: body,
	}
	if err := c.call("POST", admin.PathPatch, req, &reply); err != nil {
		return fmt.Errorf("patch %s: %w", req.ID, err)
	}
	fmt.Printf("accepted as version %d\n", reply.Version)
	return nil
}

// idOrNew returns id, or a random UUID if it is empty.
func idOrNew(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

// authorOrUser returns author, or the name of the operating system's current user if it is empty. It
// returns an empty string if that user is unknown.
func authorOrUser(author string) string {
	if author != "" {
		return author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

const historyHelp = `List the versions that are kept, the newest first.

Example:
  bilberrymux history -a 10.0.0.5:7003 -k key --limit 5`

// historyCommand lists the retained versions of the shared configuration.
type historyCommand struct {
	adminOptions
	Limit int `long:"limit" default:"20" description:"number of versions"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	var records []versions.Record
	if err := c.call("GET", fmt.Sprintf("%s?limit=%d", admin.PathHistory, c.Limit), nil, &records); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(records)
	}
	t := newTable("version", "time", "author", "id", "bytes")
	for _, r := range records {
		t.row(r.Number, r.Time.Format(time.RFC3339), r.Author, r.ID, len(r.Patch))
	}
	return t.flush()
}

const diffHelp = `Print the patch that turns one version into another.

Example:
  bilberrymux diff -a 10.0.0.5:7003 -k key 41 42`

// diffCommand prints the patch between two versions of the shared configuration.
type diffCommand struct {
	adminOptions
	Args struct {
		From uint64 `positional-arg-name:"from"`
		To   uint64 `positional-arg-name:"to"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	var patch config.Patch
	path := fmt.Sprintf("%s?from=%d&to=%d", admin.PathDiff, c.Args.From, c.Args.To)
	if err := c.call("GET", path, nil, &patch); err != nil {
		return err
	}
	return printJSON(patch)
}

const rollbackHelp = `Put the content of an older version in force as a new version.

Example:
  bilberrymux rollback -a 10.0.0.5:7003 -k key 41`

// rollbackCommand submits a new version with the content of an older one.
type rollbackCommand struct {
	adminOptions
	ID     string `long:"id" description:"name of the change; a new one if empty"`
	Author string `long:"author" description:"who submits; the user if empty"`
	Args   struct {
		To uint64 `positional-arg-name:"version"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute([]string) error {
	req := admin.RollbackRequest{ID: idOrNew(c.ID), Author: authorOrUser(c.Author), To: ident.Version(c.Args.To)}
	var reply admin.PatchReply
	if err := c.call("POST", admin.PathRollback, req, &reply); err != nil {
		return err
	}
	fmt.Printf("version %d is in force again as version %d\n", c.Args.To, reply.Version)
	return nil
}
