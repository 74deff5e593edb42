package admission

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// crowdConfig is smallConfig with a MinStall.
func crowdConfig() Config {
	cfg := smallConfig()
	cfg.MinStall = 100 * ms
	return cfg
}

// A client that has sent one piece of a head makes room sooner than one that goes on writing, and while many have sent nothing
// those make room.
func TestStalledHeadsMakeRoom(t *testing.T) {
	for _, tt := range []struct {
		name      string
		held      string
		more      string        // sends a further piece
		elapsed   time.Duration // since the last piece
		wantClose string
		wantWait  time.Duration
	}{
		{"one piece, just before its time", "head-1 hand-1 hand-2 hand-3", "", 99 * ms, "", 1 * ms},
		{"one piece", "head-1 hand-1 hand-2 hand-3", "", 100 * ms, "head-1", 0},
		{"two pieces, just before their time", "head-1 hand-1 hand-2 hand-3", "head-1", 499 * ms, "", 1 * ms},
		{"two pieces", "head-1 hand-1 hand-2 hand-3", "head-1", 500 * ms, "head-1", 0},
		{"one piece behind one that goes on", "head-1 head-2 hand-1 hand-2", "head-1", 100 * ms, "head-2", 0},
		{"among silent ones", "head-1 new-1 hand-1 hand-2", "", 49 * ms, "", 1 * ms},
		{"silent ones first", "head-1 new-1 hand-1 hand-2", "", 400 * ms, "new-1", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newGovernorHarness(t, crowdConfig())
			b.open(strings.Fields(tt.held)...)
			if tt.more != "" {
				b.now += 50 * ms
				b.governor.BytesArrived(b.entries[tt.more], b.now)
			}
			b.now += tt.elapsed
			v := b.governor.Decide(b.now)
			if got := b.closeRequests(v); got != tt.wantClose || v.Admit {
				t.Errorf("asked %q, want %q; %+v", got, tt.wantClose, v)
			}
			if tt.wantWait > 0 && v.Wait != tt.wantWait {
				t.Errorf("waits %v, want %v", v.Wait, tt.wantWait)
			}
		})
	}
}

// The wait in the backlog counts: connections are closed in the order in which they fell silent, not in that of their reading.
func TestSilenceCountsFromArrival(t *testing.T) {
	b := newGovernorHarness(t, crowdConfig())
	b.open("hand-1", "hand-2")
	b.now = time.Second
	for name, at := range map[string]time.Duration{"head-late": 950 * ms, "head-early": 850 * ms} {
		e := b.governor.Open(b.now, name)
		b.governor.BytesArrived(e, at)
	}
	if v := b.governor.Decide(b.now); b.closeRequests(v) != "head-early" {
		t.Errorf("asked %q", b.closeRequests(v))
	}
}

// Connections leave in the order in which they came, although the system's times of their arrival differ by its resolution.
func TestSilentOnesLeaveInOrder(t *testing.T) {
	b := newGovernorHarness(t, crowdConfig())
	for i, since := range []time.Duration{8 * ms, 4 * ms, 12 * ms, 8 * ms} {
		b.governor.Open(since, fmt.Sprint("new-", i))
	}
	if v := b.governor.Decide(time.Second); b.closeRequests(v) != "new-0" {
		t.Errorf("asked %q", b.closeRequests(v))
	}
}

// A connection that has been silent for long without a whole head doesn't hold up those behind it: others make room, some at
// a time, or it is refused at once, and beyond MaxRefusals closed.
func TestOverdueConnectionHoldsUpNobody(t *testing.T) {
	b := newGovernorHarness(t, crowdConfig())
	if b.governor.Overdue(99*ms, 0, false) || !b.governor.Overdue(100*ms, 0, false) {
		t.Error("overdue at another time than MinStall")
	}
	if b.governor.Overdue(499*ms, 0, true) || !b.governor.Overdue(500*ms, 0, true) {
		t.Error("one that writes in pieces is overdue at another time than StallTimeout")
	}
	if b.governor.HoldsUpMany(2) || !b.governor.HoldsUpMany(3) {
		t.Error("the backlog is long at another length than beyond MaxRefusals")
	}
	b.open("hand-1", "hand-2", "hand-3", "hand-4")
	for i := range 3 {
		v := b.governor.DecideOverdue(b.now)
		if refuse := i < 2; v.Refuse != refuse || v.Drop == refuse {
			t.Errorf("connection %d: %+v", i, v)
		}
		b.governor.BeginRefusal()
	}
	b = newGovernorHarness(t, crowdConfig())
	b.open("head-1", "head-2", "head-3", "hand-4")
	b.now += time.Second
	if v := b.governor.DecideOverdue(b.now); b.closeRequests(v) != "head-1 head-2" || v.Refuse || v.Drop || v.Wait <= 0 {
		t.Errorf("asked %q, want two at a time; %+v", b.closeRequests(v), v)
	}
	if v := b.governor.DecideOverdue(b.now); len(v.RequestClose) != 0 || v.Refuse || v.Drop {
		t.Errorf("asked %q while two make room; %+v", b.closeRequests(v), v)
	}
}

// Guards against sound requests that wait behind a crowd of clients that never finish theirs, until those have timed out.
func TestWholeRequestsPassACrowd(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 4, MaxRefusals: 2, NewGrace: time.Hour, StallTimeout: time.Hour, MinStall: 10 * ms, MinIdle: time.Hour, AdmitTimeout: time.Hour})
	var crowd []*client
	for i := range 24 {
		c := s.dial(t)
		io.WriteString(c, "POST /x HTTP/1.1\r\nHost: x\r\n")
		crowd = append(crowd, c)
		if i%8 == 7 {
			s.dial(t).exchange(fmt.Sprint("sound-", i))
		}
	}
	s.waitForCounts(t, "those beyond the limit are gone", func(c Counts) bool { return c.Refused+c.Evicted >= uint64(len(crowd)-4) })
	status, _, _, err := crowd[0].readAnswer()
	if err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("the first of the crowd got %d, %v", status, err)
	}
}

// Descriptors that others take are not there for clients: those that may be are closed for them, and come back when others need fewer.
func TestOthersTakeRoom(t *testing.T) {
	b := newGovernorHarness(t, Config{MaxConnections: 8, MaxDescriptors: 10, MaxRefusals: 1, NewGrace: 50 * ms, MinIdle: 2000 * ms})
	b.open("new-1", "new-2", "hand-1", "idle-1")
	b.now += time.Second
	if got := b.governor.AddOthers(3, b.now); len(got) != 0 {
		t.Errorf("%d are to close although there is room", len(got))
	}
	if !b.governor.Full() {
		t.Error("room for one more: 4 connections, a backend, 2 to refuse and 3 others take 10 descriptors")
	}
	var names []string
	for _, e := range b.governor.AddOthers(2, b.now) {
		names = append(names, e.Tag.(string))
	}
	if got := strings.Join(names, " "); got != "new-1 new-2" {
		t.Errorf("asked %q", got)
	}
	if b.governor.AddOthers(-5, b.now); b.governor.Full() {
		t.Error("no room although the others have gone")
	}
}

// Guards against a server that ends because accepting failed with an error of the network, which Linux reports with the next
// connection.
func TestNetworkErrorsOfAccept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := scripted.FailAccepts(ln, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EPROTO, syscall.ETIMEDOUT)
	s := newTestServerOn(t, failing, Config{MaxConnections: 4, MaxRefusals: 1, NewGrace: time.Hour, MinIdle: time.Hour})
	s.dial(t).exchange("after")
}
