// Package lab holds what the cases of the review share: the start of the project's programs as the deploy file says, a
// discovery service, a record of what was sent, answered and run, and the verdict. A case uses loopback addresses, free
// ports and a temporary folder only, and ends all processes that it started.
package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0 // the rule held
	broken = 1 // the rule was broken
	failed = 2 // the case could not run
)

// Lab is the surroundings of one case.
type Lab struct {
	Dir     string // temporary folder
	Trouble bool   // the disruption takes place; TROUBLE=0 leaves it out

	start time.Time
	mu    sync.Mutex
	file  *os.File
	procs []*Process
}

// Run runs a case and ends the program with the case's exit code. folder is the folder of the case below the project's
// root, the working folder. do returns the ways in which the rule was broken.
func Run(folder string, do func(*Lab) (violations []string, err error)) {
	os.Exit(run(folder, do))
}

func run(folder string, do func(*Lab) ([]string, error)) int {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	l := &Lab{Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), file: file}
	l.Record("trouble: %v", l.Trouble)
	defer l.end()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		l.say("the case was ended from outside")
		l.end()
		os.Exit(failed)
	}()
	violations, err := do(l)
	if err != nil {
		l.say("the case could not run: %v", err)
		return failed
	}
	for _, v := range violations {
		l.say("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		return broken
	}
	l.say("the rule held")
	return held
}

// Record adds a line to the record, with the time since the start in milliseconds.
func (l *Lab) Record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%9.1f  %s\n", float64(time.Since(l.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// say records a line and prints it.
func (l *Lab) say(format string, args ...any) {
	l.Record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// end ends the processes that are still running.
func (l *Lab) end() {
	l.mu.Lock()
	procs := slices.Clone(l.procs)
	l.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
}

// FreeAddress returns a loopback address with a port that was free a moment ago.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Write writes a file into the temporary folder and returns its path.
func (l *Lab) Write(name, content string) (string, error) {
	path := filepath.Join(l.Dir, name)
	return path, os.WriteFile(path, []byte(content), 0o600)
}

// Process is a process that the case started.
type Process struct {
	Name string
	lab  *Lab
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// runLine returns the line run of the deploy file.
func runLine() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		key, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(key) == "run" {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", errors.New("deploy/balancer.toml has no line run")
}

// Extra is what the platform gives a process beside its configuration.
type Extra struct {
	TempDir  string   // $TMPDIR; empty: a private folder
	Listener *os.File // of the clients, inherited as descriptor 3; nil: the process listens itself
	Control  string   // address for operators; empty: the one of the configuration
}

// StartAgent starts an agent by the deploy file's line run, with flags after it, and waits until it is up. Its log goes to
// the record when it ends.
func (l *Lab) StartAgent(config *Config, flags string) (*Process, error) {
	p, err := l.StartProcess(config.Name, config, flags, Extra{})
	if err != nil {
		return nil, err
	}
	return p, p.awaitUp(config.Listen)
}

// StartProcess is StartAgent for one of several processes of an agent, called name in the record. It does not wait.
func (l *Lab) StartProcess(name string, config *Config, flags string, extra Extra) (*Process, error) {
	run, err := runLine()
	if err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path, err := l.Write(config.Name+".json", string(raw))
	if err != nil {
		return nil, err
	}
	tmp := extra.TempDir
	if tmp == "" {
		if tmp, err = os.MkdirTemp(l.Dir, "tmp"); err != nil {
			return nil, err
		}
	}
	log, err := os.CreateTemp(l.Dir, "log")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run+" "+flags)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_NAME="+config.Name, "LB_LISTEN="+config.Listen, "LB_DISCOVERY="+config.Discovery,
		"TMPDIR="+tmp)
	if extra.Control != "" {
		cmd.Env = append(cmd.Env, "LB_CONTROL="+extra.Control)
	}
	if extra.Listener != nil {
		cmd.Env = append(cmd.Env, "LB_FD=3")
		cmd.ExtraFiles = []*os.File{extra.Listener}
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, lab: l, cmd: cmd, done: make(chan struct{})}
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.Record("%s: started: %s %s", p.Name, run, flags)
	go func() {
		err := cmd.Wait()
		log.Close()
		text, _ := os.ReadFile(log.Name())
		if len(text) > 20_000 {
			text = append(text[:20_000:20_000], "...\n"...)
		}
		l.Record("%s: ended: %v; its log:\n%s", p.Name, err, text)
		close(p.done)
	}()
	return p, nil
}

// awaitUp waits until GET /up is answered with 200.
func (p *Process) awaitUp(listen string) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.done:
			return fmt.Errorf("%s ended at its start", p.Name)
		default:
		}
		if resp, err := client.Get("http://" + listen + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready after 10 s", p.Name)
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.lab.Record("%s: signal %v", p.Name, s)
	p.cmd.Process.Signal(s)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill kills the process, unless it has ended, and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Kill()
		<-p.done
	}
}

// Memory returns the resident memory of the process in megabytes of 2^20 bytes; 0: it has ended.
func (p *Process) Memory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// Config is an agent's configuration, in the form of the users' page on the deployment.
type Config struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Control    string          `json:"control,omitempty"`
	PeerListen string          `json:"peer_listen,omitempty"`
	Peers      []string        `json:"peers,omitempty"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	Known      List            `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// Limits are the limits of an agent.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// settings are those that the project's own simulated site gives its agents, with a drain grace of 500 ms.
const settings = `{
 "Balancers": 2, "Me": 0, "Zone": 0,
 "Dcs": ["gandhinagar", "vadodara"], "Kinds": ["fast-4", "slow-4"],
 "Contract": {"ColdFrom": 0.32, "DrainGraceMs": 500, "FallMs": 1500, "FallMultiple": 3, "GraceToAnswerMs": 20, "RampTimeMs": 4000},
 "MembershipMode": "automatic",
 "PolicyLimits": {"Cancel": true, "ConnectTimeoutMs": 500, "IdleCloseMs": 10000, "MaxRetryAfterMs": 750, "RetryAfter": true, "SecondCopies": false, "TryLimit": 5},
 "Prices": {"CrossZone": 0.02},
 "Profiles": [
  {"AimMs": 300, "DeadlineMs": 600, "Group": "all", "LateValue": 0.25, "Name": "point-read", "Semantics": "repeatable", "WindowMs": 0, "Worth": 2},
  {"AimMs": 750, "DeadlineMs": 1500, "Group": "zone", "LateValue": 0.25, "Name": "alert-sub", "Semantics": "by_key", "WindowMs": 1000, "Worth": 10}],
 "Report": {"Fields": [], "Source": "off"}, "TickMs": 0}`

// NewConfig returns a configuration with a free port for clients, the discovery service d and a new seed.
func NewConfig(name string, d *Discovery) (*Config, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	return &Config{Name: name, Listen: listen, Discovery: d.Address(), Seed: fmt.Sprintf("%016x", rand.Uint64()), Known: d.List(), Settings: json.RawMessage(settings),
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}, nil
}

// Host is an entry of the list of backends.
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

// NewHost returns an entry of a backend that is ready and has run for long.
func NewHost(name, dial, site string) Host {
	return Host{Host: name, Dial: dial, Site: site, Class: "fast-4", Health: "ready", Share: 1}
}

// List is a list of backends in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is a discovery service that pushes its list.
type Discovery struct {
	lab     *Lab
	ln      net.Listener
	mu      sync.Mutex
	list    List          // the whole list
	last    List          // the last change
	changed chan struct{} // closed and replaced with each change
}

// NewDiscovery starts a discovery service.
func (l *Lab) NewDiscovery(hosts ...Host) (*Discovery, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{lab: l, ln: ln, list: List{Seq: 1, Whole: true, Hosts: hosts}, changed: make(chan struct{})}
	go http.Serve(ln, d)
	return d, nil
}

// Address returns the address of the service.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// List returns the whole list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.list
	l.Hosts = append([]Host{}, l.Hosts...)
	return l
}

// Change changes an entry, or removes it if its health is gone, and sends the change to all watches.
func (d *Discovery) Change(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var hosts []Host
	for _, o := range d.list.Hosts {
		if o.Host != h.Host {
			hosts = append(hosts, o)
		}
	}
	if h.Health != "gone" {
		hosts = append(hosts, h)
	}
	d.list.Seq++
	d.list.Hosts, d.last = hosts, List{Seq: d.list.Seq, Hosts: []Host{h}}
	close(d.changed)
	d.changed = make(chan struct{})
	d.lab.Record("discovery: version %d: %s is %s", d.list.Seq, h.Host, h.Health)
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("follow") == "" {
		json.NewEncoder(w).Encode(d.List())
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	out := http.NewResponseController(w)
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		d.mu.Lock()
		next, changed, seq := d.last, d.changed, d.list.Seq
		if seq != since+1 {
			next = d.list
		}
		d.mu.Unlock()
		if seq != since {
			if json.NewEncoder(w).Encode(next) != nil {
				return
			}
			since = seq
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// WithPeers lets the agent with a number send datagrams to the others. peers has the address of each agent.
func (c *Config) WithPeers(number int, peers []string) {
	text := strings.Replace(string(c.Settings), `"Balancers": 2, "Me": 0`, fmt.Sprintf(`"Balancers": %d, "Me": %d`, len(peers), number), 1)
	c.Settings = json.RawMessage(strings.Replace(text, `"TryLimit": 5`, `"TryLimit": 5, "Peers": true`, 1))
	c.PeerListen, c.Peers = peers[number], peers
}

// FreePorts returns loopback addresses for datagrams whose ports were free a moment ago.
func FreePorts(n int) (all []string, err error) {
	for range n {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer c.Close()
		all = append(all, c.LocalAddr().String())
	}
	return all, nil
}

// Call makes an operator's call to an agent's control listener and returns the body of the answer.
func Call(method, control, path string) (string, error) {
	req, err := http.NewRequest(method, "http://"+control+path, nil)
	if err != nil {
		return "", err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("%s: %s", resp.Status, body)
	}
	return string(body), err
}
