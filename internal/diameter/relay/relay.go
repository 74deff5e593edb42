// Package relay decides for a Diameter relay: which requests are taken and what they are (Rules), which of
// them are one request that was sent again (Table), and which answer belongs to which attempt on a server's
// connection (Window). It does no I/O, has no clock and belongs to one goroutine; the decision module stays
// the one that picks servers, tries again and turns away.
//
// Bounds: a Table holds InHand requests with WaitersMost connections each, and Kept answers of KeptBytes
// together; a Window holds its size.
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

// Config is a file such as deploy/diameter.toml.
type Config struct {
	Listen      string   `toml:"listen"`   // where clients connect
	Identity    string   `toml:"identity"` // ours, as in Origin-Host and Route-Record
	Realm       string   `toml:"realm"`
	Connections int      `toml:"connections"` // of clients at the most; 0: 256
	Window      int      `toml:"window"`      // requests out on a server's connection; 0: 64
	Servers     []Server `toml:"server"`
	Peers       []Peer   `toml:"peer"`
	Routes      []Route  `toml:"route"`
	Classes     []Class  `toml:"class"`
}

// Server is where a backend of the list speaks Diameter, if not at its address in the list.
type Server struct {
	Host     string `toml:"host"`
	Address  string `toml:"address"`  // empty: that in the list
	Identity string `toml:"identity"` // as requests name it in Destination-Host; empty: known once it has been connected to
}

const (
	usualConnections = 256
	usualWindow      = 64
	mostOfEither     = 1 << 16
)

// Peer is a client that may connect.
type Peer struct {
	Identity string `toml:"identity"`
	Address  string `toml:"address"` // of the machine; empty: any
}

// Route is a realm and an application whose requests go to the servers.
type Route struct {
	Realm       string `toml:"realm"`
	Application uint32 `toml:"application"`
}

// Class says what requests of a kind are. The first that fits counts.
type Class struct {
	Name        string `toml:"name"`
	Application uint32 `toml:"application"`
	Command     uint32 `toml:"command"`
	RequestType uint32 `toml:"request_type"` // CC-Request-Type; 0: any
	Action      *int64 `toml:"action"`       // Requested-Action; absent: any
	AimMs       int64  `toml:"aim_ms"`
	DeadlineMs  int64  `toml:"deadline_ms"`
	Effect      string `toml:"effect"` // safe, keyed or unsafe
	Group       string `toml:"group"`  // with keyed, of servers that drop a repeat: all, zone or cell
	WindowMs    int64  `toml:"window_ms"`
}

var (
	effects = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	groups  = map[string]balance.Group{"all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell}
)

// Rules are a checked Config.
type Rules struct {
	cfg     Config
	servers map[string]string // addresses, by host
	named   map[string]string // hosts, by identity
	// Classes are the module's, in the order of the file. The last one is for what no class fits: unsafe.
	Classes []balance.Class
}

// What no class fits has the longest deadline of the file, and this one where it names none.
const otherDeadline = 5 * time.Second

// ReadRules reads and checks a file.
func ReadRules(path string) (*Rules, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseRules(path, raw)
}

// ParseRules checks the text of a file; errors name it, the line and the key.
func ParseRules(file string, raw []byte) (*Rules, error) {
	r := &Rules{}
	if err := strict.Decode(file, raw, &r.cfg); err != nil {
		return nil, err
	}
	c := &r.cfg
	for key, v := range map[string]string{"identity": c.Identity, "realm": c.Realm} {
		if !identity(v) {
			return nil, fmt.Errorf("%s: %s: %q is no host or realm name", file, key, v)
		}
	}
	bad := func(table string, i int, key string, v any, what string) error {
		return fmt.Errorf("%s: line %d: %s.%s: %v %s", file, strict.Table(raw, table, i), table, key, v, what)
	}
	for i, p := range c.Peers {
		if !identity(p.Identity) {
			return nil, bad("peer", i, "identity", fmt.Sprintf("%q", p.Identity), "is no host name")
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); c.Listen != "" && err != nil {
		return nil, fmt.Errorf("%s: listen: %w", file, err)
	}
	for key, v := range map[string]*int{"connections": &c.Connections, "window": &c.Window} {
		if *v < 0 || *v > mostOfEither {
			return nil, fmt.Errorf("%s: %s: %d makes no sense", file, key, *v)
		}
	}
	c.Connections, c.Window = cmp.Or(c.Connections, usualConnections), cmp.Or(c.Window, usualWindow)
	r.servers, r.named = map[string]string{}, map[string]string{}
	for i, v := range c.Servers {
		if _, err := netip.ParseAddrPort(v.Address); err != nil && v.Address != "" {
			return nil, bad("server", i, "address", fmt.Sprintf("%q", v.Address), "is no address with a port")
		}
		if v.Host == "" || slices.ContainsFunc(c.Servers[:i], func(o Server) bool { return o.Host == v.Host }) {
			return nil, bad("server", i, "host", fmt.Sprintf("%q", v.Host), "is empty or taken")
		}
		if v.Address == "" && v.Identity == "" {
			return nil, bad("server", i, "host", fmt.Sprintf("%q", v.Host), "has neither address nor identity")
		}
		r.servers[v.Host] = v.Address
		if name := strings.ToLower(v.Identity); v.Identity != "" {
			if !identity(v.Identity) || r.named[name] != "" {
				return nil, bad("server", i, "identity", fmt.Sprintf("%q", v.Identity), "is no host name, or taken")
			}
			r.named[name] = v.Host
		}
	}
	for i, t := range c.Routes {
		if !identity(t.Realm) {
			return nil, bad("route", i, "realm", fmt.Sprintf("%q", t.Realm), "is no realm name")
		}
		if t.Application == diameter.AppBase || t.Application == diameter.AppRelay {
			return nil, bad("route", i, "application", t.Application, "is not one that requests are routed by")
		}
	}
	other := balance.Class{Deadline: otherDeadline, Effect: balance.Unsafe, Worth: 1}
	for i, k := range c.Classes {
		b := balance.Class{Aim: time.Duration(k.AimMs) * time.Millisecond, Deadline: time.Duration(k.DeadlineMs) * time.Millisecond,
			Worth: 1, Window: time.Duration(k.WindowMs) * time.Millisecond}
		var known bool
		switch {
		case k.Name == "" || slices.ContainsFunc(c.Classes[:i], func(o Class) bool { return o.Name == k.Name }):
			return nil, bad("class", i, "name", fmt.Sprintf("%q", k.Name), "is empty or taken")
		case k.Command == 0:
			return nil, bad("class", i, "command", k.Command, "is none")
		case k.AimMs <= 0 || k.AimMs > 3600_000:
			return nil, bad("class", i, "aim_ms", k.AimMs, "makes no sense")
		case k.DeadlineMs < k.AimMs || k.DeadlineMs > 3600_000:
			return nil, bad("class", i, "deadline_ms", k.DeadlineMs, "is under aim_ms or over an hour")
		}
		if b.Effect, known = effects[k.Effect]; !known {
			return nil, bad("class", i, "effect", fmt.Sprintf("%q", k.Effect), "is not safe, keyed or unsafe")
		}
		if b.Effect == balance.Keyed {
			if b.Group, known = groups[k.Group]; !known {
				return nil, bad("class", i, "group", fmt.Sprintf("%q", k.Group), "is not all, zone or cell")
			}
			if k.WindowMs <= 0 {
				return nil, bad("class", i, "window_ms", k.WindowMs, "is no time for which a repeat is dropped")
			}
		} else if k.Group != "" || k.WindowMs != 0 {
			return nil, bad("class", i, "group", fmt.Sprintf("%q", k.Group), "and window_ms go with keyed only")
		}
		other.Deadline = max(other.Deadline, b.Deadline)
		r.Classes = append(r.Classes, b)
	}
	other.Aim = other.Deadline
	r.Classes = append(r.Classes, other)
	return r, nil
}

// identity reports whether a text may stand for a host or a realm (RFC 6733, 4.3.1).
func identity(v string) bool {
	return v != "" && len(v) <= 255 && !strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' })
}

// same compares host and realm names, which know no case.
func same(a, b string) bool { return strings.EqualFold(a, b) }

// Known reports whether a client that calls itself so, from a machine, may connect (else 3010).
func (r *Rules) Known(name, machine string) bool {
	return slices.ContainsFunc(r.cfg.Peers, func(p Peer) bool {
		return same(p.Identity, name) && (p.Address == "" || p.Address == machine)
	})
}

// Config is what the file says, with what it leaves out filled in.
func (r *Rules) Config() Config { return r.cfg }

// Address is where a backend speaks Diameter, given its address in the list.
func (r *Rules) Address(host, listed string) string { return cmp.Or(r.servers[host], listed) }

// Named is the backend whose server has an identity, as far as the file tells.
func (r *Rules) Named(identity string) (host string, ok bool) {
	host, ok = r.named[strings.ToLower(identity)]
	return host, ok
}

// Wanted is the server that a request names (Destination-Host); empty: any will do.
func (r *Rules) Wanted(m *diameter.Message) string { return text(m, diameter.CodeDestinationHost) }

// Applications are those that requests are routed by, for the capabilities exchange.
func (r *Rules) Applications() (list []uint32) {
	for _, t := range r.cfg.Routes {
		if !slices.Contains(list, t.Application) {
			list = append(list, t.Application)
		}
	}
	return list
}

func text(m *diameter.Message, code uint32) string {
	if a := diameter.Find(m.AVPs, code, 0); a != nil {
		if v, err := a.Identity(); err == nil {
			return v
		}
	}
	return ""
}

// Take says whether a request from a client is to be relayed. An error carries the Result-Code for its
// answer. Nothing of it has run then.
func (r *Rules) Take(m *diameter.Message) *diameter.Error {
	refuse := func(code uint32, format string, args ...any) *diameter.Error {
		return &diameter.Error{Result: code, Text: fmt.Sprintf(format, args...)}
	}
	for i := range m.AVPs {
		a := &m.AVPs[i]
		if a.Code != diameter.CodeRouteRecord || a.Vendor != 0 {
			continue
		}
		// Guards against a circle of relays, which would carry a request until its deadline.
		if v, err := a.Identity(); err == nil && same(v, r.cfg.Identity) {
			return refuse(diameter.LoopDetected, "it has been here before")
		}
	}
	if m.Flags&diameter.FlagProxiable == 0 {
		return refuse(diameter.UnableToDeliver, "it may not be relayed, and nothing here answers it")
	}
	if host := text(m, diameter.CodeDestinationHost); same(host, r.cfg.Identity) {
		return refuse(diameter.UnableToDeliver, "it is for this relay, which answers none itself")
	}
	if text(m, diameter.CodeOriginHost) == "" {
		return refuse(diameter.MissingAVP, "Origin-Host is missing")
	}
	realm := text(m, diameter.CodeDestinationRealm)
	if realm == "" {
		return refuse(diameter.MissingAVP, "Destination-Realm is missing")
	}
	served := false
	for _, t := range r.cfg.Routes {
		if same(t.Realm, realm) {
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

// Classify is the place of a request's class in Classes.
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
		if action, told := value(diameter.CodeRequestedAction); c.Action != nil && (!told || action != *c.Action) {
			continue
		}
		return i
	}
	return len(r.cfg.Classes)
}

// Onward is a client's request as an attempt carries it: Route-Record added, all else as it came, under the
// attempt's Hop-by-Hop. again: an earlier attempt may have run, or the client says so.
func (r *Rules) Onward(m *diameter.Message, from string, hop uint32, again bool) *diameter.Message {
	out := *m
	out.HopByHop = hop
	if again {
		out.Flags |= diameter.FlagRetransmitted
	}
	out.AVPs = append(slices.Clip(slices.Clone(m.AVPs)), diameter.Str(diameter.CodeRouteRecord, from))
	return &out
}

// Refusal is the answer to a request that ends here: the Result-Code, and E for protocol errors (3xxx).
func (r *Rules) Refusal(m *diameter.Message, code uint32, why string) *diameter.Message {
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
		a.AVPs = append(a.AVPs, diameter.Optional(diameter.Str(diameter.CodeErrorMessage, why)))
	}
	return a
}
