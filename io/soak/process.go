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

// process is one daemon as a process. It is safe for concurrent use.
type process struct {
	name     string
	binary   string
	folder   string
	settings *settings.Edge
	// store is the daemon's way to the store.
	store *chaosproxy.Proxy
	harms *harmLog

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	starts  int
	stopped []time.Time
}

// start runs the daemon; its lines go to a file of the start.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	body, err := json.Marshal(p.settings)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	file := filepath.Join(p.folder, p.name+".json")
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	out, err := os.Create(filepath.Join(p.folder, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	cmd := exec.Command(p.binary, "edge", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("soak: %w", err), out.Close())
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait() // a daemon that is killed has no good exit code
		out.Close()
		close(ended)
	}(p.ended)
	return nil
}

// signal sends a signal to the daemon.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // a process that has ended needs none
}

// kill ends the daemon at once and starts it again after a while.
func (p *process) kill(down time.Duration) error {
	defer p.harms.begin(p.name)()
	p.signal(syscall.SIGKILL)
	<-p.ending()
	time.Sleep(down)
	return p.start()
}

// stop ends the daemon by plan and starts it again.
func (p *process) stop() error {
	p.mu.Lock()
	p.stopped = append(p.stopped, time.Now())
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ending():
	case <-time.After(p.settings.Bounds.Grace.Duration()):
		defer p.harms.begin(p.name)()
		p.signal(syscall.SIGKILL)
		<-p.ending()
	}
	return p.start()
}

// pause freezes the daemon for a while.
func (p *process) pause(d time.Duration) {
	defer p.harms.begin(p.name)()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// readAgain tells the daemon that its settings file has changed.
func (p *process) readAgain() {
	p.signal(syscall.SIGHUP)
}

func (p *process) ending() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// stopOf returns the last request to stop that a request met, or zero.
func (p *process) stopOf(begun, ended time.Time) (stopped time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.stopped {
		if at.Before(ended) && begun.Sub(at) < p.settings.Bounds.Grace.Duration() {
			stopped = at
		}
	}
	return stopped
}

// incarnation numbers the present run of the daemon.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}
