// Package rig starts control machines as real processes on loopback addresses, with links between them that can be cut,
// each way for itself.
package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lemonrail/internal/configuration"
	"lemonrail/internal/configuration/client"
	"lemonrail/internal/configuration/server"
	"lemonrail/internal/standin"
)

const (
	pollInterval   = 20 * time.Millisecond
	defaultTickMs  = 30
	controlFile    = "control.toml"
	logFile        = "log"
	stopLimit      = 10 * time.Second // after SIGTERM, before the process is killed
	fileLimitBlock = 512              // bytes in a unit of the shell's ulimit -f
)

// Options say what is started.
type Options struct {
	Program  string              // lemoncontrol, as Build makes it
	Folder   string              // for the machines' folders, files and logs
	Regions  map[string][]string // machines' names by region
	TickMs   int                 // of raft; 0: 30
	SettleS  float64             // see server.Settings
	EnvExtra []string            // for the processes, such as GOMAXPROCS=1
}

// FourMachines are two regions of two machines each.
func FourMachines() map[string][]string {
	return map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}
}

// Rig is a set of control machines.
type Rig struct {
	options  Options
	machines []*Machine
	network  *network
	peers    *http.Client
}

// Machine is one control machine.
type Machine struct {
	Name    string
	Region  string
	Address string // of its HTTP server, past the links
	Folder  string

	rig    *Rig
	groups map[string]string // raft addresses, past the links
	held   []int             // descriptors that reserve the addresses
	file   string            // its settings

	mu        sync.Mutex
	fileLimit int64 // bytes that the process may write to any one file; 0: as ever
	process   *exec.Cmd
	exited    chan struct{} // closed once the process has ended
	exitErr   error
}

// Build builds lemoncontrol from this module's source into a folder. It needs the go command.
func Build(ctx context.Context, folder string) (program string, err error) {
	program = filepath.Join(folder, "lemoncontrol")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", program, "lemonrail/cmd/lemoncontrol").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build lemoncontrol: %w: %s", err, output)
	}
	return program, nil
}

// Start starts all machines and returns once each answers that its groups are started.
func Start(ctx context.Context, options Options) (*Rig, error) {
	if options.TickMs == 0 {
		options.TickMs = defaultTickMs
	}
	r := &Rig{
		options: options,
		network: newNetwork(),
		peers:   &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := r.start(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) start(ctx context.Context) error {
	if err := r.place(); err != nil {
		return err
	}
	for _, m := range r.machines {
		if err := m.writeSettings(); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if err := m.WaitUp(ctx); err != nil {
			return err
		}
	}
	return nil
}

// place makes the machines, with addresses of their own. The first machine of each next region is a region's witness.
func (r *Rig) place() error {
	regions := make([]string, 0, len(r.options.Regions))
	for region := range r.options.Regions {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	for _, region := range regions {
		for _, name := range r.options.Regions[region] {
			groups := []string{configuration.FleetGroup, configuration.RegionGroup(region)}
			if name == r.options.Regions[region][0] && len(regions) > 1 {
				before := regions[(slices.Index(regions, region)+len(regions)-1)%len(regions)]
				groups = append(groups, configuration.RegionGroup(before))
			}
			m := &Machine{Name: name, Region: region, rig: r, Folder: filepath.Join(r.options.Folder, name), groups: map[string]string{}}
			r.machines = append(r.machines, m)
			if err := m.reserve(groups); err != nil {
				return err
			}
		}
	}
	return nil
}

// reserve reserves the machine's addresses.
func (m *Machine) reserve(groups []string) (err error) {
	if m.Address, err = m.reserveOne(); err != nil {
		return err
	}
	for _, group := range groups {
		if m.groups[group], err = m.reserveOne(); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) reserveOne() (string, error) {
	fd, address, err := standin.Reserve()
	if err == nil {
		m.held = append(m.held, fd)
	}
	return address, err
}

// writeSettings writes the machine's file, in which all other machines stand behind links.
func (m *Machine) writeSettings() error {
	m.file = filepath.Join(m.Folder, controlFile)
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nregion = %q\naddress = %q\nfolder = %q\ntick_ms = %d\nsettle_s = %v\n",
		m.Name, m.Region, m.Address, filepath.Join(m.Folder, "data"), m.rig.options.TickMs, m.rig.options.SettleS)
	for _, other := range m.rig.machines {
		address, err := m.reach(other, other.Address)
		if err != nil {
			return err
		}
		fmt.Fprintf(&text, "\n[[machine]]\nname = %q\nregion = %q\naddress = %q\n[machine.groups]\n", other.Name, other.Region, address)
		for group, target := range other.groups {
			if address, err = m.reach(other, target); err != nil {
				return err
			}
			fmt.Fprintf(&text, "%s = %q\n", group, address)
		}
	}
	if err := os.MkdirAll(m.Folder, 0o700); err != nil {
		return err
	}
	return os.WriteFile(m.file, []byte(text.String()), 0o600)
}

// reach is the address at which the machine reaches an address of another one.
func (m *Machine) reach(other *Machine, target string) (string, error) {
	if other == m {
		return target, nil
	}
	return m.rig.network.link(m.Name, other.Name, target)
}

// Start starts the machine's process. It must not run.
func (m *Machine) Start() error {
	log, err := os.OpenFile(m.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := m.command()
	process.Stderr = log
	process.Stdout = log
	process.Env = append(os.Environ(), m.rig.options.EnvExtra...)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.exitErr = process, exited, nil
	m.mu.Unlock()
	go func() {
		err := process.Wait()
		m.mu.Lock()
		m.exitErr = err
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// FileLimit bounds what the machine's process may write to any one file from its next start on; 0: as ever. A disk that
// is full looks so.
func (m *Machine) FileLimit(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fileLimit = bytes
}

// command is the process to start. A shell sets the limit on files, which holds over exec.
func (m *Machine) command() *exec.Cmd {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fileLimit == 0 {
		return exec.Command(m.rig.options.Program, m.file)
	}
	blocks := (m.fileLimit + fileLimitBlock - 1) / fileLimitBlock
	script := fmt.Sprintf(`trap '' XFSZ; ulimit -f %d; exec "$0" "$@"`, blocks)
	return exec.Command("/bin/sh", "-c", script, m.rig.options.Program, m.file)
}

// LogPath is the file with what the machine's processes have logged.
func (m *Machine) LogPath() string { return filepath.Join(m.Folder, logFile) }

// DataFolder is the machine's folder of logs, votes and history.
func (m *Machine) DataFolder() string { return filepath.Join(m.Folder, "data") }

// Pid is the process's; 0: none was started.
func (m *Machine) Pid() int {
	process, _ := m.running()
	if process == nil {
		return 0
	}
	return process.Pid
}

func (m *Machine) running() (*os.Process, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil, nil
	}
	return m.process.Process, m.exited
}

// WaitUp returns once the machine answers that its groups are started.
func (m *Machine) WaitUp(ctx context.Context) error {
	_, exited := m.running()
	for {
		response, err := m.rig.peers.Get("http://" + m.Address + server.UpPath)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("%s has ended: %s", m.Name, m.logText())
		case <-ctx.Done():
			return fmt.Errorf("%s isn't up: %w", m.Name, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

func (m *Machine) logText() string {
	raw, _ := os.ReadFile(m.LogPath())
	return string(raw)
}

// signal sends the process a signal.
func (m *Machine) signal(signal syscall.Signal) error {
	process, _ := m.running()
	if process == nil {
		return errors.New(m.Name + " was not started")
	}
	return process.Signal(signal)
}

// Kill ends the process at once, and returns once it has ended.
func (m *Machine) Kill() {
	process, exited := m.running()
	if process == nil {
		return
	}
	process.Kill()
	<-exited
}

// Stop asks the process to end, and returns once it has: with an error if it didn't end as it should.
func (m *Machine) Stop() error {
	if err := m.signal(syscall.SIGTERM); err != nil {
		return err
	}
	_, exited := m.running()
	select {
	case <-exited:
	case <-time.After(stopLimit):
		m.Kill()
		return fmt.Errorf("%s didn't end within %v of SIGTERM", m.Name, stopLimit)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exitErr
}

// Pause stops the process (SIGSTOP) until Resume.
func (m *Machine) Pause() error { return m.signal(syscall.SIGSTOP) }

// Resume has a paused process go on.
func (m *Machine) Resume() error { return m.signal(syscall.SIGCONT) }

// Status is how the machine stands in its groups.
func (m *Machine) Status(ctx context.Context) (configuration.MachineStatus, error) {
	var status configuration.MachineStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+configuration.MachinePath, nil)
	if err != nil {
		return status, err
	}
	response, err := m.rig.peers.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(raw, &status)
}

// Group is how the machine stands in a group.
func (m *Machine) Group(ctx context.Context, group string) (configuration.GroupStatus, error) {
	status, err := m.Status(ctx)
	if err != nil {
		return configuration.GroupStatus{}, err
	}
	for _, g := range status.Groups {
		if g.Group == group {
			return g, nil
		}
	}
	return configuration.GroupStatus{}, fmt.Errorf("%s is no member of %s", m.Name, group)
}

// Machines are all, by region and name.
func (r *Rig) Machines() []*Machine { return r.machines }

// Machine is the one of a name; nil: there is none.
func (r *Rig) Machine(name string) *Machine {
	for _, m := range r.machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Outside opens an address at which somebody outside, such as an agent or an operator, reaches a machine's HTTP server
// through a link. Cut and Heal take the name.
func (r *Rig) Outside(name string, machine *Machine) (address string, err error) {
	return r.network.link(name, machine.Name, machine.Address)
}

// Client returns a client that asks the named machines in this order, past the links; none named: all.
func (r *Rig) Client(names ...string) (*client.Client, error) {
	var addresses []string
	for _, m := range r.machines {
		if len(names) == 0 {
			addresses = append(addresses, m.Address)
		}
	}
	for _, name := range names {
		m := r.Machine(name)
		if m == nil {
			return nil, fmt.Errorf("there is no machine %s", name)
		}
		addresses = append(addresses, m.Address)
	}
	return client.New(addresses...)
}

// WaitLeader returns the machine that leads a group, once one of those asked (none named: all) says so of itself.
func (r *Rig) WaitLeader(ctx context.Context, group string, among ...string) (*Machine, error) {
	var leader *Machine
	err := Wait(ctx, func() bool {
		for _, m := range r.machines {
			if len(among) > 0 && !slices.Contains(among, m.Name) {
				continue
			}
			status, err := m.Group(ctx, group)
			if err == nil && status.Leader == m.Name {
				leader = m
				return true
			}
		}
		return false
	})
	if err != nil {
		return nil, fmt.Errorf("no leader of %s: %w", group, err)
	}
	return leader, nil
}

// Wait looks again and again until a condition holds; the error is ctx's.
func Wait(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Cut holds back what one machine sends to another, Heal lets it go on.
func (r *Rig) Cut(from, to string) { r.network.set(direction{from, to}, true) }

// Heal ends a Cut.
func (r *Rig) Heal(from, to string) { r.network.set(direction{from, to}, false) }

// CutRegions cuts all links between machines of different regions, both ways; HealAll heals all.
func (r *Rig) CutRegions() {
	for _, from := range r.machines {
		for _, to := range r.machines {
			if from.Region != to.Region {
				r.Cut(from.Name, to.Name)
			}
		}
	}
}

// HealAll heals all links.
func (r *Rig) HealAll() {
	for _, from := range r.machines {
		for _, to := range r.machines {
			r.Heal(from.Name, to.Name)
		}
	}
}

// Close kills all processes and frees what the rig holds.
func (r *Rig) Close() {
	for _, m := range r.machines {
		m.Kill()
		for _, fd := range m.held {
			syscall.Close(fd)
		}
	}
	r.network.close()
	r.peers.CloseIdleConnections()
}
