package configuration

import (
	"fmt"
	"strings"
)

// Level says how wide a scope is. Wider ones are smaller, and give way to narrower ones.
type Level uint8

// The levels, from the widest to the narrowest.
const (
	LevelFleet Level = iota
	LevelRegion
	LevelZone
	LevelService
	LevelAgent
	levels
)

var levelNames = [levels]string{"fleet", "region", "zone", "service", "agent"}

func (l Level) String() string {
	if l < levels {
		return levelNames[l]
	}
	return fmt.Sprintf("level %d", uint8(l))
}

// Scope is a part of the fleet that a document holds for. It is comparable.
//
//	fleet
//	region/NAME
//	zone/REGION/NAME
//	service/NAME
//	agent/REGION/NAME
type Scope struct {
	Level  Level
	Region string // of a region, a zone or an agent
	Name   string // of a zone, a service or an agent
}

// Fleet is the widest scope.
var Fleet = Scope{Level: LevelFleet}

// ParseScope reads a scope's text.
func ParseScope(text string) (Scope, error) {
	parts := strings.Split(text, "/")
	for _, name := range parts[1:] {
		if err := checkName(name); err != nil {
			return Scope{}, fmt.Errorf("scope %q: %w", text, err)
		}
	}
	switch {
	case text == "fleet":
		return Fleet, nil
	case parts[0] == "region" && len(parts) == 2:
		return Scope{Level: LevelRegion, Region: parts[1]}, nil
	case parts[0] == "zone" && len(parts) == 3:
		return Scope{Level: LevelZone, Region: parts[1], Name: parts[2]}, nil
	case parts[0] == "service" && len(parts) == 2:
		return Scope{Level: LevelService, Name: parts[1]}, nil
	case parts[0] == "agent" && len(parts) == 3:
		return Scope{Level: LevelAgent, Region: parts[1], Name: parts[2]}, nil
	}
	return Scope{}, fmt.Errorf("scope %q: none of fleet, region/NAME, zone/REGION/NAME, service/NAME and agent/REGION/NAME", text)
}

// checkName refuses names that paths and logs can't carry.
func checkName(name string) error {
	if name == "" || len(name) > NameMost {
		return fmt.Errorf("name %q has %d bytes, not within 1 and %d", name, len(name), NameMost)
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && r != '-' && r != '_' && r != '.' {
			return fmt.Errorf("name %q: %q is none of letters, digits, '-', '_' and '.'", name, r)
		}
	}
	return nil
}

func (s Scope) String() string {
	switch s.Level {
	case LevelFleet:
		return "fleet"
	case LevelRegion:
		return "region/" + s.Region
	case LevelService:
		return "service/" + s.Name
	}
	return s.Level.String() + "/" + s.Region + "/" + s.Name
}

// MarshalText is String, for JSON, also as a key.
func (s Scope) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText is ParseScope.
func (s *Scope) UnmarshalText(text []byte) (err error) {
	*s, err = ParseScope(string(text))
	return err
}

// Group names the group of control machines that writes the scope.
func (s Scope) Group() string {
	if s.Region == "" {
		return FleetGroup
	}
	return RegionGroup(s.Region)
}

// RegionGroup names the group that writes a region's scopes.
func RegionGroup(region string) string { return regionsPrefix + region }

// Place is where an agent stands in the fleet.
type Place struct {
	Agent   string `json:"agent"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

// Check refuses a place with a name that no scope can have.
func (p Place) Check() error {
	for _, f := range []struct{ field, name string }{
		{"agent", p.Agent}, {"region", p.Region}, {"zone", p.Zone}, {"service", p.Service}} {
		if err := checkName(f.name); err != nil {
			return fmt.Errorf("%s: %w", f.field, err)
		}
	}
	return nil
}

// Scopes are those that hold for an agent, from the widest to the narrowest.
func (p Place) Scopes() []Scope {
	return []Scope{
		Fleet,
		{Level: LevelRegion, Region: p.Region},
		{Level: LevelZone, Region: p.Region, Name: p.Zone},
		{Level: LevelService, Name: p.Service},
		{Level: LevelAgent, Region: p.Region, Name: p.Agent},
	}
}

// Holds reports whether the scope holds for an agent.
func (s Scope) Holds(p Place) bool {
	for _, own := range p.Scopes() {
		if s == own {
			return true
		}
	}
	return false
}
