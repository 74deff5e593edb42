package member

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"
)

// samples returns datagrams of all kinds but kindSync.
func samples() []*packet {
	full := record{id: 7, kind: kindFull, start: 12, incarnation: 3, version: 9, doubt: true, note: "\x01\x02", zone: "a", name: "n7",
		addr: netip.MustParseAddrPort("127.0.0.9:7946"), list: []listEntry{{4, markUnreachable | markConfirmable, 8}, {5, markNoInbound, 1}}}
	return []*packet{
		{kind: kindGossip, from: 1, records: []record{full, {id: 4, kind: kindDead, start: 2}}},
		{kind: kindPing, from: 1, seq: 5, digests: [buckets]uint16{1, 2, 3}, records: []record{full}},
		{kind: kindAck, from: 1, seq: 5},
		{kind: kindPingRequest, from: 1, seq: 5, target: 9},
		{kind: kindRelayPing, from: 1, seq: 5, target: 9},
		{kind: kindRelayAck, from: 1, seq: 5, target: 9, hears: true},
		{kind: kindLastHeard, from: 1, seq: 5, target: 9, age: 44},
		{kind: kindIndirectAck, from: 1, seq: 5, target: 9, records: []record{{id: 4, kind: kindLeft, start: 2, incarnation: 1}}},
	}
}

func TestPacketRoundTrip(t *testing.T) {
	for _, p := range samples() {
		got, err := decode(p.encode(3), 3)
		if err != nil || !reflect.DeepEqual(got, p) {
			t.Errorf("%+v decoded as %+v, %v", p, got, err)
		}
	}
}

// newMember returns a member of fleet 3 with ID 0.
func newMember(t testing.TB) *Member {
	cfg := DefaultConfig()
	cfg.Self, cfg.Fleet = 0, 3
	for i := range 10 {
		cfg.Peers = append(cfg.Peers, Peer{ID: ID(i)})
	}
	m, err := New(cfg, 0)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Truncated or malformed datagrams, and those of another version or fleet, are dropped whole and counted,
// and don't change the view.
func TestBadDatagramsAreDroppedAndCounted(t *testing.T) {
	for _, p := range samples() {
		whole := p.encode(3)
		for cut := range len(whole) {
			m := newMember(t)
			before := m.View()
			m.Receive(time.Millisecond, 1, whole[:cut])
			c := m.Counters()
			if c.Garbled+c.Foreign == 1 {
				if v := m.View(); v.Digest != before.Digest || v.Number != before.Number {
					t.Fatalf("kind %d cut at %d changed the view", p.kind, cut)
				}
			} else if cut < headerBytes {
				t.Fatalf("kind %d cut at %d: %+v", p.kind, cut, c)
			}
		}
	}
	m := newMember(t)
	ok := samples()[2].encode(3)
	other := append([]byte(nil), ok...)
	other[1]++
	m.Receive(0, 1, other)
	m.Receive(0, 1, samples()[2].encode(4))
	m.Receive(0, 2, ok) // the sender ID doesn't match the address
	m.Receive(0, NoID, ok)
	if c := m.Counters(); c.Foreign != 2 || c.Strange != 2 || c.Garbled != 0 {
		t.Errorf("counters: %+v", c)
	}
}

func TestLongestOwnRecordFits(t *testing.T) {
	m := newMember(t)
	m.self.rec.name, m.self.rec.zone = strings.Repeat("n", MaxName), strings.Repeat("z", MaxZone)
	m.self.rec.addr, m.note = netip.MustParseAddrPort("127.0.0.9:7946"), strings.Repeat("x", MaxNote)
	for i := 1; i < 10; i++ {
		m.slotFor(m.peers[ID(i)]).mark = markUnreachable
	}
	m.listChanged = true
	m.now = time.Second
	m.publish()
	if n := len(m.newPacket(m.peers[1], kindPing, 1).encode(3)); n > MaxDatagram || len(m.self.rec.list) == 0 {
		t.Errorf("%d bytes, %d entries", n, len(m.self.rec.list))
	}
	if got, err := decode(m.newPacket(m.peers[1], kindPing, 1).encode(3), 3); err != nil || len(got.records) == 0 {
		t.Errorf("the own record doesn't fit: %v", err)
	}
}

func FuzzReceive(f *testing.F) {
	for _, p := range samples() {
		f.Add(p.encode(3))
	}
	f.Add([]byte{Tag})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMember(t)
		m.Receive(time.Millisecond, 1, data)
		for now := time.Duration(0); now < 5*time.Second; now += 50 * time.Millisecond {
			m.Tick(now)
		}
		for _, d := range m.Out() {
			if len(d.Data) > MaxDatagram {
				t.Fatalf("%d bytes", len(d.Data))
			}
			if _, err := decode(d.Data, 3); err != nil {
				t.Fatalf("sent a datagram that can't be decoded: %v", err)
			}
		}
		if len(m.peers) > 10 || len(m.slots) > 2*maxListEntries {
			t.Fatalf("%d peers, %d slots", len(m.peers), len(m.slots))
		}
		m.View()
	})
}

func TestConfigIsChecked(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"name":        func(c *Config) { c.Name = strings.Repeat("n", MaxName+1) },
		"zone":        func(c *Config) { c.Zone = strings.Repeat("n", MaxZone+1) },
		"period":      func(c *Config) { c.Period = 0 },
		"pause":       func(c *Config) { c.Pause = time.Second },
		"rate":        func(c *Config) { c.Rate = 1 },
		"expected":    func(c *Config) { c.Expected = -1 },
		"max members": func(c *Config) { c.MaxMembers = 0 },
		"peer":        func(c *Config) { c.Peers = []Peer{{ID: 1}, {ID: 1}} },
		"self":        func(c *Config) { c.Self = NoID },
	} {
		c := DefaultConfig()
		change(&c)
		if _, err := New(c, 0); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
