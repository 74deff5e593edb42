package server

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"lemonrail/internal/configuration"
	"lemonrail/internal/replica"
	"lemonrail/internal/strict"
)

// Settings is the content of a control machine's settings file.
type Settings struct {
	Name     string          `toml:"name"`     // of this machine; one of Machines
	Region   string          `toml:"region"`   // of this machine
	Address  string          `toml:"address"`  // on which the HTTP server listens, HOST:PORT
	Folder   string          `toml:"folder"`   // for the raft logs, the votes and the history
	TickMs   int             `toml:"tick_ms"`  // raft tick in milliseconds; an election starts after ten ticks without a heartbeat
	SettleS  float64         `toml:"settle_s"` // seconds after the start in which some agents may not have connected yet
	Machines []MachineConfig `toml:"machine"`
}

// MachineConfig describes a control machine, with the addresses at which this machine reaches it.
type MachineConfig struct {
	Name    string            `toml:"name"`    // such as a1
	Region  string            `toml:"region"`  // region that the machine is in
	Address string            `toml:"address"` // of its HTTP server
	Groups  map[string]string `toml:"groups"`  // raft address by group in which the machine votes
}

// Limits of tick_ms and settle_s.
const (
	minTickMs  = 5
	maxTickMs  = 1000
	maxSettleS = 3600
)

// ReadSettings reads and checks a control machine's settings file.
func ReadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(path, raw)
}

// ParseSettings parses and checks the text of a settings file. Error messages call the file by the name in file.
func ParseSettings(file string, raw []byte) (Settings, error) {
	var s Settings
	if err := strict.Decode(file, raw, &s); err != nil {
		return Settings{}, err
	}
	check := settingsCheck{file: file, raw: raw, settings: &s}
	for _, step := range []func() error{check.checkOwnSettings, check.checkMachines, check.checkGroups} {
		if err := step(); err != nil {
			return Settings{}, err
		}
	}
	return s, nil
}

// settingsCheck validates a settings file. Its errors name the file, the line and the key.
type settingsCheck struct {
	file     string // name of the file, for errors
	raw      []byte // text of the file
	settings *Settings
}

// atKey returns an error about a top-level key.
func (c *settingsCheck) atKey(key, format string, args ...any) error {
	return c.atLine(strict.KeyLine(c.raw, key), key, format, args...)
}

// atMachine returns an error about a key of the nth [[machine]] table, counted from 0.
func (c *settingsCheck) atMachine(n int, key, format string, args ...any) error {
	return c.atLine(strict.TableLine(c.raw, "machine", n), "machine."+key, format, args...)
}

func (c *settingsCheck) atLine(line int, key, format string, args ...any) error {
	return fmt.Errorf("%s: line %d: %s: %s", c.file, max(line, 1), key, fmt.Sprintf(format, args...))
}

// checkOwnSettings checks the settings of this machine itself.
func (c *settingsCheck) checkOwnSettings() error {
	s := c.settings
	if s.Folder == "" {
		return c.atKey("folder", "is empty")
	}
	if s.TickMs < minTickMs || s.TickMs > maxTickMs {
		return c.atKey("tick_ms", "%d is not between %d and %d", s.TickMs, minTickMs, maxTickMs)
	}
	if !(s.SettleS >= 0 && s.SettleS <= maxSettleS) {
		return c.atKey("settle_s", "%v is not between 0 and %d", s.SettleS, maxSettleS)
	}
	if err := checkAddress(s.Address); err != nil {
		return c.atKey("address", "%v", err)
	}
	own, ok := s.machine(s.Name)
	if !ok {
		return c.atKey("name", "%q is not the name of a [[machine]]", s.Name)
	}
	if own.Region != s.Region {
		return c.atKey("region", "%q, but [[machine]] %s is in %q", s.Region, s.Name, own.Region)
	}
	return nil
}

// checkMachines checks each [[machine]] table: valid names, and names and addresses that are used only once.
func (c *settingsCheck) checkMachines() error {
	names := map[string]bool{}
	addresses := map[string]bool{}
	for n, m := range c.settings.Machines {
		if err := checkName(m.Name); err != nil {
			return c.atMachine(n, "name", "%v", err)
		}
		if err := checkName(m.Region); err != nil {
			return c.atMachine(n, "region", "%v", err)
		}
		if names[m.Name] {
			return c.atMachine(n, "name", "%q is used twice", m.Name)
		}
		names[m.Name] = true
		for _, key := range m.addressKeys() {
			address := m.addressOf(key)
			if err := checkAddress(address); err != nil {
				return c.atMachine(n, key, "%v", err)
			}
			if addresses[address] {
				return c.atMachine(n, key, "%s is used twice", address)
			}
			addresses[address] = true
		}
	}
	return nil
}

// addressKeys returns the keys that hold an address, sorted.
func (m *MachineConfig) addressKeys() []string {
	keys := []string{"address"}
	for group := range m.Groups {
		keys = append(keys, "groups."+group)
	}
	slices.Sort(keys)
	return keys
}

// addressOf returns the address under a key of addressKeys.
func (m *MachineConfig) addressOf(key string) string {
	if key == "address" {
		return m.Address
	}
	return m.Groups[key[len("groups."):]]
}

// checkGroups checks the voters of each group: all machines vote in the fleet's group; the voters of a region's
// group are the region's machines and, if there are other regions, exactly one machine of another region as
// the witness.
func (c *settingsCheck) checkGroups() error {
	regions := c.settings.regions()
	known := map[string]bool{configuration.FleetGroup: true}
	for _, region := range regions {
		known[configuration.RegionGroup(region)] = true
	}
	witnesses := map[string]int{}
	for n, m := range c.settings.Machines {
		for _, group := range []string{configuration.FleetGroup, configuration.RegionGroup(m.Region)} {
			if m.Groups[group] == "" {
				return c.atMachine(n, "groups", "%s has no address for %s, in which it votes", m.Name, group)
			}
		}
		for group := range m.Groups {
			if !known[group] {
				return c.atMachine(n, "groups."+group, "unknown group")
			}
			if group != configuration.FleetGroup && group != configuration.RegionGroup(m.Region) {
				witnesses[group]++
			}
		}
	}
	if len(regions) == 1 {
		return nil
	}
	for _, region := range regions {
		if group := configuration.RegionGroup(region); witnesses[group] != 1 {
			return fmt.Errorf("%s: %d machines of other regions vote in %s, not one", c.file, witnesses[group], group)
		}
	}
	return nil
}

// checkName rejects a name that cannot be part of a scope.
func checkName(name string) error {
	_, err := configuration.ParseScope("service/" + name)
	return err
}

// checkAddress rejects an address that isn't HOST:PORT.
func checkAddress(address string) error {
	if _, port, err := net.SplitHostPort(address); err != nil {
		return err
	} else if port == "" {
		return fmt.Errorf("%q has no port", address)
	}
	return nil
}

// machine returns the [[machine]] table with the given name, if there is one.
func (s *Settings) machine(name string) (MachineConfig, bool) {
	for _, m := range s.Machines {
		if m.Name == name {
			return m, true
		}
	}
	return MachineConfig{}, false
}

// regions returns the regions of all machines, sorted.
func (s *Settings) regions() []string {
	var regions []string
	for _, m := range s.Machines {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// voters returns the machines that vote in a group.
func (s *Settings) voters(group string) []MachineConfig {
	var voters []MachineConfig
	for _, m := range s.Machines {
		if m.Groups[group] != "" {
			voters = append(voters, m)
		}
	}
	return voters
}

// members returns a group's voters in the form that package replica takes.
func (s *Settings) members(group string) []replica.Member {
	var members []replica.Member
	for _, m := range s.voters(group) {
		members = append(members, replica.Member{Name: m.Name, Address: m.Groups[group]})
	}
	return members
}

// tick returns the raft tick.
func (s *Settings) tick() time.Duration { return time.Duration(s.TickMs) * time.Millisecond }

// settle returns the time after the start in which some agents may not have connected yet.
func (s *Settings) settle() time.Duration { return time.Duration(s.SettleS * float64(time.Second)) }

// groupFolder returns the folder of a group's raft log and votes.
func (s *Settings) groupFolder(group string) string { return filepath.Join(s.Folder, group) }
