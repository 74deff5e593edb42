package relay

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonrail/balance"
	"lemonrail/internal/diameter"
)

// rules returns the rules of the shipped configuration file.
func rules(t testing.TB) *Rules {
	t.Helper()
	r, err := ReadRules("../../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// request returns a credit control request that CheckRequest accepts.
func request(more ...diameter.AVP) *diameter.Message {
	return &diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: diameter.CreditControl,
		Application: diameter.AppCreditControl, HopByHop: 7, EndToEnd: 9,
		AVPs: append([]diameter.AVP{diameter.Str(diameter.CodeSessionID, "s;1"), diameter.Str(diameter.CodeOriginHost, "client1.example.net"),
			diameter.Str(diameter.CodeDestinationRealm, "Example.NET")}, more...)}
}

// Each request is relayed, or refused with this Result-Code (0: relayed).
func TestCheckRequest(t *testing.T) {
	r := rules(t)
	for _, tt := range []struct {
		name   string
		change func(m *diameter.Message)
		want   uint32
	}{
		{"valid", func(*diameter.Message) {}, 0},
		{"through other relays", func(m *diameter.Message) {
			m.AVPs = append(m.AVPs, diameter.Str(diameter.CodeRouteRecord, "other.example.net"))
		}, 0},
		{"a routing loop", func(m *diameter.Message) {
			m.AVPs = append(m.AVPs, diameter.Str(diameter.CodeRouteRecord, "RELAY.example.net"))
		}, diameter.LoopDetected},
		{"not proxiable", func(m *diameter.Message) { m.Flags &^= diameter.FlagProxiable }, diameter.UnableToDeliver},
		{"for the relay itself", func(m *diameter.Message) {
			m.AVPs = append(m.AVPs, diameter.Str(diameter.CodeDestinationHost, "relay.example.net"))
		}, diameter.UnableToDeliver},
		{"another realm", func(m *diameter.Message) { m.AVPs[2] = diameter.Str(diameter.CodeDestinationRealm, "other.net") }, diameter.RealmNotServed},
		{"another application", func(m *diameter.Message) { m.Application = 3 }, diameter.ApplicationUnsupported},
		{"no realm", func(m *diameter.Message) { m.AVPs = m.AVPs[:2] }, diameter.MissingAVP},
		{"no origin", func(m *diameter.Message) { m.AVPs = slices.Delete(m.AVPs, 1, 2) }, diameter.MissingAVP},
	} {
		m := request()
		tt.change(m)
		got := uint32(0)
		if err := r.CheckRequest(m); err != nil {
			got = err.Result
		}
		if got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}

// Requests get the class of the shipped file that they match, or the last one.
func TestClassify(t *testing.T) {
	r := rules(t)
	sh := request()
	sh.Application, sh.Command = diameter.AppSh, diameter.UserData
	other := request()
	other.Command = diameter.ReAuth
	for want, m := range []*diameter.Message{
		request(diameter.U32(diameter.CodeCCRequestType, 4), diameter.U32(diameter.CodeRequestedAction, 2)),
		request(diameter.U32(diameter.CodeCCRequestType, 4), diameter.U32(diameter.CodeRequestedAction, 0)),
		sh, other,
	} {
		if got := r.Classify(m); got != want {
			t.Errorf("class %d, want %d", got, want)
		}
	}
	if got := r.Classify(request(diameter.U32(diameter.CodeCCRequestType, 1))); got != 1 {
		t.Errorf("an initial request is of class %d", got)
	}
	if last := r.Classes[len(r.Classes)-1]; last.Effect != balance.Unsafe || last.Deadline != 5*time.Second {
		t.Errorf("the class for requests that match no other: %+v", last)
	}
	if k := r.Classes[1]; k.Effect != balance.Keyed || k.Group != balance.GroupZone || k.Window != 30*time.Second {
		t.Errorf("charge: %+v", k)
	}
}

// A forwarded request has Route-Record added and the attempt's identifier, and the client's message is not
// changed.
func TestForward(t *testing.T) {
	r, m := rules(t), request()
	out := r.Forward(m, "client1.example.net", 1234, true)
	if out.HopByHop != 1234 || out.EndToEnd != 9 || out.Flags&diameter.FlagRetransmitted == 0 || len(out.AVPs) != len(m.AVPs)+1 {
		t.Errorf("got %+v", out)
	}
	if m.HopByHop != 7 || m.Flags&diameter.FlagRetransmitted != 0 || len(m.AVPs) != 3 {
		t.Errorf("the client's message became %+v", m)
	}
	refusal := r.LocalAnswer(m, diameter.TooBusy, "come back")
	if refusal.Request() || refusal.Flags&diameter.FlagError == 0 || refusal.HopByHop != 7 || refusal.EndToEnd != 9 ||
		diameter.Find(refusal.AVPs, diameter.CodeSessionID, 0) == nil {
		t.Errorf("refusal: %+v", refusal)
	}
	if failed := r.LocalAnswer(m, diameter.UnableToComply, ""); failed.Flags&diameter.FlagError != 0 {
		t.Error("5012 is no protocol error")
	}
}

// Each invalid change of the shipped file is refused with the file, and the line or key.
func TestInvalidRules(t *testing.T) {
	whole, err := os.ReadFile("../../../deploy/diameter.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ from, to, want string }{
		{`identity = "relay.example.net"`, `identity = "a b"`, "identity"},
		{`realm = "example.net"`, `realm = ""`, "realm"},
		{`application = 4                 # credit control`, `application = 0`, "line 19: route.application"},
		{`effect = "keyed"`, `effect = "often"`, "class.effect"},
		{`group = "zone"`, `group = "town"`, "class.group"},
		{`window_ms = 30000`, `window_ms = 0`, "class.window_ms"},
		{`aim_ms = 500`, `aim_ms = 5000`, "class.deadline_ms"},
		{`name = "charge"`, `name = "balance-check"`, "class.name"},
		{`listen = "127.0.0.1:3868"`, `listen = "here"`, "listen"},
		{`window = 64`, `window = -1`, "window"},
		{`# [[server]]`, "[[server]]\nhost = \"a\"\naddress = \"b\"", "server.address"},
		{`command = 306`, `commands = 306`, "unknown key class.commands"},
		{`action = 2 `, `action = "two" `, "line 34"},
	} {
		text := strings.Replace(string(whole), tt.from, tt.to, 1)
		if text == string(whole) {
			t.Fatalf("%q is not in the file", tt.from)
		}
		if _, err := ParseRules("d.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), tt.want) || !strings.HasPrefix(err.Error(), "d.toml:") {
			t.Errorf("%s: %v, want %q named", tt.to, err, tt.want)
		}
	}
	r := rules(t)
	if !r.AllowsPeer("Client1.example.net", "127.0.0.1") || r.AllowsPeer("client1.example.net", "127.0.0.2") || r.AllowsPeer("stranger", "127.0.0.1") {
		t.Error("AllowsPeer does not tell peers apart by identity and address")
	}
	if got := fmt.Sprint(r.Applications()); got != "[4 16777217]" {
		t.Errorf("applications %s", got)
	}
}

// A resend joins the pending request or gets the kept answer; only a request that is neither pending nor kept
// is new.
func TestTableResends(t *testing.T) {
	table := NewTable(Limits{MaxPendingBytes: 1 << 20, MaxPending: 2, MaxKept: 2, MaxKeptBytes: 100, MaxRecorded: 2, KeepFor: time.Minute})
	o := RequestKey{"c", 1}
	arrive := func(o RequestKey, w Waiter, now time.Duration, want Verdict) []byte {
		t.Helper()
		v, raw := table.Arrive(Arrival{Key: o, From: w, Effect: balance.Unsafe}, now)
		if v != want {
			t.Errorf("verdict %d, want %d", v, want)
		}
		return raw
	}
	arrive(o, Waiter{1, 10}, 0, New)
	arrive(o, Waiter{1, 11}, 0, Joined) // resent on the same connection: the later id is answered
	arrive(o, Waiter{2, 10}, 0, Joined) // resent on another connection
	arrive(RequestKey{"d", 1}, Waiter{3, 10}, 0, New)
	arrive(RequestKey{"d", 2}, Waiter{3, 11}, 0, Busy)
	if got := table.Complete(o, []byte("answer"), true, 0); fmt.Sprint(got) != "[{1 11} {2 10}]" {
		t.Errorf("waiters %v", got)
	}
	if got := table.Complete(o, []byte("late"), true, 0); got != nil {
		t.Errorf("a second answer goes to %v", got)
	}
	if raw := arrive(o, Waiter{4, 1}, 59*time.Second, Answered); string(raw) != "answer" {
		t.Errorf("answered %q", raw)
	}
	arrive(o, Waiter{4, 2}, 61*time.Second, New) // the kept answer has expired: the client may have reused the id
	table.RemoveConn(3)
	if got := table.Complete(RequestKey{"d", 1}, []byte("x"), false, 0); len(got) != 0 {
		t.Errorf("waiters on a closed connection: %v", got)
	}
	arrive(RequestKey{"d", 1}, Waiter{5, 1}, 61*time.Second, New) // the refusal was not kept: a new request
}

// Guards against a second run of a request whose answer was pushed out by those to other requests: safe requests make room
// first, and a request that must not run again stays recorded without its answer.
func TestDroppedAnswersDontMakeRequestsNew(t *testing.T) {
	const size = 10
	table := NewTable(Limits{MaxPendingBytes: 1 << 20, MaxPending: 10, MaxKept: 3, MaxKeptBytes: 3 * size, MaxRecorded: 4, KeepFor: time.Minute})
	arrive := func(host string, effect balance.Effect) Verdict {
		v, _ := table.Arrive(Arrival{Key: RequestKey{host, 1}, Effect: effect}, 0)
		return v
	}
	answer := func(host string, effect balance.Effect) {
		t.Helper()
		if v := arrive(host, effect); v != New {
			t.Fatalf("%s: verdict %d", host, v)
		}
		table.Complete(RequestKey{host, 1}, make([]byte, size), true, 0)
	}
	expect := func(host string, effect balance.Effect, want Verdict) {
		t.Helper()
		if v := arrive(host, effect); v != want {
			t.Errorf("%s: verdict %d, want %d", host, v, want)
		}
	}
	answer("unsafe", balance.Unsafe)
	answer("keyed", balance.Keyed)
	answer("safe1", balance.Safe)
	answer("safe2", balance.Safe)
	answer("safe3", balance.Safe)
	expect("unsafe", balance.Unsafe, Answered)
	expect("keyed", balance.Keyed, Answered)
	expect("safe3", balance.Safe, Answered)
	expect("safe1", balance.Safe, New)
	answer("unsafe2", balance.Unsafe) // takes the room of the last safe one
	expect("unsafe", balance.Unsafe, Answered)
	answer("unsafe3", balance.Unsafe)
	expect("unsafe", balance.Unsafe, MayHaveRun)
	expect("keyed", balance.Keyed, Answered)
	answer("unsafe4", balance.Unsafe) // a fifth: the first one is no longer recorded
	expect("keyed", balance.Keyed, MayHaveRun)
	expect("unsafe", balance.Unsafe, New)
}

// An answer that is too long to be kept leaves its request recorded, unless the request may run again.
func TestTooLongAnswers(t *testing.T) {
	for effect, want := range map[balance.Effect]Verdict{balance.Safe: New, balance.Keyed: MayHaveRun, balance.Unsafe: MayHaveRun} {
		table := NewTable(Limits{MaxPendingBytes: 1 << 20, MaxPending: 1, MaxKept: 1, MaxKeptBytes: 10, MaxRecorded: 1, KeepFor: time.Minute})
		arrival := Arrival{Key: RequestKey{"c", 1}, Effect: effect}
		table.Arrive(arrival, 0)
		table.Complete(arrival.Key, make([]byte, 11), true, 0)
		if got, _ := table.Arrive(arrival, 0); got != want {
			t.Errorf("effect %d: verdict %d, want %d", effect, got, want)
		}
	}
}

// Guards against a second run of an unsafe request, and against a refusal of it, when its resend finds nothing: it may have
// been sent before to another agent. A keyed one goes on to the servers, which recognise it.
func TestUnknownResends(t *testing.T) {
	for _, full := range []bool{false, true} {
		for effect, want := range map[balance.Effect]Verdict{balance.Safe: New, balance.Keyed: New, balance.Unsafe: MayHaveRun} {
			table := NewTable(Limits{MaxPendingBytes: 1 << 20, MaxPending: 1, MaxKept: 1, MaxKeptBytes: 10, MaxRecorded: 1, KeepFor: time.Minute})
			if full {
				table.Arrive(Arrival{Key: RequestKey{"d", 1}}, 0)
				if want == New {
					want = Busy
				}
			}
			if got, _ := table.Arrive(Arrival{Key: RequestKey{"c", 1}, Resent: true, Effect: effect}, 0); got != want {
				t.Errorf("full %v, effect %d: verdict %d, want %d", full, effect, got, want)
			}
		}
	}
}

// Answered requests are recorded for as long as their clients may wait, also where a class has a long deadline.
func TestLimitsCoverDeadlines(t *testing.T) {
	if got, want := rules(t).Limits(0), DefaultLimits(); got != want {
		t.Errorf("shipped file: %+v, want %+v", got, want)
	}
	const long = time.Hour
	r := &Rules{Classes: []balance.Class{{Deadline: long}, {Deadline: time.Second}}}
	if got := r.Limits(0).KeepFor; got != long {
		t.Errorf("got %v, want %v", got, long)
	}
}

// For any sequence of calls: each waiter gets at most one final answer, all bounds are kept, a request is New only if it is
// not pending and has no kept answer, and one that may have run and must not run again isn't New while it is recorded.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := Limits{MaxPendingBytes: 1 << 20, MaxPending: rapid.IntRange(1, 5).Draw(rt, "in hand"), MaxKept: rapid.IntRange(0, 3).Draw(rt, "kept"), MaxKeptBytes: 40,
			MaxRecorded: rapid.IntRange(0, 6).Draw(rt, "recorded"), KeepFor: 10}
		table, now := NewTable(l), time.Duration(0)
		pending := map[RequestKey]bool{}
		type run struct {
			at     time.Duration
			number int // of the runs that must not be repeated
		}
		ran, runs := map[RequestKey]run{}, 0
		effectOf := func(o RequestKey) balance.Effect {
			return []balance.Effect{balance.Safe, balance.Keyed, balance.Unsafe}[o.EndToEnd%3]
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 4).Draw(rt, "gap"))
			o := RequestKey{"c", uint32(rapid.IntRange(0, 8).Draw(rt, "request"))}
			effect := effectOf(o)
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				resent := rapid.Bool().Draw(rt, "resent")
				v, raw := table.Arrive(Arrival{Key: o, From: Waiter{uint64(rapid.IntRange(0, 8).Draw(rt, "connection")), 1}, Resent: resent, Effect: effect}, now)
				if pending[o] && v != Joined || v == New && pending[o] || (v == Answered) != (raw != nil) {
					rt.Fatalf("verdict %d, pending: %v", v, pending[o])
				}
				last, hasRun := ran[o]
				recorded := hasRun && now-last.at < l.KeepFor && runs-last.number < l.MaxRecorded
				if recorded && !pending[o] && v != Answered && v != MayHaveRun {
					rt.Fatalf("verdict %d for a request that must not run again", v)
				}
				if resent && effect == balance.Unsafe && (v == New || v == Busy) {
					rt.Fatalf("verdict %d for an unsafe resend", v)
				}
				if effect == balance.Safe && v == MayHaveRun {
					rt.Fatal("a safe request is barred from running again")
				}
				if v == New {
					pending[o] = true
				}
			case 2:
				was := pending[o]
				mayHaveRun := rapid.Bool().Draw(rt, "ran")
				got := table.Complete(o, make([]byte, rapid.IntRange(0, 50).Draw(rt, "size")), mayHaveRun, now)
				if !was && got != nil || len(got) > MaxWaiters {
					rt.Fatalf("%d answers, pending: %v", len(got), was)
				}
				if was && mayHaveRun && effect != balance.Safe {
					runs++
					ran[o] = run{now, runs}
				}
				delete(pending, o)
			case 3:
				table.RemoveConn(uint64(rapid.IntRange(0, 8).Draw(rt, "gone")))
			}
			kept, bytes := table.safe.kept()+table.others.kept(), 0
			for _, e := range table.answered {
				bytes += len(e.answer)
			}
			recorded := len(table.safe.entries) + len(table.others.entries)
			if table.Pending() != len(pending) || len(pending) > l.MaxPending || kept > l.MaxKept || len(table.others.entries) > l.MaxRecorded ||
				len(table.answered) != recorded || table.keptBytes != bytes || bytes > l.MaxKeptBytes {
				rt.Fatalf("%d pending, %d kept, %d recorded, %d bytes", table.Pending(), kept, recorded, bytes)
			}
		}
	})
}

// Hop-by-Hop identifiers wrap around, are unique among the pending attempts, and belong to one attempt each.
func TestWindow(t *testing.T) {
	w := NewWindow(2, 1<<32-1)
	a, _ := w.Assign(100)
	b, _ := w.Assign(101)
	if a != 1<<32-1 || b != 0 {
		t.Errorf("ids %d, %d: they don't wrap", a, b)
	}
	if _, ok := w.Assign(102); ok {
		t.Error("a full window accepted one more attempt")
	}
	if got, ok := w.Release(b); !ok || got != 101 {
		t.Errorf("answer to %d, %v", got, ok)
	}
	for _, hop := range []uint32{b, 77} {
		if _, ok := w.Release(hop); ok {
			t.Errorf("Release accepted the unused id %d", hop)
		}
	}
	w.next = a // ids wrap around while one is still in use
	if hop, ok := w.Assign(103); !ok || hop == a {
		t.Errorf("id %d was assigned twice", hop)
	}
	if unanswered := w.Close(); fmt.Sprint(unanswered) != "[100 103]" || w.InUse() != 0 {
		t.Errorf("unanswered %v, %d in use", unanswered, w.InUse())
	}
}

// Any text gives rules or an error.
func FuzzRules(f *testing.F) {
	whole, err := os.ReadFile("../../../deploy/diameter.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte("identity = 'a'\nrealm = 'b'\n[[class]]\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := ParseRules("d.toml", raw)
		if (r == nil) == (err == nil) {
			t.Error("neither rules nor an error, or both")
		}
		if r != nil && len(r.Classes) == 0 {
			t.Error("no class for requests that match no other")
		}
	})
}

// A backend is found by its configured identity without regard to case; incomplete or repeated entries are
// refused.
func TestServerIdentities(t *testing.T) {
	const head = "identity = \"r.example.net\"\nrealm = \"example.net\"\n"
	r, err := ParseRules("f", []byte(head+"[[server]]\nhost = \"a\"\nidentity = \"Ocs1.example.net\"\n[[server]]\nhost = \"b\"\naddress = \"127.0.0.1:1\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if host, ok := r.HostByIdentity("ocs1.EXAMPLE.net"); !ok || host != "a" {
		t.Errorf("%q, %v", host, ok)
	}
	if _, ok := r.HostByIdentity("b"); ok {
		t.Error("a host without an identity has one")
	}
	if got := r.Address("a", "127.0.0.1:2"); got != "127.0.0.1:2" {
		t.Errorf("address %q, want the one in the list", got)
	}
	for text, want := range map[string]string{
		"[[server]]\nhost = \"a\"\n":                                                               "neither address nor identity",
		"[[server]]\nhost = \"a\"\nidentity = \"x y\"\n":                                           "server.identity",
		"[[server]]\nhost = \"a\"\naddress = \"here\"\n":                                           "server.address",
		"[[server]]\nhost = \"a\"\nidentity = \"x\"\n[[server]]\nhost = \"b\"\nidentity = \"X\"\n": "line 6: server.identity",
	} {
		if _, err := ParseRules("f", []byte(head+text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
