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

// Settings are what deploy/members.toml says.
type Settings struct {
	Fleet     string  `toml:"fleet"`     // agents of another fleet are not heeded
	Zone      string  `toml:"zone"`      // of this agent; empty: as in the agent's settings
	Expected  int     `toml:"expected"`  // agents when all is well; 0: as many as are listed
	PeriodMs  int     `toml:"period_ms"` // between two probes
	PauseMs   int     `toml:"pause_ms"`  // silence after which an agent may be held for dead
	Rate      float64 `toml:"rate"`      // datagrams a second at the most, sent
	Folder    string  `toml:"folder"`    // keeps the start counter; empty: it follows the clock
	Strangers bool    `toml:"strangers"` // agents that nobody lists may join
	Listen    string  `toml:"listen"`    // where the platform gives the agent no address for its peers
	Advertise string  `toml:"advertise"` // where others reach an agent that they don't list; empty: listen
	Members   []struct {
		Name    string `toml:"name"`
		Zone    string `toml:"zone"`
		Address string `toml:"address"`
	} `toml:"member"` // the fleet, where the platform gives no list of peers; this agent among them

	list   []Listed
	listen netip.AddrPort
	tell   netip.AddrPort
}

// Listed is an agent of the file's list.
type Listed struct {
	member.Peer
	Address netip.AddrPort
}

// ReadSettings reads and checks a file.
func ReadSettings(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	return ParseSettings(path, raw)
}

// ParseSettings is ReadSettings for text; file is what errors call it.
func ParseSettings(file string, raw []byte) (*Settings, error) {
	d := member.DefaultConfig()
	s := &Settings{PeriodMs: int(d.Period / time.Millisecond), PauseMs: int(d.Pause / time.Millisecond), Rate: d.Rate}
	if err := strict.Decode(file, raw, s); err != nil {
		return nil, err
	}
	wrong := func(key string, err error) error {
		if line := strict.Key(raw, key); line > 0 {
			return fmt.Errorf("%s: line %d: %s: %w", file, line, key, err)
		}
		return fmt.Errorf("%s: %s: %w", file, key, err)
	}
	var err error
	if s.listen, err = address(s.Listen); err != nil {
		return nil, wrong("listen", err)
	}
	if s.tell, err = address(s.Advertise); err != nil {
		return nil, wrong("advertise", err)
	}
	if !s.tell.IsValid() {
		s.tell = s.listen
	}
	ids, at := map[member.ID]string{}, map[netip.AddrPort]string{}
	for i, m := range s.Members {
		bad := func(key string, err error) error {
			return fmt.Errorf("%s: line %d: member.%s: %w", file, strict.Table(raw, "member", i), key, err)
		}
		a, err := address(m.Address)
		id := member.NameID(m.Name)
		switch {
		case m.Name == "":
			return nil, bad("name", errors.New("missing"))
		case err != nil:
			return nil, bad("address", err)
		case !a.IsValid():
			return nil, bad("address", errors.New("missing"))
		case ids[id] != "":
			return nil, bad("name", fmt.Errorf("%q is %q again, or their numbers are the same", m.Name, ids[id]))
		case at[a] != "":
			return nil, bad("address", fmt.Errorf("%v is that of %q", a, at[a]))
		}
		ids[id], at[a] = m.Name, m.Name
		s.list = append(s.list, Listed{member.Peer{ID: id, Name: m.Name, Zone: m.Zone}, a})
	}
	if len(s.list) > 0 && !s.listen.IsValid() {
		return nil, wrong("listen", errors.New("missing, though members are listed"))
	}
	if s.Strangers && !s.tell.IsValid() {
		return nil, wrong("strangers", errors.New("they need advertise or listen, to be told where this agent is"))
	}
	if s.Folder != "" {
		if st, err := os.Stat(s.Folder); err != nil {
			return nil, wrong("folder", err)
		} else if !st.IsDir() {
			return nil, wrong("folder", fmt.Errorf("%s is no folder", s.Folder))
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
			return nil, wrong(key, err)
		}
	}
	c := s.config()
	if err := c.Check(); err != nil {
		key := "pause_ms"
		if c.Rate < 4/c.Period.Seconds() || !(c.Rate >= 0) {
			key = "rate"
		}
		return nil, wrong(key, err)
	}
	return s, nil
}

func (s *Settings) period() time.Duration { return time.Duration(s.PeriodMs) * time.Millisecond }

// config is what the file says, without who this agent is.
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

// List is the file's list of agents; empty where the platform's is used.
func (s *Settings) List() []Listed { return s.list }

// ListenAt is where to listen, with a list of the file's; invalid: as the platform says.
func (s *Settings) ListenAt() netip.AddrPort { return s.listen }

func address(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, err
	}
	if !a.Addr().Is4() || a.Port() == 0 {
		return a, fmt.Errorf("%v: an IPv4 address with a port is wanted", a)
	}
	return a, nil
}
