package roster

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/strict"
	"lemonrail/internal/wire"
)

// Servers is the content of a file such as deploy/servers.toml, the list of backends where there is no
// discovery.
type Servers struct {
	Servers []Server `toml:"server"`
}

// Server is one backend of a file.
type Server struct {
	Host    string  `toml:"host"`    // the backend's id
	Address string  `toml:"address"` // IP address and port
	Site    string  `toml:"site"`    // one of the settings' zone names; empty: the first
	Class   string  `toml:"class"`   // the backend's kind, one of the settings' kind names; empty: the first
	Block   int     `toml:"block"`   // the backend's cell, a small group that drops repeated requests together
	Weight  float64 `toml:"weight"`  // 0: the default of 1
	State   string  `toml:"state"`   // ready or draining; empty: ready
}

const maxServers = 4096 // entries of a file

// ReadServers reads and checks a file. Errors name the file, the line and the key.
func ReadServers(path string, names wire.Names) (List, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return List{}, err
	}
	return ParseServers(path, raw, names)
}

// ParseServers parses and checks the content of a file, which errors refer to as file.
func ParseServers(file string, raw []byte, names wire.Names) (List, error) {
	var f Servers
	if err := strict.Decode(file, raw, &f); err != nil {
		return List{}, err
	}
	if n := len(f.Servers); n == 0 || n > maxServers {
		return List{}, fmt.Errorf("%s: server: %d entries, want between 1 and %d", file, n, maxServers)
	}
	l := List{Seq: 1, Whole: true}
	for i, s := range f.Servers {
		invalid := func(key string, v any, problem string) (List, error) {
			return List{}, fmt.Errorf("%s: line %d: server.%s: %v %s", file, strict.TableLine(raw, "server", i), key, v, problem)
		}
		h := Host{Host: s.Host, Dial: s.Address, Site: s.Site, Class: s.Class, Block: s.Block, Health: cmp.Or(s.State, "ready"), Share: cmp.Or(s.Weight, 1)}
		for _, setting := range []struct {
			value   *string
			allowed []string
		}{{&h.Site, names.Zones}, {&h.Class, names.Kinds}} {
			if *setting.value == "" && len(setting.allowed) > 0 {
				*setting.value = setting.allowed[0]
			}
		}
		duplicate := slices.ContainsFunc(l.Hosts, func(o Host) bool { return o.Host == s.Host })
		_, err := netip.ParseAddrPort(s.Address)
		switch {
		case s.Host == "" || duplicate:
			return invalid("host", fmt.Sprintf("%q", s.Host), "is empty or used twice")
		case err != nil:
			return invalid("address", fmt.Sprintf("%q", s.Address), "is not an IP address with a port")
		case len(names.Zones) > 0 && !slices.Contains(names.Zones, h.Site):
			return invalid("site", fmt.Sprintf("%q", s.Site), "is not a zone of the settings")
		case len(names.Kinds) > 0 && !slices.Contains(names.Kinds, h.Class):
			return invalid("class", fmt.Sprintf("%q", s.Class), "is not a kind of the settings")
		case !(h.Share > 0):
			return invalid("weight", s.Weight, "is not above 0")
		case h.Health != "ready" && h.Health != "draining":
			return invalid("state", fmt.Sprintf("%q", s.State), "is neither ready nor draining")
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l, nil
}

// NextList returns the list that follows before, when the file has been read again as read. Backends that are
// new, have another address or are back from draining count as started now: a file doesn't contain start times,
// and a backend that has just started must not be overloaded. Backends that are gone are missing, which in a
// whole list means gone.
func NextList(before, read List, now time.Time) List {
	read.Seq = before.Seq + 1
	read.Hosts = slices.Clone(read.Hosts)
	for i := range read.Hosts {
		h := &read.Hosts[i]
		previous := slices.IndexFunc(before.Hosts, func(o Host) bool { return o.Host == h.Host })
		switch {
		case previous < 0 || before.Hosts[previous].Dial != h.Dial || before.Hosts[previous].Health == "draining" && h.Health == "ready":
			h.BornMs = float64(now.UnixMilli())
		default:
			h.BornMs = before.Hosts[previous].BornMs
		}
	}
	return read
}

// File delivers the list of backends from a file, on request and after each reload.
type File struct {
	path    string
	names   wire.Names
	deliver func(balance.List, map[string]string)
	log     *slog.Logger

	mu   sync.Mutex // held while a list is delivered, so the loop must never wait for it
	list List       // read last, with start times and a version
}

// NewFile returns a File with a list that has been read before.
func NewFile(path string, list List, names wire.Names, deliver func(balance.List, map[string]string), log *slog.Logger) *File {
	return &File{path: path, names: names, deliver: deliver, log: log, list: list}
}

// Deliver delivers the whole list that was read last.
func (f *File) Deliver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	deliverList(f.list, balance.ListFull, f.names, f.deliver, f.log)
}

// Reload reads the file again and delivers the new list. If the file is invalid, the list stays as it is.
func (f *File) Reload() {
	read, err := ReadServers(f.path, f.names)
	if err != nil {
		f.log.Warn("list of servers not reloaded, the previous one stays in force", "err", err)
		return
	}
	f.mu.Lock()
	f.list = NextList(f.list, read, time.Now())
	n := len(f.list.Hosts)
	f.mu.Unlock()
	f.log.Info("list of servers reloaded", "servers", n)
	f.Deliver()
}

// Subscribe delivers the list once. It uses its own goroutine because delivering may block, and the loop
// calls it.
func (f *File) Subscribe() { go f.Deliver() }

// Fetch is the same as Subscribe, since the list is always whole.
func (f *File) Fetch() { go f.Deliver() }

// Unsubscribe does nothing, since there is no watch to end.
func (f *File) Unsubscribe() {}
