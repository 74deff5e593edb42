package link

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"time"

	"lemonrail/internal/member"
	"lemonrail/internal/strict"
)

// Settings are the contents of deploy/members.toml, the settings file of the membership.
type Settings struct {
	Fleet     string  `toml:"fleet"`     // datagrams of agents with another fleet name are dropped
	Zone      string  `toml:"zone"`      // zone of this agent; empty: from the agent's own settings
	Expected  int     `toml:"expected"`  // number of agents in the complete fleet; 0: the listed agents
	PeriodMs  int     `toml:"period_ms"` // time between two probes
	PauseMs   int     `toml:"pause_ms"`  // silence after which an agent may be declared dead
	Rate      float64 `toml:"rate"`      // maximum datagrams sent per second
	Folder    string  `toml:"folder"`    // existing folder in which the start counter is stored; empty: it is derived from the clock only
	Strangers bool    `toml:"strangers"` // agents that are not listed may join
	Listen    string  `toml:"listen"`    // address for peer traffic if the platform gives none
	Advertise string  `toml:"advertise"` // address announced to agents that don't list this one; empty: listen
	Members   []struct {
		Name    string `toml:"name"`
		Zone    string `toml:"zone"`
		Address string `toml:"address"`
	} `toml:"member"` // the fleet if the platform gives no peer list; this agent included

	listed     []Listed       // Members, checked
	listenAddr netip.AddrPort // Listen; invalid if empty
	advertised netip.AddrPort // Advertise, or Listen if that is empty; invalid if both are
}

// Listed is an agent in the list of the settings file.
type Listed struct {
	member.Peer
	Address netip.AddrPort
}

// ReadSettings reads and checks the settings file at path.
func ReadSettings(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	return ParseSettings(path, raw)
}

// ParseSettings parses and checks settings; file is the name used in errors.
func ParseSettings(file string, raw []byte) (*Settings, error) {
	d := member.DefaultConfig()
	s := &Settings{PeriodMs: int(d.Period / time.Millisecond), PauseMs: int(d.Pause / time.Millisecond), Rate: d.Rate}
	if err := strict.Decode(file, raw, s); err != nil {
		return nil, err
	}
	keyError := func(key string, err error) error {
		if line := strict.KeyLine(raw, key); line > 0 {
			return fmt.Errorf("%s: line %d: %s: %w", file, line, key, err)
		}
		return fmt.Errorf("%s: %s: %w", file, key, err)
	}
	var err error
	if s.listenAddr, err = address(s.Listen); err != nil {
		return nil, keyError("listen", err)
	}
	if s.advertised, err = address(s.Advertise); err != nil {
		return nil, keyError("advertise", err)
	}
	if !s.advertised.IsValid() {
		s.advertised = s.listenAddr
	}
	ids, addresses := map[member.ID]string{}, map[netip.AddrPort]string{}
	for i, m := range s.Members {
		memberError := func(key string, err error) error {
			return fmt.Errorf("%s: line %d: member.%s: %w", file, strict.TableLine(raw, "member", i), key, err)
		}
		a, err := address(m.Address)
		id := member.NameID(m.Name)
		switch {
		case m.Name == "":
			return nil, memberError("name", errors.New("missing"))
		case err != nil:
			return nil, memberError("address", err)
		case !a.IsValid():
			return nil, memberError("address", errors.New("missing"))
		case ids[id] != "":
			return nil, memberError("name", fmt.Errorf("%q is a duplicate of %q, or their name hashes collide", m.Name, ids[id]))
		case addresses[a] != "":
			return nil, memberError("address", fmt.Errorf("%v is already used by %q", a, addresses[a]))
		}
		ids[id], addresses[a] = m.Name, m.Name
		s.listed = append(s.listed, Listed{member.Peer{ID: id, Name: m.Name, Zone: m.Zone}, a})
	}
	if len(s.listed) > 0 && !s.listenAddr.IsValid() {
		return nil, keyError("listen", errors.New("required if members are listed"))
	}
	if s.Strangers && !s.advertised.IsValid() {
		return nil, keyError("strangers", errors.New("requires advertise or listen, which give the address to announce"))
	}
	if s.Folder != "" {
		if st, err := os.Stat(s.Folder); err != nil {
			return nil, keyError("folder", err)
		} else if !st.IsDir() {
			return nil, keyError("folder", fmt.Errorf("%s is not a directory", s.Folder))
		}
	}
	for key, check := range map[string]func(*member.Config){
		"expected": func(c *member.Config) { c.Expected = s.Expected }, "period_ms": func(c *member.Config) { c.Period = s.period() },
		"zone": func(c *member.Config) { c.Zone = s.Zone },
	} {
		c := d
		check(&c)
		c.Pause, c.Rate = max(c.Pause, time.Minute), 1e6
		if err := c.Check(); err != nil {
			return nil, keyError(key, err)
		}
	}
	c := s.config()
	if err := c.Check(); err != nil {
		key := "pause_ms"
		if c.Rate < 4/c.Period.Seconds() || !(c.Rate >= 0) {
			key = "rate"
		}
		return nil, keyError(key, err)
	}
	return s, nil
}

// period returns PeriodMs as a duration.
func (s *Settings) period() time.Duration { return time.Duration(s.PeriodMs) * time.Millisecond }

// config returns the member settings, without the agent's identity.
func (s *Settings) config() member.Config {
	c := member.DefaultConfig()
	c.Expected, c.Period, c.Pause, c.Rate, c.Strangers = s.Expected, s.period(), time.Duration(s.PauseMs)*time.Millisecond, s.Rate, s.Strangers
	c.Zone = s.Zone
	if s.Fleet != "" {
		h := fnv.New32a()
		h.Write([]byte(s.Fleet))
		c.Fleet = uint16(h.Sum32() ^ h.Sum32()>>16)
	}
	return c
}

// List returns the agents listed in the file; empty if the platform's list is used.
func (s *Settings) List() []Listed { return s.listed }

// ListenAddr returns the address to listen on if the file lists the agents; invalid: use the platform's.
func (s *Settings) ListenAddr() netip.AddrPort { return s.listenAddr }

// address parses an IPv4 address with a port; the result is invalid if text is empty.
func address(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, err
	}
	if !a.Addr().Is4() || a.Port() == 0 {
		return a, fmt.Errorf("%v is not an IPv4 address with a port", a)
	}
	return a, nil
}
