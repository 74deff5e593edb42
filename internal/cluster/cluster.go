// Package cluster is a rig of many processes of the built program: a stand-in site, agents whose peers' addresses
// lead through links that the rig can cut one way, lose, double, delay and stall, and a seeded timetable of faults.
// Tests and lemonctl use it.
//
// Each agent has a peer address of its own, and sees each other agent under another: the rig's end of the link
// between the two. What it sends there leaves at the other agent from the address that this one knows it by. A link
// to a process that isn't up refuses, as the machine of a dead process does, unless its machine is said to be gone.
//
// Close ends all that was started, by id, and waits for it.
package cluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemonrail/internal/duty/seat"
	"lemonrail/internal/ledger"
	"lemonrail/internal/member/link"
	"lemonrail/internal/site/driver"
	"lemonrail/internal/standin"
)

// Most agents that one rig runs.
const Most = 60

// Options say what is started.
type Options struct {
	Program  string            // the agent's
	Dir      string            // for configurations, folders and logs; must exist
	Scenario *standin.Scenario // site, and the number of agents
	Members  string            // the text of the agents' file on members; empty: they keep none
	Sites    string            // the text of their file on sites; empty: they watch none
	Duties   string            // the text of their file on duties, but for the seats; empty: they hold none
	Seats    int               // of the first so many agents
	Args     []string          // further ones of each agent; DIR in them is the agent's own folder
	Seed     uint64            // of what links do by chance
	Observer standin.Observer  // of the site; nil: a ledger of its own

	// Amend changes an agent's configuration before it is written; nil: nothing is changed.
	Amend func(agent int, config map[string]any)
}

// Cluster is a running rig.
type Cluster struct {
	o      Options
	Site   *standin.Site
	Agents []*Agent
	links  [][]*relay // by sender and receiver
	alls   []*relay   // by sender, to everybody
	seats  []string   // real addresses of the seats
	tcp    [][]*tcpLink
	began  time.Time
	stopAt chan struct{}
	tasks  sync.WaitGroup
}

// Agent is one agent: at most one process at a time.
type Agent struct {
	Name    string
	Zone    string
	Listen  netip.AddrPort // where clients connect
	Control string         // where staff call
	Log     string         // file

	c      *Cluster
	number int
	peer   netip.AddrPort // its own, where the rig sends to
	config string
	dir    string
	fds    []int

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error
	stopped bool
	slow    chan struct{}
	lives   int

	fileLimit uint64
}

var rigs atomic.Uint32

// Open starts the site and the links. No agent runs yet.
func Open(o Options) (c *Cluster, err error) {
	n := o.Scenario.Agents
	if n < 1 || n > Most {
		return nil, fmt.Errorf("cluster: %d agents are not within 1 and %d", n, Most)
	}
	observer := o.Observer
	if observer == nil {
		observer = silent{ledger.New(standin.RulesOf(o.Scenario))}
	}
	c = &Cluster{o: o, began: time.Now(), stopAt: make(chan struct{})}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.Close())
			c = nil
		}
	}()
	if c.Site, err = standin.Open(o.Scenario, observer); err != nil {
		return c, err
	}
	if err := c.openLinks(n); err != nil {
		return c, err
	}
	for i := range n {
		a, err := c.newAgent(i)
		if err != nil {
			return c, err
		}
		c.Agents = append(c.Agents, a)
	}
	if o.Seats > 0 {
		if err := c.openSeats(min(o.Seats, n)); err != nil {
			return c, err
		}
	}
	return c, nil
}

// silent is a ledger that no client tells of its requests.
type silent struct{ *ledger.Ledger }

func (silent) Began(ledger.Attempt) func(ledger.Ending) { return func(ledger.Ending) {} }

func (c *Cluster) newAgent(i int) (*Agent, error) {
	a := &Agent{Name: fmt.Sprintf("n%d", i), Zone: c.o.Scenario.Sites[i%len(c.o.Scenario.Sites)], c: c, number: i, peer: c.links[i][i].own}
	a.dir = filepath.Join(c.o.Dir, a.Name)
	a.config, a.Log = filepath.Join(a.dir, "config.json"), filepath.Join(c.o.Dir, a.Name+".log")
	if err := os.MkdirAll(filepath.Join(a.dir, "keep"), 0o700); err != nil {
		return nil, err
	}
	var places [2]string
	for k := range places {
		fd, at, err := standin.Reserve()
		if err != nil {
			return nil, err
		}
		a.fds, places[k] = append(a.fds, fd), at
	}
	a.Listen, a.Control = netip.MustParseAddrPort(places[0]), places[1]
	return a, nil
}

// configure writes an agent's configuration anew.
func (a *Agent) configure() error {
	raw, err := a.c.Site.Config(a.number, a.Listen.String())
	if err != nil {
		return err
	}
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	all["name"], all["peer_listen"], all["peers_all"] = a.Name, a.peer.String(), a.c.alls[a.number].at.String()
	var peers []string
	for j := range a.c.links {
		if j == a.number {
			peers = append(peers, a.peer.String())
		} else {
			peers = append(peers, a.c.links[a.number][j].at.String())
		}
	}
	all["peers"] = peers
	all["settings"].(map[string]any)["PolicyLimits"].(map[string]any)["Peers"] = true
	if a.c.o.Amend != nil {
		a.c.o.Amend(a.number, all)
	}
	if raw, err = json.MarshalIndent(all, "", " "); err != nil {
		return err
	}
	return os.WriteFile(a.config, raw, 0o600)
}

// Start starts an agent's process, and does nothing where one runs.
func (a *Agent) Start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.up() {
		return nil
	}
	if err := a.configure(); err != nil {
		return err
	}
	var args []string
	if a.c.o.Members != "" {
		path := filepath.Join(a.dir, "members.toml")
		if err := os.WriteFile(path, []byte(strings.ReplaceAll(a.c.o.Members, "DIR", a.dir)), 0o600); err != nil {
			return err
		}
		args = append(args, "-members", path)
	}
	if a.c.o.Sites != "" {
		path := filepath.Join(a.dir, "sites.toml")
		if err := os.WriteFile(path, []byte(a.c.o.Sites), 0o600); err != nil {
			return err
		}
		args = append(args, "-sites", path)
	}
	if a.c.o.Duties != "" {
		path := filepath.Join(a.dir, "duties.toml")
		text := fmt.Sprintf("folder = %q\n", filepath.Join(a.dir, "seat")) + a.c.o.Duties + "\n" + a.c.seatsText(a.number)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		args = append(args, "-duties", path)
	}
	for _, arg := range a.c.o.Args {
		args = append(args, strings.ReplaceAll(arg, "DIR", a.dir))
	}
	log, err := os.OpenFile(a.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program, args := a.limited(a.c.o.Program, args)
	cmd := exec.Command(program, args...)
	cmd.Env = []string{"LB_CONFIG=" + a.config, "LB_NAME=" + a.Name, "LB_CONTROL=" + a.Control, "TMPDIR=" + a.dir, "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := a.c.refuse(a.number, false); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, a.c.refuse(a.number, true))
	}
	ended := make(chan struct{})
	a.cmd, a.ended, a.stopped = cmd, ended, false
	a.lives++
	go func() {
		err := cmd.Wait()
		a.mu.Lock()
		a.err = err
		a.mu.Unlock()
		a.c.refuse(a.number, true)
		close(ended)
	}()
	return nil
}

// up reports whether a process runs. The caller holds mu.
func (a *Agent) up() bool {
	if a.cmd == nil {
		return false
	}
	select {
	case <-a.ended:
		return false
	default:
		return true
	}
}

// Peer is the address on which the agent hears its peers.
func (a *Agent) Peer() netip.AddrPort { return a.peer }

// Up reports whether its process runs.
func (a *Agent) Up() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.up()
}

// Runs reports whether its process runs and isn't stopped.
func (a *Agent) Runs() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.up() && !a.stopped
}

// Lives is how many processes it has had.
func (a *Agent) Lives() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lives
}

// Signal sends a signal to the process; nothing where none runs.
func (a *Agent) Signal(s syscall.Signal) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.up() {
		return nil
	}
	switch s {
	case syscall.SIGSTOP:
		a.stopped = true
	case syscall.SIGCONT:
		a.stopped = false
	}
	return a.cmd.Process.Signal(s)
}

// Kill ends the process with SIGKILL and waits for its end.
func (a *Agent) Kill() error { return a.end(syscall.SIGKILL) }

// Term ends the process with SIGTERM, with SIGKILL where it doesn't end in time, and waits for its end.
func (a *Agent) Term() error { return a.end(syscall.SIGTERM) }

const endLimit = 10 * time.Second

func (a *Agent) end(s syscall.Signal) error {
	a.mu.Lock()
	if !a.up() {
		a.mu.Unlock()
		return nil
	}
	cmd, ended := a.cmd, a.ended
	a.mu.Unlock()
	if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	a.Signal(syscall.SIGCONT) // one that is stopped would not hear of it
	select {
	case <-ended:
		return nil
	case <-time.After(endLimit):
		cmd.Process.Kill()
		<-ended
		return fmt.Errorf("%s did not end within %v of %v", a.Name, endLimit, s)
	}
}

// Folder is the agent's own.
func (a *Agent) Folder() string { return a.dir }

// Wipe removes what the agent keeps in its folder.
func (a *Agent) Wipe() error {
	keep := filepath.Join(a.dir, "keep")
	return errors.Join(os.RemoveAll(keep), os.MkdirAll(keep, 0o700))
}

const slowCycle = 100 * time.Millisecond

// Slow leaves the process a share of a core from now on, by stopping it for the rest of each tenth of a second;
// 1 or more: all of it.
func (a *Agent) Slow(share float64) {
	a.mu.Lock()
	if a.slow != nil {
		close(a.slow)
		a.slow = nil
	}
	if share >= 1 || !a.up() {
		a.mu.Unlock()
		return
	}
	quit, ended, process := make(chan struct{}), a.ended, a.cmd.Process
	a.slow = quit
	a.mu.Unlock()
	a.c.tasks.Go(func() {
		defer process.Signal(syscall.SIGCONT)
		run := time.Duration(share * float64(slowCycle))
		for {
			for _, step := range []struct {
				s syscall.Signal
				d time.Duration
			}{{syscall.SIGSTOP, slowCycle - run}, {syscall.SIGCONT, run}} {
				process.Signal(step.s)
				select {
				case <-time.After(step.d):
				case <-quit:
					return
				case <-ended:
					return
				case <-a.c.stopAt:
					return
				}
			}
		}
	})
}

// Ask asks the agent's control listener.
func (a *Agent) Ask(method, path string) (status int, body []byte, err error) {
	return call(a.Control, method, path)
}

func call(address, method, path string) (status int, body []byte, err error) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Duties is how the agent's duties stand.
func (a *Agent) Duties() (*seat.Report, error) { return told[seat.Report](a.Control, "/api/duties") }

// Members is the agent's view of the fleet.
func (a *Agent) Members() (*link.Report, error) { return view(a.Control) }

// Sites is what the agent holds the sites for.
func (a *Agent) Sites() (*driver.Report, error) { return told[driver.Report](a.Control, "/api/sites") }

func view(address string) (*link.Report, error) { return told[link.Report](address, "/api/members") }

// told is what a control listener says as JSON.
func told[T any](address, path string) (*T, error) {
	status, body, err := call(address, http.MethodGet, path)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("%s: %d: %s", address, status, bytes.TrimSpace(body))
	}
	r := new(T)
	return r, json.Unmarshal(body, r)
}

// Ask asks a control listener for its view until it is as wanted, for so long at the most.
func Ask(address string, patience time.Duration, so func(*link.Report) error) error {
	return until(patience, nil, func() error {
		r, err := view(address)
		if err != nil {
			return err
		}
		return so(r)
	})
}

// StartAll starts all agents and waits until each is ready.
func (c *Cluster) StartAll(patience time.Duration) error {
	for _, a := range c.Agents {
		if err := a.Start(); err != nil {
			return err
		}
	}
	return c.Ready(patience)
}

// Ready waits until each agent that runs is ready.
func (c *Cluster) Ready(patience time.Duration) error {
	return c.Until(patience, func() error {
		for _, a := range c.Agents {
			if !a.Runs() {
				continue
			}
			if status, _, err := a.Ask(http.MethodGet, "/api/ready"); err != nil || status != http.StatusOK {
				return fmt.Errorf("%s is not ready: %d, %v", a.Name, status, err)
			}
		}
		return nil
	})
}

// Until asks until the answer is no error, for so long at the most; then the last error comes back.
func (c *Cluster) Until(patience time.Duration, so func() error) error {
	return until(patience, c.stopAt, so)
}

func until(patience time.Duration, stop <-chan struct{}, so func() error) error {
	end := time.Now().Add(patience)
	for {
		err := so()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %w", patience, err)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-stop:
			return errors.New("the rig has ended")
		}
	}
}

// Agree is nil once all agents that run hold the same view, in which exactly those live that run.
func (c *Cluster) Agree() error {
	digest, by := "", ""
	for _, a := range c.Agents {
		if !a.Runs() {
			continue
		}
		r, err := a.Members()
		if err != nil {
			return err
		}
		if digest == "" {
			digest, by = r.Digest, a.Name
		}
		if r.Digest != digest {
			return fmt.Errorf("%s and %s hold different views", by, a.Name)
		}
		if len(r.Members) < len(c.Agents) {
			return fmt.Errorf("%s knows %d of %d", a.Name, len(r.Members), len(c.Agents))
		}
		for _, m := range r.Members {
			i := slices.IndexFunc(c.Agents, func(b *Agent) bool { return b.Name == m.Name })
			if i < 0 {
				return fmt.Errorf("%s does not know a name yet: %s", a.Name, m.Name)
			}
			if up := c.Agents[i].Runs(); up != (m.State == "alive") {
				return fmt.Errorf("%s holds %s for %s, and it runs: %v", a.Name, m.Name, m.State, up)
			}
		}
	}
	return nil
}

// Logs is the last of each agent's log.
func (c *Cluster) Logs(lines int) string {
	var b strings.Builder
	for _, a := range c.Agents {
		raw, err := os.ReadFile(a.Log)
		if err != nil {
			continue
		}
		all := strings.Split(strings.TrimSpace(string(raw)), "\n")
		fmt.Fprintf(&b, "--- %s\n%s\n", a.Name, strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
	return b.String()
}

// Close ends all processes, links and the site, and waits until nothing is left.
func (c *Cluster) Close() error {
	close(c.stopAt)
	var errs []error
	for _, a := range c.Agents {
		a.Signal(syscall.SIGCONT)
		errs = append(errs, a.Kill())
		for _, fd := range a.fds {
			syscall.Close(fd)
		}
	}
	c.closeLinks()
	for _, row := range c.tcp {
		for _, l := range row {
			l.close()
		}
	}
	c.tasks.Wait()
	if c.Site != nil {
		errs = append(errs, c.Site.Close())
	}
	return errors.Join(errs...)
}

// freeHost is a loopback address that no other rig of this machine uses.
func freeHost(rig uint32) (netip.Addr, error) {
	pid := uint32(os.Getpid())
	for try := range uint32(64) {
		a := netip.AddrFrom4([4]byte{127, byte(64 + (pid>>8+try*7)%128), byte(pid), byte(1 + rig%250)})
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, peerPort)))
		if err != nil {
			continue
		}
		c.Close()
		return a, nil
	}
	return netip.Addr{}, errors.New("cluster: no free loopback address")
}

// The agents' own ports on the rig's address.
const peerPort = 7946

// SiteText is a small site for rigs that are about the agents alone: a node in each zone.
func SiteText(agents, zones int) string {
	var b strings.Builder
	var names, nodes []string
	for i := range zones {
		z := string(rune('a' + i))
		names = append(names, fmt.Sprintf("%q", z))
		nodes = append(nodes, fmt.Sprintf("[[node]]\nname = \"s%s\"\nkind = \"plain\"\nsite = %q\n", z, z))
	}
	fmt.Fprintf(&b, "seed = 1\nseconds = 600\nsites = [%s]\nagents = %d\n[allow]\nattempts = 3\npeers = true\n", strings.Join(names, ", "), agents)
	b.WriteString("[[class]]\nname = \"read\"\neffect = \"safe\"\nwork_ms = 2\naim_ms = 300\ndeadline_ms = 600\n[[kind]]\nname = \"plain\"\ncores = 4\n")
	return b.String() + strings.Join(nodes, "")
}
