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

// Settings are a control machine's, as its file gives them.
type Settings struct {
	Name     string          `toml:"name"`     // of this machine; one of Machines
	Region   string          `toml:"region"`   // that it stands in
	Address  string          `toml:"address"`  // that its HTTP server listens on, HOST:PORT
	Folder   string          `toml:"folder"`   // of its logs, votes and history
	TickMs   int             `toml:"tick_ms"`  // of raft; an election follows after ten without a heartbeat
	SettleS  float64         `toml:"settle_s"` // after its start, for which it counts as not knowing all its agents
	Machines []MachineConfig `toml:"machine"`
}

// MachineConfig is a control machine as this one reaches it.
type MachineConfig struct {
	Name    string            `toml:"name"`
	Region  string            `toml:"region"`
	Address string            `toml:"address"` // of its HTTP server
	Groups  map[string]string `toml:"groups"`  // the raft address for each group that it votes in
}

// Bounds of tick_ms and settle_s.
const (
	tickLeastMs = 5
	tickMostMs  = 1000
	settleMostS = 3600
)

// ReadSettings reads a control machine's file.
func ReadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(path, raw)
}

// ParseSettings reads the text of a control machine's file; errors call it file.
func ParseSettings(file string, raw []byte) (Settings, error) {
	var s Settings
	if err := strict.Decode(file, raw, &s); err != nil {
		return Settings{}, err
	}
	check := settingsCheck{file: file, raw: raw, settings: &s}
	for _, step := range []func() error{check.own, check.machines, check.groups} {
		if err := step(); err != nil {
			return Settings{}, err
		}
	}
	return s, nil
}

// settingsCheck finds what makes no sense in a file, and its line.
type settingsCheck struct {
	file     string
	raw      []byte
	settings *Settings
}

// atKey is an error about a key of the top.
func (c *settingsCheck) atKey(key, format string, args ...any) error {
	return c.atLine(strict.Key(c.raw, key), key, format, args...)
}

// atMachine is an error about a key of the nth [[machine]].
func (c *settingsCheck) atMachine(n int, key, format string, args ...any) error {
	return c.atLine(strict.Table(c.raw, "machine", n), "machine."+key, format, args...)
}

func (c *settingsCheck) atLine(line int, key, format string, args ...any) error {
	return fmt.Errorf("%s: line %d: %s: %s", c.file, max(line, 1), key, fmt.Sprintf(format, args...))
}

func (c *settingsCheck) own() error {
	s := c.settings
	if s.Folder == "" {
		return c.atKey("folder", "is empty")
	}
	if s.TickMs < tickLeastMs || s.TickMs > tickMostMs {
		return c.atKey("tick_ms", "%d is not within %d and %d", s.TickMs, tickLeastMs, tickMostMs)
	}
	if !(s.SettleS >= 0 && s.SettleS <= settleMostS) {
		return c.atKey("settle_s", "%v is not within 0 and %d", s.SettleS, settleMostS)
	}
	if err := checkAddress(s.Address); err != nil {
		return c.atKey("address", "%v", err)
	}
	own, ok := s.machine(s.Name)
	if !ok {
		return c.atKey("name", "%q is none of the [[machine]]s", s.Name)
	}
	if own.Region != s.Region {
		return c.atKey("region", "%q, but the [[machine]] %s stands in %q", s.Region, s.Name, own.Region)
	}
	return nil
}

func (c *settingsCheck) machines() error {
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
			return c.atMachine(n, "name", "%q stands twice", m.Name)
		}
		names[m.Name] = true
		for _, key := range m.addressKeys() {
			address := m.addressOf(key)
			if err := checkAddress(address); err != nil {
				return c.atMachine(n, key, "%v", err)
			}
			if addresses[address] {
				return c.atMachine(n, key, "%s stands twice", address)
			}
			addresses[address] = true
		}
	}
	return nil
}

// addressKeys are the keys that hold an address, in a fixed order.
func (m *MachineConfig) addressKeys() []string {
	keys := []string{"address"}
	for group := range m.Groups {
		keys = append(keys, "groups."+group)
	}
	slices.Sort(keys)
	return keys
}

func (m *MachineConfig) addressOf(key string) string {
	if key == "address" {
		return m.Address
	}
	return m.Groups[key[len("groups."):]]
}

// groups checks who votes where: all in the fleet's group; in a region's group its own machines and, if there is
// another region, one witness of it.
func (c *settingsCheck) groups() error {
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
				return c.atMachine(n, "groups."+group, "there is no such group")
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

// checkName refuses a name that no scope can have.
func checkName(name string) error {
	_, err := configuration.ParseScope("service/" + name)
	return err
}

func checkAddress(address string) error {
	if _, port, err := net.SplitHostPort(address); err != nil {
		return err
	} else if port == "" {
		return fmt.Errorf("%q has no port", address)
	}
	return nil
}

func (s *Settings) machine(name string) (MachineConfig, bool) {
	for _, m := range s.Machines {
		if m.Name == name {
			return m, true
		}
	}
	return MachineConfig{}, false
}

// regions are all that machines stand in, sorted.
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

// voters are the machines that vote in a group.
func (s *Settings) voters(group string) []MachineConfig {
	var voters []MachineConfig
	for _, m := range s.Machines {
		if m.Groups[group] != "" {
			voters = append(voters, m)
		}
	}
	return voters
}

// members are a group's voters as package replica takes them.
func (s *Settings) members(group string) []replica.Member {
	var members []replica.Member
	for _, m := range s.voters(group) {
		members = append(members, replica.Member{Name: m.Name, Address: m.Groups[group]})
	}
	return members
}

func (s *Settings) tick() time.Duration { return time.Duration(s.TickMs) * time.Millisecond }

func (s *Settings) settle() time.Duration { return time.Duration(s.SettleS * float64(time.Second)) }

func (s *Settings) groupFolder(group string) string { return filepath.Join(s.Folder, group) }
