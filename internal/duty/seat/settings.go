package seat

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"lemonrail/internal/duty"
	"lemonrail/internal/strict"
)

// Settings are what deploy/duties.toml says.
type Settings struct {
	Fleet     string  `toml:"fleet"`      // those of another fleet are not heeded
	Folder    string  `toml:"folder"`     // of a seat's log and votes
	Voters    int     `toml:"voters"`     // seats that sit; the first ones begin, the rest are spare
	Drift     float64 `toml:"drift"`      // share by which one clock may run faster or slower than another
	ActMs     int     `toml:"act_ms"`     // that an act under a duty may take
	TickMs    int     `toml:"tick_ms"`    // of the agreement; an election after ten
	ReplaceS  float64 `toml:"replace_s"`  // for which a seat has to be held for dead before a spare one takes its place; 0: never
	FallbackS float64 `toml:"fallback_s"` // without word of a duty, after which agents go by themselves
	Seats     []struct {
		Name    string `toml:"name"` // the agent's
		Address string `toml:"address"`
	} `toml:"seat"`
	Duties []struct {
		Name     string   `toml:"name"`
		LeaseMs  int      `toml:"lease_ms"`
		Zone     string   `toml:"zone"`
		Eligible []string `toml:"eligible"`
	} `toml:"duty"`

	seats []place
	specs []duty.Spec
}

// place is a seat's name and address.
type place struct {
	name string
	addr netip.AddrPort
}

// Names of the duties that agents have tasks for.
const (
	PaceDuty  = "pace"  // of a site's return
	NotesDuty = "notes" // keeper of the fleet's
)

const seatsMost = 16

// ReadSettings reads and checks a file.
func ReadSettings(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	return ParseSettings(path, raw)
}

// ParseSettings is ReadSettings for text; file is what errors call it.
func ParseSettings(file string, raw []byte) (*Settings, error) {
	s := &Settings{Voters: 3, Drift: 0.01, ActMs: 200, TickMs: 50, ReplaceS: 0, FallbackS: 15}
	if err := strict.Decode(file, raw, s); err != nil {
		return nil, err
	}
	wrong := func(key string, v any) error {
		if line := strict.Key(raw, key); line > 0 {
			return fmt.Errorf("%s: line %d: %s: %v makes no sense", file, line, key, v)
		}
		return fmt.Errorf("%s: %s: %v makes no sense", file, key, v)
	}
	switch {
	case !(s.Drift >= 0 && s.Drift < 0.3):
		return nil, wrong("drift", s.Drift)
	case s.ActMs < 1 || s.ActMs > 60000:
		return nil, wrong("act_ms", s.ActMs)
	case s.TickMs < 5 || s.TickMs > 5000:
		return nil, wrong("tick_ms", s.TickMs)
	case !(s.ReplaceS >= 0):
		return nil, wrong("replace_s", s.ReplaceS)
	case !(s.FallbackS > 0):
		return nil, wrong("fallback_s", s.FallbackS)
	case len(s.Seats) == 0 || len(s.Seats) > seatsMost:
		return nil, fmt.Errorf("%s: seat: %d seats are not within 1 and %d", file, len(s.Seats), seatsMost)
	case s.Voters < 1 || s.Voters > 7 || s.Voters%2 == 0 || s.Voters > len(s.Seats):
		return nil, wrong("voters", s.Voters)
	}
	for i, x := range s.Seats {
		bad := func(key string, v any) error {
			return fmt.Errorf("%s: line %d: seat.%s: %v makes no sense", file, strict.Table(raw, "seat", i), key, v)
		}
		if x.Name == "" || len(x.Name) > duty.NameMost || slices.ContainsFunc(s.seats, func(p place) bool { return p.name == x.Name }) {
			return nil, bad("name", fmt.Sprintf("%q", x.Name))
		}
		addr, err := netip.ParseAddrPort(x.Address)
		if err != nil {
			return nil, bad("address", fmt.Sprintf("%q", x.Address))
		}
		s.seats = append(s.seats, place{x.Name, addr})
	}
	for i, x := range s.Duties {
		spec := duty.Spec{Name: x.Name, Lease: time.Duration(x.LeaseMs) * time.Millisecond, Zone: x.Zone, Eligible: x.Eligible}
		err := spec.Check()
		if slices.ContainsFunc(s.specs, func(o duty.Spec) bool { return o.Name == x.Name }) {
			err = fmt.Errorf("name: %q stands twice", x.Name)
		}
		if err == nil && spec.Lease < 4*time.Duration(s.ActMs)*time.Millisecond {
			err = fmt.Errorf("lease_ms: %d is under four times act_ms", x.LeaseMs)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: duty.%w", file, strict.Table(raw, "duty", i), err)
		}
		s.specs = append(s.specs, spec)
	}
	return s, nil
}

func (s *Settings) act() time.Duration  { return time.Duration(s.ActMs) * time.Millisecond }
func (s *Settings) tick() time.Duration { return time.Duration(s.TickMs) * time.Millisecond }

// seat is the address of a seat; false: the agent has none.
func (s *Settings) seat(name string) (netip.AddrPort, bool) {
	for _, p := range s.seats {
		if p.name == name {
			return p.addr, true
		}
	}
	return netip.AddrPort{}, false
}

func (s *Settings) names() (all []string) {
	for _, p := range s.seats {
		all = append(all, p.name)
	}
	return all
}
