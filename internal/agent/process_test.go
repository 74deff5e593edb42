package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/member/link"
	"lemonrail/internal/standin"
)

// Environment variables of an agent process.
const (
	envConfig  = "LEMONRAIL_TEST_CONFIG"  // path of its configuration; set: the process is an agent
	envControl = "LEMONRAIL_TEST_CONTROL" // address of its control listener
	envMembers = "LEMONRAIL_TEST_MEMBERS" // path of the file on members; empty: no membership
	envRelay   = "LEMONRAIL_TEST_RELAY"   // path of the file with the rules of the Diameter relay; empty: none
)

// TestAgentProcess is the entry point of the processes that agentProcess.start starts: it runs an agent until SIGTERM.
// Without envConfig it does nothing.
func TestAgentProcess(*testing.T) {
	path := os.Getenv(envConfig)
	if path == "" {
		return
	}
	if err := runAgentProcess(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func runAgentProcess(path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := ReadConfig(path)
	if err != nil {
		return err
	}
	if cfg.Control, err = netip.ParseAddrPort(os.Getenv(envControl)); err != nil {
		return err
	}
	if file := os.Getenv(envMembers); file != "" {
		members, err := link.ReadSettings(file)
		if err != nil {
			return err
		}
		if err := cfg.WithMembers(members); err != nil {
			return err
		}
	}
	if file := os.Getenv(envRelay); file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		rules, err := relay.ParseRules(file, raw)
		if err != nil {
			return err
		}
		if err := cfg.WithDiameter(rules); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return Run(ctx, cfg, hup, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

// agentProcess is an agent that runs as a separate process of this test binary.
type agentProcess struct {
	t               testing.TB
	name            string
	address         string   // of the listener for clients
	control         string   // of the control listener
	dir             string   // folder of the configuration and the log
	env             []string // environment variables of the process
	descriptorLimit int      // limit on descriptors; 0: this process's limit

	mu    sync.Mutex
	cmd   *exec.Cmd     // the process that was started last
	ended chan struct{} // closed once cmd has ended
}

// newAgentProcess reserves the addresses of an agent; start starts its process.
func newAgentProcess(t testing.TB, name string, env ...string) *agentProcess {
	t.Helper()
	p := &agentProcess{t: t, name: name, dir: t.TempDir()}
	for _, at := range []*string{&p.address, &p.control} {
		fd, address, err := standin.ReserveAddr()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { syscall.Close(fd) })
		*at = address
	}
	p.env = append([]string{envConfig + "=" + p.config(), envControl + "=" + p.control}, env...)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.log())
		}
	})
	return p
}

func (p *agentProcess) url() string        { return "http://" + p.address }
func (p *agentProcess) controlURL() string { return "http://" + p.control }
func (p *agentProcess) config() string     { return filepath.Join(p.dir, "config.json") }

// log returns the last 15 lines of the process's log.
func (p *agentProcess) log() string {
	raw, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-15):], "\n")
}

// configure writes the configuration: text, a result of configJSON, with the agent's own address.
func (p *agentProcess) configure(text string) {
	p.t.Helper()
	text = strings.Replace(text, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, p.address), 1)
	if err := os.WriteFile(p.config(), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start starts the process; an earlier one must have ended.
func (p *agentProcess) start() {
	p.t.Helper()
	self, err := os.Executable()
	if err != nil {
		p.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	args := []string{"-test.run=^TestAgentProcess$", "-test.timeout=3m"}
	cmd := exec.Command(self, args...)
	if p.descriptorLimit > 0 { // exec keeps the limit
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptorLimit)
		cmd = exec.Command("/bin/sh", append([]string{"-c", script, self}, args...)...)
	}
	cmd.Env = append([]string{"GOMAXPROCS=1", "TMPDIR=" + p.dir}, p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
}

// running reports whether a process has been started and has not ended.
func (p *agentProcess) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *agentProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
}

// pause stops the process with SIGSTOP, and returns once it is stopped.
func (p *agentProcess) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	p.mustBecome("stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		_, rest, found := strings.Cut(string(stat), ") ")
		return err == nil && found && strings.HasPrefix(rest, "T")
	})
}

// kill kills the process, if it runs, and waits for its end.
func (p *agentProcess) kill() {
	if p.running() {
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// descriptors returns how many descriptors the process has open.
func (p *agentProcess) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Error(err)
	}
	return len(open)
}

// call returns the answer of the process's control listener, or "" unless the status is 200.
func (p *agentProcess) call(path string) string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(p.controlURL() + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

// isReady reports whether the process reports that it is ready.
func (p *agentProcess) isReady() bool { return p.call("/api/ready") != "" }

// awaitReady waits until the process is ready.
func (p *agentProcess) awaitReady() {
	p.t.Helper()
	p.mustBecome("ready", p.isReady)
}

// awaitActive waits until the process has n requests in hand.
func (p *agentProcess) awaitActive(n int) {
	p.t.Helper()
	want := fmt.Sprintf("svc_active %d\n", n)
	p.mustBecome(want, func() bool { return strings.Contains(p.call("/api/telemetry"), want) })
}

// mustBecome fails the test unless so becomes true within timeout.
func (p *agentProcess) mustBecome(what string, so func() bool) {
	p.t.Helper()
	if !p.becomes(so) {
		p.t.Fatalf("%s: never %s", p.name, what)
	}
}

// becomes reports whether so becomes true within timeout. Any goroutine may call it.
func (p *agentProcess) becomes(so func() bool) bool {
	for end := time.Now().Add(timeout); !so(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
