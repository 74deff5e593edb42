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
	"lemonrail/internal/duty/quorum"
	"lemonrail/internal/explain"
	"lemonrail/internal/member/link"
	"lemonrail/internal/roster"
	"lemonrail/internal/wire"
)

// Config is an agent's configuration, as the platform and the optional files give it.
type Config struct {
	Name      string         // the agent's name
	Listen    netip.AddrPort // where clients connect
	Discovery netip.AddrPort // the discovery service; invalid: none, if a file lists the backends
	Control   netip.AddrPort // where operators call; invalid: no control API
	ListenFD  int            // inherited descriptor of the clients' listener; 0: open Listen instead
	SharedDir string         // folder shared by the processes of this agent while one replaces another; empty: there is only one process
	Seed      uint64         // seed of the agent's random choices
	MemoryMB  int64          // limit on the agent's memory, in megabytes of 2^20 bytes; 0: unknown
	Sockets   int            // limit on file descriptors; 0: unknown

	PeerListen netip.AddrPort   // invalid: no peer messages
	Peers      []netip.AddrPort // indexed by the agents' numbers
	PeersAll   netip.AddrPort   // address that reaches all agents of the tier

	Settings balance.Settings
	Names    wire.Names  // names of the classes, tenants, zones and kinds of backends that Settings knows by index
	Known    roster.List // backends to use until discovery sends a list

	Explain explain.Config // whether decisions are explained, and where they are written

	diameter            *relay.Rules // nil: the agent does not speak Diameter
	diameterClassOffset int          // index in Settings.Classes of the first class of Diameter, after the platform's classes

	members *link.Settings   // nil: the agent takes no part in the membership
	sites   *sitesSettings   // nil: whole sites are not watched
	duties  *quorum.Settings // nil: the agent takes no part in duties

	configuration *configurationSettings // nil: settings do not change while the agent runs

	serversFile     string        // file that lists the backends; empty: discovery provides the list
	path            string        // path of the configuration file
	drainDelay      time.Duration // after a stop begins: connections are kept and served for this long
	minListenTime   time.Duration // after a stop begins: the listener stays open at least this long
	reconnectWindow time.Duration // after idle connections are closed: the listener stays open for this long
	answerTimeout   time.Duration // after a stop begins: all requests are answered within this time

	firstListTimeout time.Duration // after a start: the first client waits at most this long for discovery's first list
}

// ReadConfig reads and checks the configuration file at path.
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

// ReadConfigWithServers is ReadConfig for an agent whose backends are listed in the file servers; discovery is not required.
func ReadConfigWithServers(path, servers string) (*Config, error) {
	cfg, err := readConfig(path)
	if err != nil {
		return nil, err
	}
	if cfg.Known, err = roster.ReadServers(servers, cfg.Names); err != nil {
		return nil, fmt.Errorf("list of servers: %w", err)
	}
	cfg.serversFile = servers
	return cfg, nil
}

// errNoDiscovery is why ReadConfig refuses a configuration without a discovery service.
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
	cfg.drainDelay, cfg.minListenTime, cfg.answerTimeout = planStop(&cfg.Settings)
	cfg.reconnectWindow = planReconnectWindow(cfg.drainDelay, cfg.answerTimeout)
	cfg.firstListTimeout = defaultFirstListTimeout
	return cfg, nil
}

// The platform sends SIGKILL no sooner than this after SIGTERM: the longest deadline, counted as maxCountedDeadline at
// most, plus killDelay. All requests must be answered answerMargin before that.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	answerMargin       = 250 * time.Millisecond
	drainDelayShare    = 0.8 // share of the time for answers for which clients' connections are kept after a stop begins

	// A request that races with the close of its idle connection is sent again on a new connection: the listener stays
	// open for it for this share of the time that is left once idle connections are closed.
	reconnectShare = 0.5

	// After a stop begins the listener stays open at least this long: new connections keep coming for up to 0.4 s, and a request
	// that races with the close of its idle connection needs another one.
	defaultMinListenTime = 600 * time.Millisecond
)

// planStop divides the time of a planned stop, from SIGTERM on: clients' connections are kept and served for drainDelay, the
// listener stays open for at least minListenTime, and all requests are answered within answerTimeout. Connections are kept
// long because clients use those that they hold while these are open, and have no other agent: requests on a connection
// that is closed early are not served.
func planStop(s *balance.Settings) (drainDelay, minListenTime, answerTimeout time.Duration) {
	answerTimeout = min(longestDeadline(s), maxCountedDeadline) + killDelay - answerMargin
	return time.Duration(drainDelayShare * float64(answerTimeout)), min(defaultMinListenTime, answerTimeout), answerTimeout
}

// planReconnectWindow returns how long the listener stays open after idle connections have been closed.
func planReconnectWindow(drainDelay, answerTimeout time.Duration) time.Duration {
	return time.Duration(reconnectShare * float64(answerTimeout-drainDelay))
}

// longestDeadline returns the longest deadline of all classes.
func longestDeadline(s *balance.Settings) (longest time.Duration) {
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}
