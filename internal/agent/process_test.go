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

	"lemonrail/internal/member/link"
	"lemonrail/internal/standin"
)

// What the environment of an agent's process names.
const (
	envConfig  = "LEMONRAIL_TEST_CONFIG"  // its configuration; set: the process is an agent's
	envControl = "LEMONRAIL_TEST_CONTROL" // where staff call
	envMembers = "LEMONRAIL_TEST_MEMBERS" // the file on its view of the fleet; empty: it keeps none
)

// TestAgentProcess is what a process runs that startAgent starts: an agent, until it is told to end. Elsewhere it does
// nothing.
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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return Run(ctx, cfg, hup, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

// agentProcess is an agent that runs as a process of its own: this test's program, started anew.
type agentProcess struct {
	t       testing.TB
	name    string
	address string // where clients connect
	control string // where staff call
	dir     string
	env     []string
	files   int // its limit on descriptors; 0: as this process's

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// newAgentProcess reserves the addresses of an agent that has yet to be started.
func newAgentProcess(t testing.TB, name string, env ...string) *agentProcess {
	t.Helper()
	p := &agentProcess{t: t, name: name, dir: t.TempDir()}
	for _, at := range []*string{&p.address, &p.control} {
		fd, address, err := standin.Reserve()
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

func (p *agentProcess) url() string    { return "http://" + p.address }
func (p *agentProcess) staff() string  { return "http://" + p.control }
func (p *agentProcess) config() string { return filepath.Join(p.dir, "config.json") }

// log is the end of what the process has logged.
func (p *agentProcess) log() string {
	raw, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-15):], "\n")
}

// configure writes the configuration: what configJSON gives, with the agent's own address.
func (p *agentProcess) configure(text string) {
	p.t.Helper()
	text = strings.Replace(text, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, p.address), 1)
	if err := os.WriteFile(p.config(), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start starts a process; the one before must have ended.
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
	if p.files > 0 { // the limit holds over exec
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.files)
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

// runs reports whether a process has been started that has not ended.
func (p *agentProcess) runs() bool {
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

// pause stops the process, and returns once it stands.
func (p *agentProcess) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	p.until("stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		_, rest, found := strings.Cut(string(stat), ") ")
		return err == nil && found && strings.HasPrefix(rest, "T")
	})
}

// kill ends the process, if one runs, and waits for its end.
func (p *agentProcess) kill() {
	if p.runs() {
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// descriptors is how many the process holds now.
func (p *agentProcess) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Error(err)
	}
	return len(open)
}

// call asks the process's control listener; "" where it does not answer with a yes.
func (p *agentProcess) call(path string) string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(p.staff() + path)
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

// isReady reports whether the process says that it serves.
func (p *agentProcess) isReady() bool { return p.call("/api/ready") != "" }

// ready waits until the process says that it serves.
func (p *agentProcess) ready() {
	p.t.Helper()
	p.until("ready", p.isReady)
}

// active waits until the process has so many requests in hand.
func (p *agentProcess) active(n int) {
	p.t.Helper()
	want := fmt.Sprintf("svc_active %d\n", n)
	p.until(want, func() bool { return strings.Contains(p.call("/api/telemetry"), want) })
}

// until waits until something is so.
func (p *agentProcess) until(what string, so func() bool) {
	p.t.Helper()
	if !p.wait(so) {
		p.t.Fatalf("%s: never %s", p.name, what)
	}
}

// wait waits until something is so, from any goroutine. It reports whether it came to be so.
func (p *agentProcess) wait(so func() bool) bool {
	for end := time.Now().Add(patience); !so(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
