package quorum

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"lemonrail/internal/duty"
	"lemonrail/internal/strict"
)

// Settings are the contents of deploy/duties.toml.
type Settings struct {
	Fleet  string `toml:"fleet"`  // connections of other fleets are refused
	Folder string `toml:"folder"` // directory of the voter's log and votes
	// Size of the quorum (1, 3, 5 or 7); the first of Seats form it initially, the others are spares.
	Voters    int     `toml:"voters"`
	Drift     float64 `toml:"drift"`      // share by which one clock may run faster or slower than another
	ActMs     int     `toml:"act_ms"`     // maximum duration of one action under a duty
	TickMs    int     `toml:"tick_ms"`    // raft tick; the election timeout is ten ticks
	ReplaceS  float64 `toml:"replace_s"`  // time for which a voter has to be dead before a spare replaces it; 0: never
	FallbackS float64 `toml:"fallback_s"` // seconds for which agents apply the ramps published last by the holder of PaceDuty; after them each applies its own
	Seats     []struct {
		Name    string `toml:"name"` // name of the agent
		Address string `toml:"address"`
	} `toml:"seat"`
	Duties []struct {
		Name     string   `toml:"name"`
		LeaseMs  int      `toml:"lease_ms"`
		Zone     string   `toml:"zone"`
		Eligible []string `toml:"eligible"`
	} `toml:"duty"`

	seats []seatAddress // Seats, parsed
	specs []duty.Spec   // Duties, checked
}

// seatAddress is the name and the address of an agent with a voter.
type seatAddress struct {
	name string
	addr netip.AddrPort
}

// Names of the duties that agents have tasks for.
const (
	PaceDuty  = "pace"  // its holder publishes the ramps: the share of its load that each returning site takes, which rises to 1
	NotesDuty = "notes" // its holder publishes how many members of the fleet are alive and which are unhealthy
)

const maxSeats = 16 // agents with a voter

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	return ParseSettings(path, raw)
}

// ParseSettings parses and checks settings; file is the file name used in errors.
func ParseSettings(file string, raw []byte) (*Settings, error) {
	s := &Settings{Voters: 3, Drift: 0.01, ActMs: 200, TickMs: 50, ReplaceS: 0, FallbackS: 15}
	if err := strict.Decode(file, raw, s); err != nil {
		return nil, err
	}
	invalid := func(key string, v any) error {
		if line := strict.KeyLine(raw, key); line > 0 {
			return fmt.Errorf("%s: line %d: %s: %v is not a valid value", file, line, key, v)
		}
		return fmt.Errorf("%s: %s: %v is not a valid value", file, key, v)
	}
	switch {
	case !(s.Drift >= 0 && s.Drift < 0.3):
		return nil, invalid("drift", s.Drift)
	case s.ActMs < 1 || s.ActMs > 60000:
		return nil, invalid("act_ms", s.ActMs)
	case s.TickMs < 5 || s.TickMs > 5000:
		return nil, invalid("tick_ms", s.TickMs)
	case !(s.ReplaceS >= 0):
		return nil, invalid("replace_s", s.ReplaceS)
	case !(s.FallbackS > 0):
		return nil, invalid("fallback_s", s.FallbackS)
	case len(s.Seats) == 0 || len(s.Seats) > maxSeats:
		return nil, fmt.Errorf("%s: seat: %d seats are not within 1 and %d", file, len(s.Seats), maxSeats)
	case s.Voters < 1 || s.Voters > 7 || s.Voters%2 == 0 || s.Voters > len(s.Seats):
		return nil, invalid("voters", s.Voters)
	}
	for i, x := range s.Seats {
		invalidSeat := func(key string, v any) error {
			return fmt.Errorf("%s: line %d: seat.%s: %v is not a valid value", file, strict.TableLine(raw, "seat", i), key, v)
		}
		if x.Name == "" || len(x.Name) > duty.MaxNameBytes || slices.ContainsFunc(s.seats, func(p seatAddress) bool { return p.name == x.Name }) {
			return nil, invalidSeat("name", fmt.Sprintf("%q", x.Name))
		}
		addr, err := netip.ParseAddrPort(x.Address)
		if err != nil {
			return nil, invalidSeat("address", fmt.Sprintf("%q", x.Address))
		}
		s.seats = append(s.seats, seatAddress{x.Name, addr})
	}
	for i, x := range s.Duties {
		spec := duty.Spec{Name: x.Name, Lease: time.Duration(x.LeaseMs) * time.Millisecond, Zone: x.Zone, Eligible: x.Eligible}
		err := spec.Check()
		if slices.ContainsFunc(s.specs, func(o duty.Spec) bool { return o.Name == x.Name }) {
			err = fmt.Errorf("name: %q appears twice", x.Name)
		}
		if err == nil && spec.Lease < 4*time.Duration(s.ActMs)*time.Millisecond {
			err = fmt.Errorf("lease_ms: %d is under four times act_ms", x.LeaseMs)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: duty.%w", file, strict.TableLine(raw, "duty", i), err)
		}
		s.specs = append(s.specs, spec)
	}
	return s, nil
}

// maxActTime returns the maximum duration of one action under a duty.
func (s *Settings) maxActTime() time.Duration   { return time.Duration(s.ActMs) * time.Millisecond }
func (s *Settings) tickInterval() time.Duration { return time.Duration(s.TickMs) * time.Millisecond }

// seatAddr returns the address of the named voter; false: the agent is not listed as one.
func (s *Settings) seatAddr(name string) (netip.AddrPort, bool) {
	for _, p := range s.seats {
		if p.name == name {
			return p.addr, true
		}
	}
	return netip.AddrPort{}, false
}

// seatNames returns the names of the agents with a voter, in the order of the settings.
func (s *Settings) seatNames() (all []string) {
	for _, p := range s.seats {
		all = append(all, p.name)
	}
	return all
}
