package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"bilberrymux/core/settings"
	"bilberrymux/io/daemon"
	"bilberrymux/io/netfault"
)

const serveHelp = `Run the daemon until SIGTERM or SIGINT, which begin a planned stop. A second
signal ends it at once.

Every field of the settings file can be overridden by a flag.

Example:
  bilberrymux serve --settings vm.json --log-level debug`

// serveCommand runs a daemon of the fleet.
type serveCommand struct {
	SettingsFile string            `short:"s" long:"settings" description:"settings file" required:"true"`
	Override     settings.Settings `group:"settings that override the file"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	key, err := settings.ReadKey(s.AdminKeyFile)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	log, err := newLogger(&s)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	daemon.LimitMemory()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var rules *netfault.Rules
	var nameOf func(string) string
	if s.TestLinks != "" {
		rules = &netfault.Rules{}
		nameOf = pollLinkRules(ctx, s.TestLinks, rules)
	}
	d, err := daemon.New(daemon.Options{Settings: s, AdminKey: key, Log: log, Rules: rules, NameOf: nameOf})
	if err != nil {
		return &exitError{exitUsage, err}
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Start(ctx); err != nil {
		return err
	}
	return waitForStop(d, signals)
}

// waitForStop blocks until a signal, a drain request or a failure ends the daemon. A signal or a drain
// request starts a planned stop, and a second signal aborts it. waitForStop returns an error if
// the daemon failed, if requests were still in flight at the end of the planned stop, or if the stop
// was aborted.
func waitForStop(d *daemon.Daemon, signals <-chan os.Signal) error {
	select {
	case <-signals:
	case <-d.StopRequested():
	case err := <-d.Failed():
		return err
	}
	stopped := make(chan int64, 1)
	go func() { stopped <- d.Stop() }()
	select {
	case left := <-stopped:
		if left > 0 {
			return fmt.Errorf("%d requests were left", left)
		}
		return nil
	case <-signals:
		return fmt.Errorf("planned stop aborted by a second signal")
	}
}

// load reads the settings file, overrides its fields with the flags that were given and validates the
// result. A flag with its zero value counts as not given.
func (c *serveCommand) load() (settings.Settings, error) {
	s, err := settings.Load(c.SettingsFile)
	if err != nil {
		return s, err
	}
	// Flags that were not given have their zero value and must not override the file.
	overrides, err := json.Marshal(c.Override)
	if err != nil {
		return s, err
	}
	var fields map[string]any
	if err := json.Unmarshal(overrides, &fields); err != nil {
		return s, err
	}
	for name, value := range fields {
		if value == "" || value == 0.0 || value == nil {
			delete(fields, name)
		}
	}
	overrides, err = json.Marshal(fields)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(overrides, &s); err != nil {
		return s, err
	}
	return s, s.Check()
}

// newLogger returns a logger to standard error with the level and format of the settings. It
// returns an error if the level is unknown.
func newLogger(s *settings.Settings) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(level)
	if s.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	}
	return log, nil
}

var _ flags.Commander = (*serveCommand)(nil)
