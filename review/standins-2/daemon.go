//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is one process of the system.
type daemon struct {
	vm, zone, ip string
	folder       string
	settings     map[string]any
	ports        ports
	cmd          *exec.Cmd
	startedAt    time.Time
	exited       chan struct{}
}

// ports are the same on all machines.
type ports struct{ front, ready, locate, metrics, peer int }

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// runLine returns the command of the deploy file.
func runLine() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}

// start starts the process. Only the first start of the whole system is a bootstrap.
func (d *daemon) start(bootstrap bool) error {
	command, err := runLine()
	if err != nil {
		return err
	}
	d.settings["bootstrap"] = bootstrap
	text, err := json.MarshalIndent(d.settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.folder, d.vm+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, d.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BILBERRYMUX_BOOT=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.startedAt, d.exited = cmd, time.Now(), make(chan struct{})
	exited := d.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (d *daemon) stop(grace time.Duration) {
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(grace):
		d.kill()
	}
}

func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	select {
	case <-d.exited:
	default:
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
}

// ready asks the readiness address once.
func (d *daemon) ready() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.address(d.ports.ready) + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.vm, limit)
}

// freePorts returns ports that are free on an address and its neighbours.
func freePorts(ips []string) (ports, error) {
	for base := 20000 + os.Getpid()%5000; base < 32000; base += 10 {
		free := true
		for _, ip := range ips {
			for n := range 6 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+n))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}
