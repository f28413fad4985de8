package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bilberrymux/core/settings"
	"bilberrymux/io/standin/chaosproxy"
)

// process runs one daemon as an operating system process, which may be restarted. It is safe for
// concurrent use.
type process struct {
	name     string
	binary   string
	folder   string
	settings *settings.Edge
	// storeProxy is the proxy through which the daemon reaches the store.
	storeProxy  *chaosproxy.Proxy
	impairments *impairmentLog

	// restarting is held while the daemon is stopped or killed and started again, so that faults
	// which overlap never start two processes.
	restarting sync.Mutex

	mu            sync.Mutex
	cmd           *exec.Cmd
	exitedChannel chan struct{}
	starts        []time.Time
	stopRequests  []time.Time
}

// start writes the settings file and starts the daemon. The output of each start goes to a log file
// of its own.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts = append(p.starts, time.Now())
	body, err := json.Marshal(p.settings)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	file := filepath.Join(p.folder, p.name+".json")
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	out, err := os.Create(filepath.Join(p.folder, fmt.Sprintf("%s-%d.log", p.name, len(p.starts))))
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	cmd := exec.Command(p.binary, "edge", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("soak: %w", err), out.Close())
	}
	p.cmd, p.exitedChannel = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait() // the exit code is ignored, since a killed daemon exits with an error
		out.Close()
		close(exited)
	}(p.exitedChannel)
	return nil
}

// signal sends a signal to the daemon.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // ignored: a process that has exited needs no signal
}

// kill kills the daemon and starts it again after the downtime.
func (p *process) kill(downtime time.Duration) error {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	defer p.impairments.begin(p.name)()
	p.signal(syscall.SIGKILL)
	<-p.exited()
	time.Sleep(downtime)
	return p.start()
}

// stop asks the daemon to shut down gracefully and starts it again. If the daemon is still running
// after the grace period, stop kills it and records the impairment.
func (p *process) stop() error {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.mu.Lock()
	p.stopRequests = append(p.stopRequests, time.Now())
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited():
	case <-time.After(p.settings.Bounds.Grace.Duration()):
		defer p.impairments.begin(p.name)()
		p.signal(syscall.SIGKILL)
		<-p.exited()
	}
	return p.start()
}

// pause suspends the daemon for the duration d.
func (p *process) pause(d time.Duration) {
	defer p.impairments.begin(p.name)()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// reloadSettings makes the daemon read its settings file again.
func (p *process) reloadSettings() {
	p.signal(syscall.SIGHUP)
}

// exited returns a channel that is closed when the current process exits.
func (p *process) exited() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitedChannel
}

// stopRequestDuring returns the time of the last stop request that affects a caller's request which
// ran from begun to ended, or the zero time. A stop request affects requests that began less than
// the grace period after it, and those that were in flight at that time.
func (p *process) stopRequestDuring(begun, ended time.Time) (stopped time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.stopRequests {
		if at.Before(ended) && begun.Sub(at) < p.settings.Bounds.Grace.Duration() {
			stopped = at
		}
	}
	return stopped
}

// incarnation returns the number of the daemon's current start, counted from 1.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.starts)
}

// startTimes returns the times of all starts.
func (p *process) startTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.starts...)
}
