package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/settings"
	"bilberrymux/io/edge"
	"bilberrymux/io/logsink"
	"bilberrymux/platform"
)

const edgeHelp = `Run the daemon on the users' platform until SIGTERM or SIGINT, which begin a
planned stop. The settings file is named by a flag, or by the environment
variable that the platform sets. SIGHUP checks the file again.

Example:
  bilberrymux edge --settings vm.json`

// edgeCommand runs the daemon on the users' platform.
type edgeCommand struct {
	SettingsFile string `short:"s" long:"settings" description:"settings file"`
}

// logFlushTimeout limits how long the process waits at exit for queued log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// Execute implements flags.Commander.
func (c *edgeCommand) Execute([]string) error {
	if c.SettingsFile == "" {
		c.SettingsFile = os.Getenv(platform.SettingsVariable)
	}
	if c.SettingsFile == "" {
		return &exitError{exitUsage, fmt.Errorf("no settings file: give --settings or set %s", platform.SettingsVariable)}
	}
	s, err := settings.LoadEdge(c.SettingsFile)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return &exitError{exitUsage, fmt.Errorf("settings: logLevel: %w", err)}
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close(logFlushTimeout)
	log := sink.Logger(level)
	e := edge.New(edge.Options{Settings: s, Log: log, LogDropped: sink.Dropped})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := e.Start(context.Background()); err != nil {
		return err
	}
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				c.reload(log)
				continue
			}
			if left := e.Stop(); left > 0 {
				return fmt.Errorf("%d requests were left", left)
			}
			return nil
		case err := <-e.Failed():
			return err
		}
	}
}

// reload validates the settings file again and logs the result. It applies nothing: addresses and
// bounds stay as they were when the daemon started.
func (c *edgeCommand) reload(log *logrus.Logger) {
	if _, err := settings.LoadEdge(c.SettingsFile); err != nil {
		log.WithError(err).Warn("settings file is invalid; the running settings are unchanged")
		return
	}
	log.Info("settings read again")
}
