// Package relay holds the rules and the state of a Diameter relay: which requests are relayed and which class
// they have (Rules), which ones are resends of an earlier request (Table), and which attempt an answer on a
// server's connection belongs to (Window). It does no I/O, has no clock and must be used by one goroutine at
// a time; the decision module still picks servers, retries and refuses.
//
// Bounds: a Table holds at most MaxPending requests of MaxPendingBytes in total with MaxWaiters connections each, MaxKept answers of
// MaxKeptBytes in total, and MaxRecorded answered requests that must not run again; a Window holds a fixed number of attempts.
package relay

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/diameter"
	"lemonrail/internal/strict"
)

// Config is the content of a relay's configuration file, such as deploy/diameter.toml.
type Config struct {
	Listen      string   `toml:"listen"`      // address and port for clients
	Identity    string   `toml:"identity"`    // the relay's own, for Origin-Host and Route-Record
	Realm       string   `toml:"realm"`       // the relay's own, for Origin-Realm
	Connections int      `toml:"connections"` // maximum number of client connections; 0: 256
	Window      int      `toml:"window"`      // maximum number of pending requests on a server's connection; 0: 64
	Servers     []Server `toml:"server"`
	Peers       []Peer   `toml:"peer"`
	Routes      []Route  `toml:"route"`
	Classes     []Class  `toml:"class"`
}

// Server gives the Diameter address or identity of a backend, where the address in the balancer's list of
// backends isn't enough.
type Server struct {
	Host     string `toml:"host"`     // ID of the backend in that list
	Address  string `toml:"address"`  // Diameter address and port; empty: the address in the list
	Identity string `toml:"identity"` // the Destination-Host for this server; empty: the Origin-Host of its CEA
}

const (
	defaultConnections = 256
	defaultWindow      = 64
	maxConfigured      = 1 << 16 // upper bound of Connections and of Window
)

// Peer is a client that is allowed to connect.
type Peer struct {
	Identity string `toml:"identity"` // Origin-Host of its CER
	Address  string `toml:"address"`  // IP address of the client; empty: any
}

// Route names a realm and an application whose requests are relayed to the servers.
type Route struct {
	Realm       string `toml:"realm"`
	Application uint32 `toml:"application"`
}

// Class selects requests and defines how they are balanced. The first matching class of the file applies.
type Class struct {
	Name        string `toml:"name"`         // for error messages
	Application uint32 `toml:"application"`  // application ID of the requests
	Command     uint32 `toml:"command"`      // command code of the requests
	RequestType uint32 `toml:"request_type"` // CC-Request-Type of the requests; 0: any
	Action      *int64 `toml:"action"`       // Requested-Action of the requests; absent: any
	AimMs       int64  `toml:"aim_ms"`       // time in milliseconds within which an answer earns the full worth
	DeadlineMs  int64  `toml:"deadline_ms"`  // time in milliseconds for which a client waits, over all attempts
	Effect      string `toml:"effect"`       // safe, keyed or unsafe
	Group       string `toml:"group"`        // for keyed: the servers among which a repeat is dropped: all, zone or cell
	WindowMs    int64  `toml:"window_ms"`    // for keyed: time in milliseconds after the first send for which servers drop repeats
}

var (
	effects = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	// groups are the values of Class.Group in the file.
	groups = map[string]balance.Group{"all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell}
)

// Rules is a validated Config.
type Rules struct {
	cfg            Config
	addressByHost  map[string]string // of each configured server, by backend ID; empty: the address in the list
	hostByIdentity map[string]string // backend IDs by configured Diameter identity in lower case
	// Classes are the decision module's classes, in the order of the file. The last one is for requests that
	// match no class: unsafe, so that they are never sent twice.
	Classes []balance.Class
}

// fallbackDeadline is the minimum deadline of the class for requests that match no other class. Its deadline
// is at least the longest one in the file.
const fallbackDeadline = 5 * time.Second

// ReadRules reads and validates a configuration file.
func ReadRules(path string) (*Rules, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseRules(path, raw)
}

// ParseRules validates the text of a configuration file. Errors name the file, the line and the key.
func ParseRules(file string, raw []byte) (*Rules, error) {
	r := &Rules{}
	if err := strict.Decode(file, raw, &r.cfg); err != nil {
		return nil, err
	}
	c := &r.cfg
	for key, v := range map[string]string{"identity": c.Identity, "realm": c.Realm} {
		if !validIdentity(v) {
			return nil, fmt.Errorf("%s: %s: %q is not a valid host or realm name", file, key, v)
		}
	}
	invalid := func(table string, i int, key string, v any, what string) error {
		return fmt.Errorf("%s: line %d: %s.%s: %v %s", file, strict.TableLine(raw, table, i), table, key, v, what)
	}
	for i, p := range c.Peers {
		if !validIdentity(p.Identity) {
			return nil, invalid("peer", i, "identity", fmt.Sprintf("%q", p.Identity), "is not a valid host name")
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); c.Listen != "" && err != nil {
		return nil, fmt.Errorf("%s: listen: %w", file, err)
	}
	for key, v := range map[string]*int{"connections": &c.Connections, "window": &c.Window} {
		if *v < 0 || *v > maxConfigured {
			return nil, fmt.Errorf("%s: %s: %d is not between 0 and 65536", file, key, *v)
		}
	}
	c.Connections, c.Window = cmp.Or(c.Connections, defaultConnections), cmp.Or(c.Window, defaultWindow)
	r.addressByHost, r.hostByIdentity = map[string]string{}, map[string]string{}
	for i, v := range c.Servers {
		if _, err := netip.ParseAddrPort(v.Address); err != nil && v.Address != "" {
			return nil, invalid("server", i, "address", fmt.Sprintf("%q", v.Address), "is not an IP address with a port")
		}
		if v.Host == "" || slices.ContainsFunc(c.Servers[:i], func(o Server) bool { return o.Host == v.Host }) {
			return nil, invalid("server", i, "host", fmt.Sprintf("%q", v.Host), "is empty or used twice")
		}
		if v.Address == "" && v.Identity == "" {
			return nil, invalid("server", i, "host", fmt.Sprintf("%q", v.Host), "has neither address nor identity")
		}
		r.addressByHost[v.Host] = v.Address
		if name := strings.ToLower(v.Identity); v.Identity != "" {
			if !validIdentity(v.Identity) || r.hostByIdentity[name] != "" {
				return nil, invalid("server", i, "identity", fmt.Sprintf("%q", v.Identity), "is not a valid host name or is used twice")
			}
			r.hostByIdentity[name] = v.Host
		}
	}
	for i, t := range c.Routes {
		if !validIdentity(t.Realm) {
			return nil, invalid("route", i, "realm", fmt.Sprintf("%q", t.Realm), "is not a valid realm name")
		}
		if t.Application == diameter.AppBase || t.Application == diameter.AppRelay {
			return nil, invalid("route", i, "application", t.Application, "is not an application that requests can be routed by")
		}
	}
	fallback := balance.Class{Deadline: fallbackDeadline, Effect: balance.Unsafe, Worth: 1}
	for i, k := range c.Classes {
		b := balance.Class{Aim: time.Duration(k.AimMs) * time.Millisecond, Deadline: time.Duration(k.DeadlineMs) * time.Millisecond,
			Worth: 1, Window: time.Duration(k.WindowMs) * time.Millisecond}
		var known bool
		switch {
		case k.Name == "" || slices.ContainsFunc(c.Classes[:i], func(o Class) bool { return o.Name == k.Name }):
			return nil, invalid("class", i, "name", fmt.Sprintf("%q", k.Name), "is empty or used twice")
		case k.Command == 0:
			return nil, invalid("class", i, "command", k.Command, "is not a command code")
		case k.AimMs <= 0 || k.AimMs > 3600_000:
			return nil, invalid("class", i, "aim_ms", k.AimMs, "is not between 1 and 3600000")
		case k.DeadlineMs < k.AimMs || k.DeadlineMs > 3600_000:
			return nil, invalid("class", i, "deadline_ms", k.DeadlineMs, "is below aim_ms or above 3600000")
		}
		if b.Effect, known = effects[k.Effect]; !known {
			return nil, invalid("class", i, "effect", fmt.Sprintf("%q", k.Effect), "is not safe, keyed or unsafe")
		}
		if b.Effect == balance.Keyed {
			if b.Group, known = groups[k.Group]; !known {
				return nil, invalid("class", i, "group", fmt.Sprintf("%q", k.Group), "is not all, zone or cell")
			}
			if k.WindowMs <= 0 {
				return nil, invalid("class", i, "window_ms", k.WindowMs, "is not positive")
			}
		} else if k.Group != "" || k.WindowMs != 0 {
			return nil, invalid("class", i, "group", fmt.Sprintf("%q", k.Group), "and window_ms are allowed for keyed only")
		}
		fallback.Deadline = max(fallback.Deadline, b.Deadline)
		r.Classes = append(r.Classes, b)
	}
	fallback.Aim = fallback.Deadline
	r.Classes = append(r.Classes, fallback)
	return r, nil
}

// validIdentity reports whether v is accepted as a host or realm name (RFC 6733, 4.3.1).
func validIdentity(v string) bool {
	return v != "" && len(v) <= 255 && !strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' })
}

// equalNames compares host or realm names, which are case-insensitive.
func equalNames(a, b string) bool { return strings.EqualFold(a, b) }

// AllowsPeer reports whether a client with an identity and an IP address may connect; otherwise it gets
// result 3010.
func (r *Rules) AllowsPeer(name, machine string) bool {
	return slices.ContainsFunc(r.cfg.Peers, func(p Peer) bool {
		return equalNames(p.Identity, name) && (p.Address == "" || p.Address == machine)
	})
}

// Config returns the content of the file with defaults filled in.
func (r *Rules) Config() Config { return r.cfg }

// Address returns the Diameter address of a backend: the configured one, or else listed, its address in the
// balancer's list.
func (r *Rules) Address(host, listed string) string { return cmp.Or(r.addressByHost[host], listed) }

// Limits returns the limits for these rules in a process that may use that much memory; 0: unknown. Answered requests are
// recorded for at least as long as their clients may wait, and so resend them.
func (r *Rules) Limits(memory int64) Limits {
	limits := DefaultLimits().WithMemory(memory)
	for _, c := range r.Classes {
		limits.KeepFor = max(limits.KeepFor, c.Deadline)
	}
	return limits
}

// HostByIdentity returns the ID of the backend for which the file gives a Diameter identity.
func (r *Rules) HostByIdentity(identity string) (host string, ok bool) {
	host, ok = r.hostByIdentity[strings.ToLower(identity)]
	return host, ok
}

// IdentityOf returns the Diameter identity that the file gives for a backend; empty: any.
func (r *Rules) IdentityOf(host string) string {
	for _, s := range r.cfg.Servers {
		if s.Host == host {
			return s.Identity
		}
	}
	return ""
}

// DestinationHost returns the server that a request names, or "" if any server may answer it.
func (r *Rules) DestinationHost(m *diameter.Message) string {
	return identityAVP(m, diameter.CodeDestinationHost)
}

// Applications returns the routed applications, for the capabilities exchange.
func (r *Rules) Applications() (list []uint32) {
	for _, t := range r.cfg.Routes {
		if !slices.Contains(list, t.Application) {
			list = append(list, t.Application)
		}
	}
	return list
}

// identityAVP returns the host or realm name in an AVP of a message, or "" if it is missing or invalid.
func identityAVP(m *diameter.Message, code uint32) string {
	if a := diameter.Find(m.AVPs, code, 0); a != nil {
		if v, err := a.Identity(); err == nil {
			return v
		}
	}
	return ""
}

// CheckRequest returns nil if a request from a client is to be relayed, otherwise an error with the
// Result-Code and the Error-Message of the answer. A rejected request has not reached any server.
func (r *Rules) CheckRequest(m *diameter.Message) *diameter.Error {
	refuse := func(code uint32, format string, args ...any) *diameter.Error {
		return &diameter.Error{Result: code, Text: fmt.Sprintf(format, args...)}
	}
	for i := range m.AVPs {
		a := &m.AVPs[i]
		if a.Code != diameter.CodeRouteRecord || a.Vendor != 0 {
			continue
		}
		// A loop of relays would otherwise forward a request until its deadline.
		if v, err := a.Identity(); err == nil && equalNames(v, r.cfg.Identity) {
			return refuse(diameter.LoopDetected, "it has been here before")
		}
	}
	if m.Flags&diameter.FlagProxiable == 0 {
		return refuse(diameter.UnableToDeliver, "it may not be relayed, and nothing here answers it")
	}
	if host := identityAVP(m, diameter.CodeDestinationHost); equalNames(host, r.cfg.Identity) {
		return refuse(diameter.UnableToDeliver, "it is for this relay, which answers none itself")
	}
	if identityAVP(m, diameter.CodeOriginHost) == "" {
		return refuse(diameter.MissingAVP, "Origin-Host is missing")
	}
	realm := identityAVP(m, diameter.CodeDestinationRealm)
	if realm == "" {
		return refuse(diameter.MissingAVP, "Destination-Realm is missing")
	}
	served := false
	for _, t := range r.cfg.Routes {
		if equalNames(t.Realm, realm) {
			if t.Application == m.Application {
				return nil
			}
			served = true
		}
	}
	if served {
		return refuse(diameter.ApplicationUnsupported, "application %d is not routed for %s", m.Application, realm)
	}
	return refuse(diameter.RealmNotServed, "no route for %s", realm)
}

// Classify returns the index in Classes of a request's class.
func (r *Rules) Classify(m *diameter.Message) int {
	value := func(code uint32) (int64, bool) {
		if a := diameter.Find(m.AVPs, code, 0); a != nil {
			if v, err := a.Uint32(); err == nil {
				return int64(v), true
			}
		}
		return 0, false
	}
	for i, c := range r.cfg.Classes {
		if c.Application != m.Application || c.Command != m.Command {
			continue
		}
		if kind, _ := value(diameter.CodeCCRequestType); c.RequestType != 0 && kind != int64(c.RequestType) {
			continue
		}
		if action, present := value(diameter.CodeRequestedAction); c.Action != nil && (!present || action != *c.Action) {
			continue
		}
		return i
	}
	return len(r.cfg.Classes)
}

// Forward returns a client's request as it is sent to a server: with a Route-Record that names the client
// (from), and the attempt's Hop-by-Hop identifier (hop). again sets the T bit, since an earlier attempt may
// have run. A T bit that the client has set is kept.
func (r *Rules) Forward(m *diameter.Message, from string, hop uint32, again bool) *diameter.Message {
	out := *m
	out.HopByHop = hop
	if again {
		out.Flags |= diameter.FlagRetransmitted
	}
	out.AVPs = append(slices.Clip(slices.Clone(m.AVPs)), diameter.Str(diameter.CodeRouteRecord, from))
	return &out
}

// LocalAnswer returns the relay's own answer to a request, with the E bit set for protocol errors (3xxx).
func (r *Rules) LocalAnswer(m *diameter.Message, code uint32, why string) *diameter.Message {
	a := m.Answer()
	if code/1000 == 3 {
		a.Flags |= diameter.FlagError
	}
	if s := diameter.Find(m.AVPs, diameter.CodeSessionID, 0); s != nil {
		a.AVPs = append([]diameter.AVP{*s}, a.AVPs...)
	}
	a.AVPs = append(a.AVPs, diameter.U32(diameter.CodeResultCode, code), diameter.Str(diameter.CodeOriginHost, r.cfg.Identity),
		diameter.Str(diameter.CodeOriginRealm, r.cfg.Realm))
	if why != "" {
		a.AVPs = append(a.AVPs, diameter.WithoutMandatory(diameter.Str(diameter.CodeErrorMessage, why)))
	}
	return a
}
