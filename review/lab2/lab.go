// Package lab2 has what the cases of the second review share: it starts the project's programs with the commands of the
// deploy file, and plays the platform and discovery. Everything is on loopback addresses and on the real clock.
package lab2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	Unknown = 2
)

// Case is a running case: its folder for temporary files, its record and the processes that it has started.
type Case struct {
	Dir     string // temporary folder, removed at the end
	Root    string // root of the repository, where the commands of the deploy file are run
	Trouble bool   // false with TROUBLE=0: the same without the disruption

	mu      sync.Mutex
	record  *os.File
	start   time.Time
	started []*Process
}

// Begin begins a case; the arguments of the program are the root of the repository and the path of record.txt.
func Begin() *Case {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT RECORD")
		os.Exit(Unknown)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unknown)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unknown)
	}
	return &Case{Dir: dir, Root: os.Args[1], Trouble: os.Getenv("TROUBLE") != "0", record: f, start: time.Now()}
}

// Logf writes a line to the record.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// End ends all processes and the case, with the verdict as the exit code.
func (c *Case) End(code int, format string, args ...any) {
	verdict := map[int]string{Held: "the rule held", Broken: "the rule was broken", Unknown: "the case could not run"}[code]
	text := fmt.Sprintf(format, args...)
	c.Logf("%s: %s", verdict, text)
	fmt.Println(verdict + ": " + text)
	for _, p := range c.started {
		p.Kill()
	}
	c.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.Dir)
	}
	os.Exit(code)
}

// Need ends the case as one that could not run if err is not nil.
func (c *Case) Need(err error, what string) {
	if err != nil {
		c.End(Unknown, "%s: %v", what, err)
	}
}

// RunLine returns the line run of the deploy file, with arguments added.
func (c *Case) RunLine(args string) string {
	raw, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Need(err, "deploy file")
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = \""); ok {
			return strings.TrimSuffix(rest, "\"") + " " + args
		}
	}
	c.End(Unknown, "the deploy file has no line run")
	return ""
}

// Process is a program that a case has started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	Done chan struct{} // closed when it has ended
	once sync.Once
}

// Start runs a command line with /bin/sh -c from the root of the repository. Its log goes to the record's folder.
func (c *Case) Start(name, line string, env ...string) *Process {
	return c.StartWith(name, nil, line, env...)
}

// StartWith is Start with further descriptors that the program inherits, from 3 on.
func (c *Case) StartWith(name string, files []*os.File, line string, env ...string) *Process {
	log, err := os.Create(filepath.Join(c.Dir, name+".log"))
	c.Need(err, "log")
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = c.Root, log, log, files
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Need(cmd.Start(), name)
	p := &Process{Name: name, cmd: cmd, Done: make(chan struct{})}
	go func() {
		cmd.Wait()
		log.Close()
		close(p.Done)
	}()
	c.mu.Lock()
	c.started = append(c.started, p)
	c.mu.Unlock()
	c.Logf("started %s (%s)", name, line)
	return p
}

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// PID returns the number of the program's process. The commands of the deploy file replace the shell by exec.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the program and waits until it has ended.
func (p *Process) Kill() {
	p.once.Do(func() { p.cmd.Process.Kill() })
	<-p.Done
}

// Wait waits for the end of the program, at most for d, and reports whether it has ended.
func (p *Process) Wait(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-p.Done:
			return true
		default:
			return false
		}
	}
	select {
	case <-p.Done:
		return true
	case <-time.After(d):
		return false
	}
}

// ExitCode returns the exit code of a program that has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// LogText returns what a program has logged.
func (c *Case) LogText(name string) string {
	raw, _ := os.ReadFile(filepath.Join(c.Dir, name+".log"))
	return string(raw)
}

// FreeAddr returns a loopback address with a port that is free now.
func (c *Case) FreeAddr() string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Need(err, "free port")
	defer ln.Close()
	return ln.Addr().String()
}

// Write writes a file in the case's folder and returns its path.
func (c *Case) Write(name, text string) string {
	path := filepath.Join(c.Dir, name)
	c.Need(os.WriteFile(path, []byte(text), 0o600), name)
	return path
}

// Host is a backend as discovery lists it.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// List is a list of backends in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery pushes a list of backends, which Set may replace.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	list    List
	changed chan struct{}
}

// StartDiscovery starts discovery with a first list.
func (c *Case) StartDiscovery(hosts []Host) *Discovery {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Need(err, "discovery")
	d := &Discovery{Addr: ln.Addr().String(), list: List{Seq: 1, Whole: true, Hosts: hosts}, changed: make(chan struct{})}
	go http.Serve(ln, d)
	return d
}

// Set replaces the list.
func (d *Discovery) Set(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = List{Seq: d.list.Seq + 1, Whole: true, Hosts: hosts}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	flush := http.NewResponseController(w)
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	var sent int64
	for {
		d.mu.Lock()
		list, changed := d.list, d.changed
		d.mu.Unlock()
		if list.Seq != sent {
			json.NewEncoder(w).Encode(list)
			sent = list.Seq
		}
		if flush.Flush() != nil || r.URL.Query().Get("follow") != "1" {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		}
	}
}

// Settings returns the settings of a small deployment, like those of the first users: two classes, two zones.
func Settings() map[string]any {
	return map[string]any{
		"Balancers": 1, "Me": 0, "Zone": 0, "TickMs": 0, "MembershipMode": "automatic",
		"Dcs": []string{"gandhinagar", "vadodara"}, "Kinds": []string{"fast-4"},
		"Contract": map[string]any{"ColdFrom": 0.32, "DrainGraceMs": 500, "FallMs": 1500, "FallMultiple": 3, "GraceToAnswerMs": 20, "RampTimeMs": 4000},
		"PolicyLimits": map[string]any{"Cancel": true, "ConnectTimeoutMs": 500, "IdleCloseMs": 10000, "MaxRetryAfterMs": 750,
			"RetryAfter": true, "SecondCopies": false, "TryLimit": 5},
		"Prices": map[string]any{"CrossZone": 0.02},
		"Profiles": []map[string]any{
			{"Name": "point-read", "AimMs": 300, "DeadlineMs": 600, "Semantics": "repeatable", "Group": "all", "WindowMs": 0, "LateValue": 0.25, "Worth": 2},
			{"Name": "alert-sub", "AimMs": 750, "DeadlineMs": 1500, "Semantics": "by_key", "Group": "zone", "WindowMs": 1000, "LateValue": 0.25, "Worth": 10}},
		"Report": map[string]any{"Fields": []string{"recent_ms", "throughput", "backlog"}, "Source": "inline"},
	}
}

// AgentConfig returns the text of an agent's configuration.
func (c *Case) AgentConfig(name, listen, discovery string, hosts []Host, settings map[string]any, memoryMB, sockets int) string {
	raw, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"known":  List{Seq: 1, Whole: true, Hosts: hosts}, "settings": settings}, "", " ")
	c.Need(err, "configuration")
	return string(raw)
}

// WaitUp waits until an agent answers its readiness check.
func (c *Case) WaitUp(listen string) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + listen + "/up")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	c.End(Unknown, "the agent was not up within 30 s")
}
