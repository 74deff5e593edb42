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

// Servers is a file such as deploy/servers.toml: the list of backends where there is no discovery.
type Servers struct {
	Servers []Server `toml:"server"`
}

// Server is one backend.
type Server struct {
	Host    string  `toml:"host"`    // its id
	Address string  `toml:"address"` // and port
	Site    string  `toml:"site"`    // of the settings' names; empty: the first
	Class   string  `toml:"class"`   // the same
	Block   int     `toml:"block"`   // a small group that drops repeats together
	Weight  float64 `toml:"weight"`  // 0: 1
	State   string  `toml:"state"`   // ready or draining; empty: ready
}

const mostServers = 4096

// ReadServers reads and checks a file. Errors name it, the line and the key.
func ReadServers(path string, names wire.Names) (List, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return List{}, err
	}
	return ParseServers(path, raw, names)
}

// ParseServers checks the text of a file.
func ParseServers(file string, raw []byte, names wire.Names) (List, error) {
	var f Servers
	if err := strict.Decode(file, raw, &f); err != nil {
		return List{}, err
	}
	if n := len(f.Servers); n == 0 || n > mostServers {
		return List{}, fmt.Errorf("%s: server: %d of them, between 1 and %d are needed", file, n, mostServers)
	}
	l := List{Seq: 1, Whole: true}
	for i, s := range f.Servers {
		bad := func(key string, v any, what string) (List, error) {
			return List{}, fmt.Errorf("%s: line %d: server.%s: %v %s", file, strict.Table(raw, "server", i), key, v, what)
		}
		h := Host{Host: s.Host, Dial: s.Address, Site: s.Site, Class: s.Class, Block: s.Block, Health: cmp.Or(s.State, "ready"), Share: cmp.Or(s.Weight, 1)}
		for _, d := range []struct {
			value *string
			of    []string
		}{{&h.Site, names.Zones}, {&h.Class, names.Kinds}} {
			if *d.value == "" && len(d.of) > 0 {
				*d.value = d.of[0]
			}
		}
		taken := slices.ContainsFunc(l.Hosts, func(o Host) bool { return o.Host == s.Host })
		_, err := netip.ParseAddrPort(s.Address)
		switch {
		case s.Host == "" || taken:
			return bad("host", fmt.Sprintf("%q", s.Host), "is empty or taken")
		case err != nil:
			return bad("address", fmt.Sprintf("%q", s.Address), "is no address with a port")
		case len(names.Zones) > 0 && !slices.Contains(names.Zones, h.Site):
			return bad("site", fmt.Sprintf("%q", s.Site), "is none of the settings")
		case len(names.Kinds) > 0 && !slices.Contains(names.Kinds, h.Class):
			return bad("class", fmt.Sprintf("%q", s.Class), "is none of the settings")
		case !(h.Share > 0):
			return bad("weight", s.Weight, "is no weight")
		case h.Health != "ready" && h.Health != "draining":
			return bad("state", fmt.Sprintf("%q", s.State), "is not ready or draining")
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l, nil
}

// Next is what a file that has been read again comes to after the list before it. What is new, has another address or
// is back from draining counts as started now: a file doesn't tell, and a backend that has just started must not be
// pushed over. What is gone is left out, by which a whole list says so.
func Next(before, read List, now time.Time) List {
	read.Seq = before.Seq + 1
	read.Hosts = slices.Clone(read.Hosts)
	for i := range read.Hosts {
		h := &read.Hosts[i]
		at := slices.IndexFunc(before.Hosts, func(o Host) bool { return o.Host == h.Host })
		switch {
		case at < 0 || before.Hosts[at].Dial != h.Dial || before.Hosts[at].Health == "draining" && h.Health == "ready":
			h.BornMs = float64(now.UnixMilli())
		default:
			h.BornMs = before.Hosts[at].BornMs
		}
	}
	return read
}

// File hands the list of a file on, and again whenever it is asked for or read anew.
type File struct {
	path  string
	names wire.Names
	told  func(balance.List, map[string]string)
	log   *slog.Logger

	mu   sync.Mutex // held while a list is told, so never by the loop
	list List
}

// NewFile returns a File whose list has been read already.
func NewFile(path string, list List, names wire.Names, told func(balance.List, map[string]string), log *slog.Logger) *File {
	return &File{path: path, names: names, told: told, log: log, list: list}
}

// Tell hands the list on.
func (f *File) Tell() {
	f.mu.Lock()
	defer f.mu.Unlock()
	tell(f.list, balance.ListFull, f.names, f.told, f.log)
}

// Reload reads the file again. One that makes no sense changes nothing.
func (f *File) Reload() {
	read, err := ReadServers(f.path, f.names)
	if err != nil {
		f.log.Warn("list of servers kept as it was", "err", err)
		return
	}
	f.mu.Lock()
	f.list = Next(f.list, read, time.Now())
	n := len(f.list.Hosts)
	f.mu.Unlock()
	f.log.Info("list of servers read again", "servers", n)
	f.Tell()
}

// Subscribe and Fetch answer the module's asking; not in its own goroutine, which is about to wait for nobody.
func (f *File) Subscribe() { go f.Tell() }

// Fetch is Subscribe: the list is whole either way.
func (f *File) Fetch() { go f.Tell() }

// Unsubscribe has nothing to end.
func (f *File) Unsubscribe() {}
