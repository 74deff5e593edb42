package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/duty/seat"
	"lemonrail/internal/explain"
	"lemonrail/internal/member/link"
	"lemonrail/internal/roster"
	"lemonrail/internal/wire"
)

// Config is what the platform tells an agent.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Control   netip.AddrPort // where staff call; invalid: nowhere
	ListenFD  int            // descriptor of the clients' listener, where the platform holds it; 0: Listen says where
	SharedDir string         // folder that the processes of this agent share, one replacing the other; empty: there is one only
	Seed      uint64
	MemoryMB  int64 // limit on memory; 0: none told
	Sockets   int   // limit on file descriptors; 0: none told

	PeerListen netip.AddrPort   // invalid where agents don't talk
	Peers      []netip.AddrPort // by the agents' numbers
	PeersAll   netip.AddrPort

	Settings balance.Settings
	Names    wire.Names
	Known    roster.List

	Explain explain.Config // whether decisions are explained, and where

	diameter     *relay.Rules // nil: the agent speaks none
	diameterFrom int          // place of its classes

	members *link.Settings // nil: no view of the fleet is kept
	sites   *sitesSet      // nil: whole sites are not watched
	duties  *seat.Settings // nil: none are held

	configuration *configurationSet // nil: settings are those of the start

	servers  string        // file that lists the backends; empty: discovery does
	path     string        // of the file
	stay     time.Duration // after a stop, for which connections are kept and served
	linger   time.Duration // after a stop, for which the listener stays open at the least
	crossing time.Duration // once idle connections have been closed, for which it does
	answerBy time.Duration // after a stop, by which all has been answered

	firstListWait time.Duration // after a start, for which discovery is waited for before the first client is taken
}

// ReadConfig reads and checks the file at path.
func ReadConfig(path string) (*Config, error) {
	cfg, err := readConfig(path)
	if err == nil && !cfg.Discovery.IsValid() {
		err = fmt.Errorf("configuration %s: %w", path, errNoDiscovery)
	}
	if err != nil {
		return nil, err
	}
	return cfg, nil
}

// ReadListedConfig is ReadConfig where a file lists the servers, so that no discovery is needed.
func ReadListedConfig(path, servers string) (*Config, error) {
	cfg, err := readConfig(path)
	if err != nil {
		return nil, err
	}
	if cfg.Known, err = roster.ReadServers(servers, cfg.Names); err != nil {
		return nil, fmt.Errorf("list of servers: %w", err)
	}
	cfg.servers = servers
	return cfg, nil
}

var errNoDiscovery = errors.New("discovery: missing")

func readConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := parseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	cfg.path = path
	return cfg, nil
}

func parseConfig(raw []byte) (*Config, error) {
	var f struct {
		Name      string         `json:"name"`
		Listen    netip.AddrPort `json:"listen"`
		Discovery netip.AddrPort `json:"discovery"`
		Control   netip.AddrPort `json:"control"`
		Seed      string         `json:"seed"`
		Limits    struct {
			MemoryMB int64 `json:"memory_mb"`
			Sockets  int   `json:"sockets"`
		} `json:"limits"`
		PeerListen netip.AddrPort   `json:"peer_listen"`
		Peers      []netip.AddrPort `json:"peers"`
		PeersAll   netip.AddrPort   `json:"peers_all"`
		Known      roster.List      `json:"known"`
		Settings   json.RawMessage  `json:"settings"`
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	switch {
	case !f.Listen.IsValid():
		return nil, errors.New("listen: missing")
	case f.Settings == nil:
		return nil, errors.New("settings: missing")
	case f.Limits.MemoryMB < 0 || f.Limits.Sockets < 0:
		return nil, errors.New("limits: negative")
	case f.Limits.Sockets > 0 && f.Limits.Sockets < 2*reservedSockets:
		return nil, fmt.Errorf("limits: %d sockets are too few, %d needed", f.Limits.Sockets, 2*reservedSockets)
	}
	cfg := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Control: f.Control,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		PeerListen: f.PeerListen, Peers: f.Peers, PeersAll: f.PeersAll, Known: f.Known}
	var err error
	if cfg.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if cfg.Settings, cfg.Names, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, err
	}
	if _, err := balance.New(cfg.Settings, cfg.Seed); err != nil {
		return nil, err
	}
	cfg.stay, cfg.linger, cfg.answerBy = planStop(&cfg.Settings)
	cfg.crossing = planCrossing(cfg.stay, cfg.answerBy)
	cfg.firstListWait = firstListWait
	return cfg, nil
}

// The platform sends SIGKILL no sooner than this after SIGTERM: the longest deadline, killDeadline at
// the most, and killAfter. By killMargin before it all that has come must have been answered.
const (
	killDeadline = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	killMargin   = 250 * time.Millisecond
	stayShare    = 0.8 // of the time until then, for which connections are kept

	// A request that crosses the end of its idle connection comes again on a new one: of the time that is left then,
	// the share for which the listener stays open for it.
	crossShare = 0.5

	// New connections go on coming for up to 0.4 s after a stop, and a request that crosses the end of
	// its idle connection needs another.
	lingering = 600 * time.Millisecond
)

// planStop divides the time that a planned stop leaves. Clients go on using the connections that they
// have for as long as these stay open, and have no other agent: what is closed early is not served.
func planStop(s *balance.Settings) (stay, linger, answerBy time.Duration) {
	answerBy = min(longestDeadline(s), killDeadline) + killAfter - killMargin
	return time.Duration(stayShare * float64(answerBy)), min(lingering, answerBy), answerBy
}

func planCrossing(stay, answerBy time.Duration) time.Duration {
	return time.Duration(crossShare * float64(answerBy-stay))
}

func longestDeadline(s *balance.Settings) (most time.Duration) {
	for _, c := range s.Classes {
		most = max(most, c.Deadline)
	}
	return most
}
