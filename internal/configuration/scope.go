package configuration

import (
	"fmt"
	"strings"
)

// Level is the kind of a scope. Narrower levels have higher values, and their documents override those of
// wider ones.
type Level uint8

// The levels, from the widest to the narrowest.
const (
	LevelFleet Level = iota
	LevelRegion
	LevelZone
	LevelService
	LevelAgent
	levelCount
)

var levelNames = [levelCount]string{"fleet", "region", "zone", "service", "agent"}

func (l Level) String() string {
	if l < levelCount {
		return levelNames[l]
	}
	return fmt.Sprintf("level %d", uint8(l))
}

// Scope is the part of the fleet that a document applies to. It is comparable. Its texts are:
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

// Fleet is the widest scope, which applies to all agents.
var Fleet = Scope{Level: LevelFleet}

// ParseScope parses the text of a scope.
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

// checkName refuses names that don't fit in paths and logs.
func checkName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("name %q has %d bytes, not within 1 and %d", name, len(name), MaxNameBytes)
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

// MarshalText returns the text of the scope, so that JSON can also use scopes as keys.
func (s Scope) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the text of a scope, see ParseScope.
func (s *Scope) UnmarshalText(text []byte) (err error) {
	*s, err = ParseScope(string(text))
	return err
}

// Group returns the name of the group of control machines that writes the scope.
func (s Scope) Group() string {
	if s.Region == "" {
		return FleetGroup
	}
	return RegionGroup(s.Region)
}

// RegionGroup returns the name of the group that writes a region's scopes.
func RegionGroup(region string) string { return regionGroupPrefix + region }

// Place identifies an agent and its location in the fleet.
type Place struct {
	Agent   string `json:"agent"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

// Check returns an error if a name of the place can't be part of a scope.
func (p Place) Check() error {
	for _, f := range []struct{ field, name string }{
		{"agent", p.Agent}, {"region", p.Region}, {"zone", p.Zone}, {"service", p.Service}} {
		if err := checkName(f.name); err != nil {
			return fmt.Errorf("%s: %w", f.field, err)
		}
	}
	return nil
}

// Scopes returns the scopes that apply to an agent, from the widest to the narrowest.
func (p Place) Scopes() []Scope {
	return []Scope{
		Fleet,
		{Level: LevelRegion, Region: p.Region},
		{Level: LevelZone, Region: p.Region, Name: p.Zone},
		{Level: LevelService, Name: p.Service},
		{Level: LevelAgent, Region: p.Region, Name: p.Agent},
	}
}

// AppliesTo reports whether the scope applies to an agent.
func (s Scope) AppliesTo(p Place) bool {
	for _, own := range p.Scopes() {
		if s == own {
			return true
		}
	}
	return false
}
