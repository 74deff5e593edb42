// Package rig starts control machines as real processes on loopback addresses. The links between them can be
// cut, each direction on its own.
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
	pollInterval     = 20 * time.Millisecond // between two checks of a condition that the rig waits for
	defaultTickMs    = 30
	controlFile      = "control.toml"
	logFile          = "log"
	stopTimeout      = 10 * time.Second // after SIGTERM, before the process is killed
	ulimitBlockBytes = 512              // bytes in one unit of the shell's ulimit -f
)

// Options configure a Rig.
type Options struct {
	Program  string              // path of lemoncontrol, as returned by Build
	Folder   string              // in which each machine has a folder for its files and log
	Regions  map[string][]string // machine names by region
	TickMs   int                 // raft tick; 0: 30
	SettleS  float64             // seconds after the start in which the machines don't report the agents' status yet, see server.Settings
	ExtraEnv []string            // added to the environment of the processes, such as GOMAXPROCS=1
}

// FourMachines returns two regions of two machines each.
func FourMachines() map[string][]string {
	return map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}
}

// Rig runs a set of control machines.
type Rig struct {
	options  Options
	machines []*Machine
	network  *network
	http     *http.Client
}

// Machine is one control machine.
type Machine struct {
	Name    string
	Region  string
	Address string // of its HTTP server, reached directly and not through a link
	Folder  string

	rig          *Rig              // that runs the machine
	groups       map[string]string // raft addresses by group, reached directly and not through links
	reservedFDs  []int             // file descriptors that reserve the addresses
	settingsPath string

	mu           sync.Mutex
	maxFileBytes int64 // that the process may write to any one file; 0: no limit
	process      *exec.Cmd
	exited       chan struct{} // closed once the process has ended
	exitErr      error         // error with which the process ended, valid once exited is closed
}

// Build builds the program lemoncontrol from this module's source into a folder and returns its path. It
// needs the go command.
func Build(ctx context.Context, folder string) (program string, err error) {
	program = filepath.Join(folder, "lemoncontrol")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", program, "lemonrail/cmd/lemoncontrol").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build lemoncontrol: %w: %s", err, output)
	}
	return program, nil
}

// Start starts all machines and returns once each of them reports that its groups are started.
func Start(ctx context.Context, options Options) (*Rig, error) {
	if options.TickMs == 0 {
		options.TickMs = defaultTickMs
	}
	r := &Rig{
		options: options,
		network: newNetwork(),
		http:    &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := r.start(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) start(ctx context.Context) error {
	if err := r.createMachines(); err != nil {
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

// createMachines creates the machines and reserves their addresses. The first machine of each region is also
// a voter (the witness) in the group of the region before it, in sorted order.
func (r *Rig) createMachines() error {
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

// reserve reserves the machine's HTTP address and its raft address in each group.
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
	fd, address, err := standin.ReserveAddr()
	if err == nil {
		m.reservedFDs = append(m.reservedFDs, fd)
	}
	return address, err
}

// WitnessOf returns the other regions in whose groups the machine votes as the witness.
func (m *Machine) WitnessOf() (regions []string) {
	for _, other := range m.rig.machines {
		_, votes := m.groups[configuration.RegionGroup(other.Region)]
		if votes && other.Region != m.Region && !slices.Contains(regions, other.Region) {
			regions = append(regions, other.Region)
		}
	}
	return regions
}

// writeSettings writes the machine's settings file, in which the addresses of all other machines are links.
func (m *Machine) writeSettings() error {
	m.settingsPath = filepath.Join(m.Folder, controlFile)
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nregion = %q\naddress = %q\nfolder = %q\ntick_ms = %d\nsettle_s = %v\n",
		m.Name, m.Region, m.Address, filepath.Join(m.Folder, "data"), m.rig.options.TickMs, m.rig.options.SettleS)
	for _, other := range m.rig.machines {
		address, err := m.linkTo(other, other.Address)
		if err != nil {
			return err
		}
		fmt.Fprintf(&text, "\n[[machine]]\nname = %q\nregion = %q\naddress = %q\n[machine.groups]\n", other.Name, other.Region, address)
		for group, target := range other.groups {
			if address, err = m.linkTo(other, target); err != nil {
				return err
			}
			fmt.Fprintf(&text, "%s = %q\n", group, address)
		}
	}
	if err := os.MkdirAll(m.Folder, 0o700); err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath, []byte(text.String()), 0o600)
}

// linkTo returns the address at which the machine reaches target, an address of another machine, through a
// link.
func (m *Machine) linkTo(other *Machine, target string) (string, error) {
	if other == m {
		return target, nil
	}
	return m.rig.network.link(m.Name, other.Name, target)
}

// Start starts the machine's process, which must not be running.
func (m *Machine) Start() error {
	log, err := os.OpenFile(m.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := m.command()
	process.Stderr = log
	process.Stdout = log
	process.Env = append(os.Environ(), m.rig.options.ExtraEnv...)
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

// SetMaxFileSize limits what the machine's process may write to any one file, from its next start on; 0: no
// limit. To the process a file at the limit looks like a full disk.
func (m *Machine) SetMaxFileSize(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxFileBytes = bytes
}

// command returns the process to start. The limit on files is set by a shell, because it is inherited across
// exec.
func (m *Machine) command() *exec.Cmd {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.maxFileBytes == 0 {
		return exec.Command(m.rig.options.Program, m.settingsPath)
	}
	blocks := (m.maxFileBytes + ulimitBlockBytes - 1) / ulimitBlockBytes
	script := fmt.Sprintf(`trap '' XFSZ; ulimit -f %d; exec "$0" "$@"`, blocks)
	return exec.Command("/bin/sh", "-c", script, m.rig.options.Program, m.settingsPath)
}

// LogPath returns the path of the file that has the output of the machine's processes.
func (m *Machine) LogPath() string { return filepath.Join(m.Folder, logFile) }

// DataFolder returns the folder of the machine's raft logs, votes and history.
func (m *Machine) DataFolder() string { return filepath.Join(m.Folder, "data") }

// Pid returns the ID of the machine's process; 0: none was started.
func (m *Machine) Pid() int {
	process, _ := m.running()
	if process == nil {
		return 0
	}
	return process.Pid
}

// running returns the machine's process and the channel that is closed once it has ended; nil: none was
// started.
func (m *Machine) running() (*os.Process, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil, nil
	}
	return m.process.Process, m.exited
}

// WaitUp waits until the machine reports that its groups are started.
func (m *Machine) WaitUp(ctx context.Context) error {
	_, exited := m.running()
	for {
		response, err := m.rig.http.Get("http://" + m.Address + server.UpPath)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("%s has exited: %s", m.Name, m.logText())
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

// Kill kills the process and waits until it has ended.
func (m *Machine) Kill() {
	process, exited := m.running()
	if process == nil {
		return
	}
	process.Kill()
	<-exited
}

// Stop sends SIGTERM and waits until the process has ended. It returns an error if the process didn't exit
// cleanly.
func (m *Machine) Stop() error {
	if err := m.signal(syscall.SIGTERM); err != nil {
		return err
	}
	_, exited := m.running()
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		m.Kill()
		return fmt.Errorf("%s didn't exit within %v of SIGTERM", m.Name, stopTimeout)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exitErr
}

// Pause stops the process (SIGSTOP) until Resume.
func (m *Machine) Pause() error { return m.signal(syscall.SIGSTOP) }

// Resume lets a paused process continue (SIGCONT).
func (m *Machine) Resume() error { return m.signal(syscall.SIGCONT) }

// Status returns the machine's status in all of its groups.
func (m *Machine) Status(ctx context.Context) (configuration.MachineStatus, error) {
	var status configuration.MachineStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+configuration.MachinePath, nil)
	if err != nil {
		return status, err
	}
	response, err := m.rig.http.Do(request)
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

// Group returns the machine's status in a group.
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
	return configuration.GroupStatus{}, fmt.Errorf("%s is not a member of %s", m.Name, group)
}

// Machines returns all machines, by region and in the order of Options.Regions.
func (r *Rig) Machines() []*Machine { return r.machines }

// Machine returns the machine of the given name; nil: there is none.
func (r *Rig) Machine(name string) *Machine {
	for _, m := range r.machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// ExternalLink opens an address at which an external party of the given name, such as an agent or an
// operator, reaches a machine's HTTP server through a link. Cut and Heal take that name.
func (r *Rig) ExternalLink(name string, machine *Machine) (address string, err error) {
	return r.network.link(name, machine.Name, machine.Address)
}

// Client returns a client that tries the named machines in this order, without links; no names: all machines.
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

// WaitLeader waits until one of the named machines (no names: all) reports that it leads a group, and returns it.
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

// Wait polls until a condition holds. If ctx ends before, the error is that of ctx.
func Wait(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Cut holds back what one machine sends to another, until Heal.
func (r *Rig) Cut(from, to string) { r.network.set(direction{from, to}, true) }

// Heal ends a Cut and delivers what it held back.
func (r *Rig) Heal(from, to string) { r.network.set(direction{from, to}, false) }

// CutRegions cuts all links between machines of different regions in both directions; HealAll heals all.
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

// Close kills all processes and releases the rig's addresses and links.
func (r *Rig) Close() {
	for _, m := range r.machines {
		m.Kill()
		for _, fd := range m.reservedFDs {
			syscall.Close(fd)
		}
	}
	r.network.close()
	r.http.CloseIdleConnections()
}
