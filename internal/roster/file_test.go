package roster

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

var fileNames = wire.Names{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}

func TestParseServers(t *testing.T) {
	l, err := ParseServers("f", []byte(`
[[server]]
host = "x"
address = "127.0.0.1:1"
[[server]]
host = "y"
address = "127.0.0.1:2"
site = "b"
class = "m2"
block = 3
weight = 2.5
state = "draining"
`), fileNames)
	want := []Host{{"x", "127.0.0.1:1", "a", "m1", 0, "ready", 1, 0, nil}, {"y", "127.0.0.1:2", "b", "m2", 3, "draining", 2.5, 0, nil}}
	if err != nil || !l.Whole || fmt.Sprint(l.Hosts) != fmt.Sprint(want) {
		t.Errorf("%+v, %v", l, err)
	}
}

// Errors name the file, the line and the key.
func TestParseInvalidServers(t *testing.T) {
	const good = "[[server]]\nhost = \"x\"\naddress = \"127.0.0.1:1\"\n"
	for text, want := range map[string]string{
		"":                                              "f: server: 0",
		good + good:                                     "f: line 4: server.host",
		good + "port = 3\n":                             "f: line 4: unknown key server.port",
		good + "site = \"c\"\n":                         "f: line 1: server.site",
		good + "class = \"c\"\n":                        "f: line 1: server.class",
		good + "weight = -1.0\n":                        "f: line 1: server.weight",
		good + "state = \"gone\"\n":                     "f: line 1: server.state",
		good + "block = \"x\"\n":                        "f: line 4",
		"[[server]]\nhost = \"x\"\n":                    "f: line 1: server.address",
		"[[server]]\naddress = \"a:1\"\n":               "f: line 1: server.host",
		strings.Repeat(good, maxServers+1):              "between 1 and",
		good + "address = \"127.0.0.1:2\"\n":            "f: line 4",
		"[[server]]\nhost = \"x\"\naddress = \"h:1\"\n": "f: line 1: server.address",
	} {
		if _, err := ParseServers("f", []byte(text), fileNames); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60q: %v, not %q", text, err, want)
		}
	}
}

// The sample file of the repository is valid.
func TestReadSampleServers(t *testing.T) {
	if l, err := ReadServers("../../deploy/servers.toml", fileNames); err != nil || len(l.Hosts) != 1 {
		t.Errorf("%+v, %v", l, err)
	}
}

// When a file is read again, backends that are new, moved or back from draining count as started now.
func TestNextList(t *testing.T) {
	now := time.UnixMilli(5000)
	host := func(id, dial, health string, born float64) Host {
		return Host{Host: id, Dial: dial, Health: health, BornMs: born}
	}
	before := List{Seq: 4, Whole: true, Hosts: []Host{host("same", "1", "ready", 0), host("young", "2", "ready", 3000), host("moves", "3", "ready", 0),
		host("back", "4", "draining", 0), host("leaves", "5", "ready", 0), host("goes", "6", "ready", 0)}}
	read := List{Seq: 1, Whole: true, Hosts: []Host{host("new", "7", "ready", 0), host("same", "1", "ready", 0), host("young", "2", "ready", 0),
		host("moves", "9", "ready", 0), host("back", "4", "ready", 0), host("leaves", "5", "draining", 0)}}
	want := List{Seq: 5, Whole: true, Hosts: []Host{host("new", "7", "ready", 5000), host("same", "1", "ready", 0), host("young", "2", "ready", 3000),
		host("moves", "9", "ready", 5000), host("back", "4", "ready", 5000), host("leaves", "5", "draining", 0)}}
	if got := NextList(before, read, now); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%+v, not %+v", got, want)
	}
	if read.Hosts[0].BornMs != 0 {
		t.Error("the list that was read was modified")
	}
}

// Reloading an invalid file changes nothing; reloading a valid one delivers the whole list.
func TestFileReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	server := func(id string) string { return fmt.Sprintf("[[server]]\nhost = %q\naddress = \"127.0.0.1:1\"\n", id) }
	write(server("x"))
	l, err := ReadServers(path, fileNames)
	if err != nil {
		t.Fatal(err)
	}
	var delivered []balance.List
	f := NewFile(path, l, fileNames, func(l balance.List, addrs map[string]string) {
		if addrs[l.Backends[0].ID] != "127.0.0.1:1" {
			t.Errorf("addresses %v", addrs)
		}
		delivered = append(delivered, l)
	}, slog.New(slog.DiscardHandler))
	f.Deliver()
	write("[[server")
	f.Reload()
	write(server("x") + server("y"))
	f.Reload()
	if len(delivered) != 2 || delivered[0].Kind != balance.ListFull || len(delivered[1].Backends) != 2 || delivered[1].Backends[0].Started != 0 || delivered[1].Backends[1].Started == 0 {
		t.Errorf("delivered %+v", delivered)
	}
}
