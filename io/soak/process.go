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
)

// span is a time during which a daemon was killed, paused or not yet up.
type span struct {
	from, to time.Time
}

// process is one daemon as a process. It is safe for concurrent use.
type process struct {
	name     string
	binary   string
	folder   string
	settings *settings.Edge

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	starts  int
	stopped []time.Time
	harmed  []span
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

// harm notes that the daemon is not itself until the returned function is called.
func (p *process) harm() func() {
	p.mu.Lock()
	p.harmed = append(p.harmed, span{from: time.Now()})
	n := len(p.harmed) - 1
	p.mu.Unlock()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.harmed[n].to = time.Now()
	}
}

// kill ends the daemon at once and starts it again after a while.
func (p *process) kill(down time.Duration) error {
	done := p.harm()
	defer done()
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
		done := p.harm()
		defer done()
		p.signal(syscall.SIGKILL)
		<-p.ending()
	}
	return p.start()
}

// pause freezes the daemon for a while.
func (p *process) pause(d time.Duration) {
	done := p.harm()
	defer done()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (p *process) ending() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// state returns what a request's judgement needs: the last request to stop
// within the grace before a moment, and whether the daemon was harmed between two.
func (p *process) state(begun, ended time.Time) (stopped time.Time, harmed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.stopped {
		if at.Before(ended) && begun.Sub(at) < p.settings.Bounds.Grace.Duration() {
			stopped = at
		}
	}
	for _, s := range p.harmed {
		if s.from.Before(ended) && (s.to.IsZero() || s.to.After(begun)) {
			harmed = true
		}
	}
	return stopped, harmed
}

// incarnation names the present run of the daemon.
func (p *process) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.name, p.starts)
}
