// Package cluster runs many processes of the built program for tests and lemonctl: a simulated site, agents,
// and links between the agents that can drop datagrams one way, lose, duplicate, delay and stall them, and a
// seeded timetable of faults.
//
// Each agent has its own peer address, and knows each other agent by the address of a link, which the cluster
// listens on. A datagram that is sent there arrives at the other agent from the address by which that agent
// knows the sender. A link to a process that is not running refuses datagrams, as the machine of a dead
// process does, unless the machine is simulated as gone.
//
// Close ends all processes that were started, by id, and waits for them.
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

	"lemonrail/internal/duty/quorum"
	"lemonrail/internal/ledger"
	"lemonrail/internal/member/link"
	"lemonrail/internal/site/driver"
	"lemonrail/internal/standin"
)

// MaxAgents is the maximum number of agents of a cluster.
const MaxAgents = 60

// Options configures a cluster.
type Options struct {
	Program  string            // path of the agent's program
	Dir      string            // directory for configurations, folders and logs; must exist
	Scenario *standin.Scenario // the site, and the number of agents
	Members  string            // text of the agents' members file; empty: no membership
	Sites    string            // text of the agents' sites file; empty: agents don't watch sites
	Duties   string            // text of the agents' duties file, without the [[seat]] tables, which the cluster adds; empty: no duties
	Seats    int               // number of agents, from the first, that have a seat: a voter of the quorum that grants duties
	Args     []string          // additional arguments of each agent; DIR stands for the agent's own folder
	Seed     uint64            // seed of random faults of links
	Observer standin.Observer  // observer of the site; nil: a ledger that ignores attempts

	// Amend changes an agent's configuration before it is written; nil: no change.
	Amend func(agent int, config map[string]any)
}

// Cluster is a set of running agents, links and the site.
type Cluster struct {
	options        Options
	Site           *standin.Site
	Agents         []*Agent
	links          [][]*udpLink  // by indexes of sender and receiver; on the diagonal: no link, but the agent's own peer address
	broadcastLinks []*udpLink    // by index of the sender; a datagram goes to all other agents
	seatAddrs      []string      // addresses on which the seats listen, which bypass the links; by index of the agent
	tcpLinks       [][]*tcpLink  // by indexes of agent and seat
	startedAt      time.Time     // when the cluster was opened
	stop           chan struct{} // closed by Close
	tasks          sync.WaitGroup
}

// Agent is one agent of a cluster. It has at most one process at a time.
type Agent struct {
	Name    string
	Zone    string
	Listen  netip.AddrPort // address for clients
	Control string         // address of the control listener
	Log     string         // path of the log file

	cluster     *Cluster
	index       int
	peerAddr    netip.AddrPort // its own peer address, which links send to
	config      string         // path of the configuration file
	dir         string         // path of the folder for the configuration and stored state
	reservedFDs []int          // descriptors that keep the addresses Listen and Control bound between processes

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{} // closed once the process has exited
	exitErr  error         // error of its exit
	stopped  bool          // by SIGSTOP
	stopSlow chan struct{} // ends the goroutine of Slow; nil: the process isn't slowed down
	starts   int           // number of processes started so far

	fileLimit uint64 // maximum size of a file that the process writes, in bytes; 0: no limit
}

// clusterCount is the number of clusters opened by this process, from which their loopback addresses are derived.
var clusterCount atomic.Uint32

// Open starts the site and the links. No agent is started yet.
func Open(o Options) (c *Cluster, err error) {
	n := o.Scenario.Agents
	if n < 1 || n > MaxAgents {
		return nil, fmt.Errorf("cluster: %d agents are not within 1 and %d", n, MaxAgents)
	}
	observer := o.Observer
	if observer == nil {
		observer = ignoreAttempts{ledger.New(standin.LedgerRules(o.Scenario))}
	}
	c = &Cluster{options: o, startedAt: time.Now(), stop: make(chan struct{})}
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

// ignoreAttempts is a ledger without attempts, for clusters in which no client reports its requests to the ledger: it would count
// attempts without a client as breaches.
type ignoreAttempts struct{ *ledger.Ledger }

func (ignoreAttempts) AttemptStarted(ledger.Attempt) func(ledger.Outcome) {
	return func(ledger.Outcome) {}
}

func (c *Cluster) newAgent(i int) (*Agent, error) {
	a := &Agent{Name: fmt.Sprintf("n%d", i), Zone: c.options.Scenario.Sites[i%len(c.options.Scenario.Sites)], cluster: c, index: i, peerAddr: c.links[i][i].agentAddr}
	a.dir = filepath.Join(c.options.Dir, a.Name)
	a.config, a.Log = filepath.Join(a.dir, "config.json"), filepath.Join(c.options.Dir, a.Name+".log")
	if err := os.MkdirAll(filepath.Join(a.dir, "keep"), 0o700); err != nil {
		return nil, err
	}
	var places [2]string
	for k := range places {
		fd, at, err := standin.ReserveAddr()
		if err != nil {
			return nil, err
		}
		a.reservedFDs, places[k] = append(a.reservedFDs, fd), at
	}
	a.Listen, a.Control = netip.MustParseAddrPort(places[0]), places[1]
	return a, nil
}

// configure writes the configuration file that the agent's process reads at its start.
func (a *Agent) configure() error {
	raw, err := a.cluster.Site.Config(a.index, a.Listen.String())
	if err != nil {
		return err
	}
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	all["name"], all["peer_listen"], all["peers_all"] = a.Name, a.peerAddr.String(), a.cluster.broadcastLinks[a.index].addr.String()
	var peers []string
	for j := range a.cluster.links {
		if j == a.index {
			peers = append(peers, a.peerAddr.String())
		} else {
			peers = append(peers, a.cluster.links[a.index][j].addr.String())
		}
	}
	all["peers"] = peers
	all["settings"].(map[string]any)["PolicyLimits"].(map[string]any)["Peers"] = true
	if a.cluster.options.Amend != nil {
		a.cluster.options.Amend(a.index, all)
	}
	if raw, err = json.MarshalIndent(all, "", " "); err != nil {
		return err
	}
	return os.WriteFile(a.config, raw, 0o600)
}

// Start starts the agent's process, unless one is running.
func (a *Agent) Start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running() {
		return nil
	}
	if err := a.configure(); err != nil {
		return err
	}
	var args []string
	if a.cluster.options.Members != "" {
		path := filepath.Join(a.dir, "members.toml")
		if err := os.WriteFile(path, []byte(strings.ReplaceAll(a.cluster.options.Members, "DIR", a.dir)), 0o600); err != nil {
			return err
		}
		args = append(args, "-members", path)
	}
	if a.cluster.options.Sites != "" {
		path := filepath.Join(a.dir, "sites.toml")
		if err := os.WriteFile(path, []byte(a.cluster.options.Sites), 0o600); err != nil {
			return err
		}
		args = append(args, "-sites", path)
	}
	if a.cluster.options.Duties != "" {
		path := filepath.Join(a.dir, "duties.toml")
		text := fmt.Sprintf("folder = %q\n", filepath.Join(a.dir, "seat")) + a.cluster.options.Duties + "\n" + a.cluster.seatsText(a.index)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		args = append(args, "-duties", path)
	}
	for _, arg := range a.cluster.options.Args {
		args = append(args, strings.ReplaceAll(arg, "DIR", a.dir))
	}
	log, err := os.OpenFile(a.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program, args := a.withFileLimit(a.cluster.options.Program, args)
	cmd := exec.Command(program, args...)
	cmd.Env = []string{"LB_CONFIG=" + a.config, "LB_NAME=" + a.Name, "LB_CONTROL=" + a.Control, "TMPDIR=" + a.dir, "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := a.cluster.setRefusing(a.index, false); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, a.cluster.setRefusing(a.index, true))
	}
	ended := make(chan struct{})
	a.cmd, a.exited, a.stopped = cmd, ended, false
	a.starts++
	go func() {
		err := cmd.Wait()
		a.mu.Lock()
		a.exitErr = err
		a.mu.Unlock()
		a.cluster.setRefusing(a.index, true)
		close(ended)
	}()
	return nil
}

// running reports whether a process is running, stopped ones included. The caller holds a.mu.
func (a *Agent) running() bool {
	if a.cmd == nil {
		return false
	}
	select {
	case <-a.exited:
		return false
	default:
		return true
	}
}

// Peer returns the address on which the agent receives datagrams of its peers.
func (a *Agent) Peer() netip.AddrPort { return a.peerAddr }

// Up reports whether the agent's process is running, also if it is stopped by SIGSTOP.
func (a *Agent) Up() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running()
}

// Active reports whether the agent's process is running and not stopped by SIGSTOP.
func (a *Agent) Active() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running() && !a.stopped
}

// Starts returns how many processes the agent has had.
func (a *Agent) Starts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts
}

// Signal sends a signal to the process. It does nothing if no process is running.
func (a *Agent) Signal(s syscall.Signal) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.running() {
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

// Kill ends the process with SIGKILL and waits for its exit.
func (a *Agent) Kill() error { return a.end(syscall.SIGKILL) }

// Term ends the process with SIGTERM, or SIGKILL if it takes longer than exitTimeout, and waits for its exit.
func (a *Agent) Term() error { return a.end(syscall.SIGTERM) }

const exitTimeout = 10 * time.Second

func (a *Agent) end(s syscall.Signal) error {
	a.mu.Lock()
	if !a.running() {
		a.mu.Unlock()
		return nil
	}
	cmd, ended := a.cmd, a.exited
	a.mu.Unlock()
	if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	a.Signal(syscall.SIGCONT) // a stopped process would not handle SIGTERM
	select {
	case <-ended:
		return nil
	case <-time.After(exitTimeout):
		cmd.Process.Kill()
		<-ended
		return fmt.Errorf("%s did not end within %v of %v", a.Name, exitTimeout, s)
	}
}

// Folder returns the path of the agent's own folder.
func (a *Agent) Folder() string { return a.dir }

// Wipe removes the state that the agent has stored in its folder: membership and the store of its seat.
func (a *Agent) Wipe() error {
	keep := filepath.Join(a.dir, "keep")
	return errors.Join(os.RemoveAll(keep), os.MkdirAll(keep, 0o700))
}

// slowCycle is the time in which a process that Slow limits runs once.
const slowCycle = 100 * time.Millisecond

// LimitCPU limits the process to a share of a core by stopping it for the rest of each slowCycle. A share of 1 or
// more removes the limit.
func (a *Agent) LimitCPU(share float64) {
	a.mu.Lock()
	if a.stopSlow != nil {
		close(a.stopSlow)
		a.stopSlow = nil
	}
	if share >= 1 || !a.running() {
		a.mu.Unlock()
		return
	}
	quit, ended, process := make(chan struct{}), a.exited, a.cmd.Process
	a.stopSlow = quit
	a.mu.Unlock()
	a.cluster.tasks.Go(func() {
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
				case <-a.cluster.stop:
					return
				}
			}
		}
	})
}

// Ask sends a request without a body to the agent's control listener and returns the answer.
func (a *Agent) Ask(method, path string) (status int, body []byte, err error) {
	return httpCall(a.Control, method, path)
}

func httpCall(address, method, path string) (status int, body []byte, err error) {
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

// Duties returns the agent's report on duties.
func (a *Agent) Duties() (*quorum.Report, error) {
	return getJSON[quorum.Report](a.Control, "/api/duties")
}

// Members returns the agent's report on the fleet's members.
func (a *Agent) Members() (*link.Report, error) { return membersReport(a.Control) }

// Sites returns the agent's report on the states of sites.
func (a *Agent) Sites() (*driver.Report, error) {
	return getJSON[driver.Report](a.Control, "/api/sites")
}

func membersReport(address string) (*link.Report, error) {
	return getJSON[link.Report](address, "/api/members")
}

// getJSON decodes the JSON answer of a control listener.
func getJSON[T any](address, path string) (*T, error) {
	status, body, err := httpCall(address, http.MethodGet, path)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("%s: %d: %s", address, status, bytes.TrimSpace(body))
	}
	r := new(T)
	return r, json.Unmarshal(body, r)
}

// AwaitMembers polls the members report of a control listener until so returns nil, for at most patience; then it returns the last
// error.
func AwaitMembers(address string, patience time.Duration, so func(*link.Report) error) error {
	return until(patience, nil, func() error {
		r, err := membersReport(address)
		if err != nil {
			return err
		}
		return so(r)
	})
}

// StartAll starts all agents and waits for at most patience until each is ready.
func (c *Cluster) StartAll(patience time.Duration) error {
	for _, a := range c.Agents {
		if err := a.Start(); err != nil {
			return err
		}
	}
	return c.Ready(patience)
}

// Ready waits for at most patience until each running agent is ready (answers GET /up with 200).
func (c *Cluster) Ready(patience time.Duration) error {
	return c.Until(patience, func() error {
		for _, a := range c.Agents {
			if !a.Active() {
				continue
			}
			if status, _, err := a.Ask(http.MethodGet, "/api/ready"); err != nil || status != http.StatusOK {
				return fmt.Errorf("%s is not ready: %d, %v", a.Name, status, err)
			}
		}
		return nil
	})
}

// Until polls so until it returns nil, for at most patience; then it returns the last error.
func (c *Cluster) Until(patience time.Duration, so func() error) error {
	return until(patience, c.stop, so)
}

func until(patience time.Duration, stop <-chan struct{}, so func() error) error {
	end := time.Now().Add(patience)
	for {
		err := so()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not met within %v: %w", patience, err)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-stop:
			return errors.New("the rig has ended")
		}
	}
}

// Agree returns nil if the members reports of all running agents agree, and exactly the running agents are alive in them.
func (c *Cluster) Agree() error {
	digest, by := "", ""
	for _, a := range c.Agents {
		if !a.Active() {
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
			if up := c.Agents[i].Active(); up != (m.State == "alive") {
				return fmt.Errorf("%s holds %s for %s, and it runs: %v", a.Name, m.Name, m.State, up)
			}
		}
	}
	return nil
}

// Logs returns the last lines of each agent's log.
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

// Close ends all processes, links and the site, and waits for them.
func (c *Cluster) Close() error {
	close(c.stop)
	var errs []error
	for _, a := range c.Agents {
		a.Signal(syscall.SIGCONT)
		errs = append(errs, a.Kill())
		for _, fd := range a.reservedFDs {
			syscall.Close(fd)
		}
	}
	c.closeLinks()
	for _, row := range c.tcpLinks {
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

// freeLoopbackAddr returns a loopback address that no other cluster on this machine uses. rig is the number of the cluster in this
// process.
func freeLoopbackAddr(rig uint32) (netip.Addr, error) {
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

// peerPort is the peer port of the first agent, agent 0; agent n has peerPort + n, on the cluster's own address.
const peerPort = 7946

// SiteText returns the scenario of a small site with one node per zone, for tests of the agents alone.
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
