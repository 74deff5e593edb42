package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
)

const ms = time.Millisecond

// frame returns a batch at 1500.25 ms with the given lines.
func frame(lines ...string) string {
	return "{\"msg\":\"Frame\",\"ClockMs\":1500.25}\n" + strings.Join(lines, "\n") + "\n{\"msg\":\"End\"}\n"
}

func TestEvents(t *testing.T) {
	const list = `{"msg":"DefineList","Sheet":3,"Items":[` +
		`{"Backend":"10.0.0.1:80","Availability":"on","Rating":1.5,"Block":2,"LaunchedMs":900,"Sku":1,"Dc":1},` +
		`{"Backend":"10.0.0.2:80","Availability":"fading"},{"Backend":"10.0.0.3:80","Availability":"off"}]}`
	entries := []balance.Backend{
		{ID: "10.0.0.1:80", Weight: 1.5, Cell: 2, Started: 900 * ms, Kind: 1, Zone: 1},
		{ID: "10.0.0.2:80", State: balance.Draining}, {ID: "10.0.0.3:80", State: balance.Gone}}
	tests := []struct {
		line string
		want balance.Event
	}{
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"Project":2,"Item":"91f0","GraceMs":240.5,"WorkHintMs":12,"StateBits":7}`,
			balance.Request{ID: "d0", Class: 1, Tenant: 2, Key: "91f0", TimeLeft: 240500 * time.Microsecond, Work: 12 * ms,
				Repeat: true, Write: true}},
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":240,"WorkHintMs":12,"Later":{"x":1}}`,
			balance.Request{ID: "d0", TimeLeft: 240 * ms}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"pass","WaitTimeMs":18.5,"Backend":"b","SendNo":2,"Ended":true,"Usage":{"backlog":4,"recent_ms":7,"errors_per_s":0.5,"mood":"sour"}}`,
			balance.Outcome{Request: "d0", Attempt: 2, Backend: "b", Latency: 18500 * time.Microsecond, Done: true,
				Load: balance.Load{Valid: true, Queue: 4, Service: 7 * ms, ErrorsPerSec: 0.5,
					Outstanding: -1, Utilization: -1, Throughput: -1}}},
		{`{"msg":"ProbeDone","Agent":3,"Backend":"b","Outcome":"pass","WaitTimeMs":2,"Usage":{"outstanding":0,"backlog":0,"utilization":0,"recent_ms":0,"throughput":0,"errors_per_s":0}}`,
			balance.ProbeResult{Backend: "b", Latency: 2 * ms, Load: balance.Load{Valid: true}}},
		{`{"msg":"ProbeDone","Agent":3,"Backend":"b","Outcome":"pass","WaitTimeMs":2,"Usage":{"outstanding":7,"utilization":0.5,"throughput":3}}`,
			balance.ProbeResult{Backend: "b", Latency: 2 * ms, Load: balance.Load{Valid: true, Outstanding: 7,
				Utilization: 0.5, Throughput: 3, Queue: -1, Service: -1, ErrorsPerSec: -1}}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"stale_send","WaitTimeMs":0,"Backend":"b","SendNo":0}`,
			balance.Outcome{Request: "d0", Backend: "b", Result: balance.NotSent, Load: toLoad(nil)}},
		{`{"msg":"Expired","Agent":3,"Job":"d0"}`, balance.Abandoned{Request: "d0"}},
		{`{"msg":"Reminder","Agent":3,"Cookie":9223372036854775807}`, balance.TimerFired{Token: 1<<63 - 1}},
		{`{"msg":"Streaming","Agent":3,"Job":"d0","WaitTimeMs":1,"SendNo":1,"Backend":"b"}`,
			balance.StreamStarted{Request: "d0", Attempt: 1, Latency: ms}},
		{`{"msg":"Peer","Agent":3,"From":2,"Msg":"68692037"}`,
			balance.PeerMessage{From: 2, Data: []byte("hi 7")}},
		{`{"msg":"ProbeDone","Agent":3,"Backend":"b","Outcome":"no_route","WaitTimeMs":2}`,
			balance.ProbeResult{Backend: "b", Result: balance.ConnectFailed, Latency: 2 * ms, Load: toLoad(nil)}},
		{`{"msg":"View","Agent":3,"How":"error","Index":4,"Sheet":0}`, balance.List{Kind: balance.ListFailed, Version: 4}},
		{list + "\n" + `{"msg":"View","Agent":3,"How":"diff","Index":4,"Sheet":3}`,
			balance.List{Kind: balance.ListDelta, Version: 4, Backends: entries}},
	}
	for _, tt := range tests {
		b, err := NewReader(strings.NewReader(frame(tt.line))).Next()
		if err != nil {
			t.Errorf("%s: %v", tt.line, err)
			continue
		}
		if b.Now != 1500250*time.Microsecond || len(b.Events) != 1 || b.Events[0].Agent != 3 {
			t.Errorf("%s: batch %+v", tt.line, b)
			continue
		}
		if got := b.Events[0].Event; !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s:\n got %#v\nwant %#v", tt.line, got, tt.want)
		}
	}
}

// factsJSON is a settings object in which every field has a value other than zero. The keys Later and mood are unknown
// to the reader.
const factsJSON = `{"Balancers":3,"Me":1,"Zone":2,"CountedBy":"work","MembershipMode":"subscribe","TickMs":5,"Later":[1],
"Profiles":[{"Name":"x","AimMs":400,"AimStretch":2.5,"DeadlineMs":1500,"Worth":3,"LateValue":0.25,"Semantics":"by_key","Group":"cell",
"WindowMs":3000,"Stream":true}],"Tenants":[{"Name":"t","QuotaPerS":120,"Portion":0.4}],"OverShareWorth":0.05,
"Dcs":["p","q"],"Kinds":["k"],"Clients":{"MarksRetry":true},"FamilyInfo":{"WarmKeys":true},"Weights":"live",
"Report":{"Source":"on_probe","Fields":["outstanding","backlog","utilization","recent_ms","throughput","errors_per_s","mood"]},
"PolicyLimits":{"TryLimit":4,"SecondCopies":true,"MayProbe":true,"Cancel":true,"RetryAfter":true,"Peers":true,"MaxRetryAfterMs":1500,
"ConnectTimeoutMs":250,"IdleCloseMs":30000,"StreamsPerConn":100,"MaxOpen":20000,"CpuUsPerS":50000,"CpuUsPerRequest":150},
"Contract":{"ColdFrom":0.16,"DrainGraceMs":500,"FallMs":1000,"FallMultiple":2.5,"RampTimeMs":20000,"AskWithinMs":10000,"GraceToAnswerMs":20},
"Goal":{"Whole":0.55,"WorstClass":0.3,"WorstWindow":0.15,"WorstTenant":0.1},
"Prices":{"Connection":1,"CrossZone":0.02,"Fleet":2,"Handshake":3,"LateFail":4,"MembershipMode":5,"Moves":6,"Origin":7,"Peer":8,"Probe":9,"Waste":10}}`

func TestSettings(t *testing.T) {
	oneLine := strings.ReplaceAll(factsJSON, "\n", "")
	b, err := NewReader(strings.NewReader(frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":77,"Facts":` + oneLine + `}`))).Next()
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Settings{
		Balancers: 3, Self: 1, Zone: 2, Zones: 2, Kinds: 1, ByWork: true, Subscribe: true, Tick: 5 * ms,
		Classes: []balance.Class{{Aim: 400 * ms, Deadline: 1500 * ms, Worth: 3, LateWorth: 0.25,
			Effect: balance.Keyed, Group: balance.GroupCell, Window: 3 * time.Second, Stretch: 2.5, Stream: true}},
		Tenants: []balance.Tenant{{PerSecond: 120, Portion: 0.4}}, OverShare: 0.05,
		Marked: true, WarmKeys: true, Weights: balance.WeightsLive, Reports: balance.ReportsOnProbe,
		Fields: balance.ReportFields{Outstanding: true, Queue: true, Utilization: true, Service: true,
			Throughput: true, ErrorsPerSec: true},
		MaxAttempts: 4, SecondCopies: true, MayProbe: true, MayCancel: true, RetryAfter: true, Peers: true,
		MaxRetryAfter: 1500 * ms, ConnectTimeout: 250 * ms, IdleClose: 30 * time.Second, StreamsPerConn: 100,
		MaxOpen: 20000, CPUPerSecond: 50 * ms, CPUPerRequest: 150 * time.Microsecond,
		DrainGrace: 500 * ms, AnswerGrace: 20 * ms, AskWithin: 10 * time.Second, ColdShare: 0.16,
		RampTime: 20 * time.Second, FallMultiple: 2.5, FallWindow: time.Second,
		GoalWhole: 0.55, GoalWindow: 0.15, GoalClass: 0.3, GoalTenant: 0.1,
		Prices: balance.Prices{Connection: 1, CrossZone: 0.02, Fleet: 2, Handshake: 3, LateFail: 4, List: 5,
			Moves: 6, Origin: 7, Peer: 8, Probe: 9, Waste: 10},
	}
	if o := b.Events[0].Open; o == nil || o.Seed != 77 || !reflect.DeepEqual(o.Settings, want) {
		t.Errorf("got %+v\nwant %+v", o, want)
	}
	// Each field of Settings must be carried: none may be left at its zero value above.
	v := reflect.ValueOf(want)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Errorf("the example doesn't set %s", v.Type().Field(i).Name)
		}
	}
	if _, err := balance.New(b.Events[0].Open.Settings, 1); err != nil {
		t.Error(err)
	}
}

func TestBadInput(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"not JSON", frame("{oops"), "line 2: "},
		{"unknown message", frame(`{"msg":"Nope","Agent":1}`), "line 2: Nope: unknown message"},
		{"missing field", frame(`{"msg":"Submit","Agent":1,"Job":"x"}`), "line 2: Submit: missing"},
		{"missing instance", frame(`{"msg":"Expired","Job":"x"}`), "line 2: Expired: missing Agent"},
		{"ill-typed field", frame(`{"msg":"Expired","Agent":"one","Job":"x"}`), "line 2: "},
		{"ill-typed field by name", frame(`{"msg":"Ended","Agent":1,"WaitTimeMs":"x"}`), "line 2: Ended: json: cannot unmarshal string into Go struct field message.WaitTimeMs"},
		{"ill-typed load value", frame(`{"msg":"Ended","Agent":1,"Usage":{"backlog":"x"}}`), "Usage.Backlog"},
		{"unknown meaning of weights", frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Weights":"odd"}}`), `Weights: unknown meaning "odd"`},
		{"unknown source of reports", frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Report":{"Source":"owl"}}}`), `Report.Source: unknown source "owl"`},
		{"list never defined", frame(`{"msg":"View","Agent":1,"How":"diff","Sheet":5}`), "line 2: View: Sheet 5 was never defined"},
		{"unknown outcome", frame(`{"msg":"Ended","Agent":1,"Job":"x","Outcome":"huh","WaitTimeMs":1,"Backend":"b","SendNo":0}`), `unknown Outcome "huh"`},
		{"unknown kind of class", frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Profiles":[{"Semantics":"maybe"}]}}`),
			`Profiles[0].Semantics: unknown kind "maybe"`},
		{"ends within a batch", "{\"msg\":\"Frame\",\"ClockMs\":1}\n", "line 1: the input ends within a batch"},
		{"frame without clock", "{\"msg\":\"Frame\"}\n", "line 1: Frame: missing ClockMs"},
		{"event outside a batch", "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"x\"}\n", "outside a batch"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(tt.in)).Next()
			if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}

func TestActions(t *testing.T) {
	tests := []struct {
		action balance.Action
		want   string
	}{
		{balance.Send{Request: "d0", Backend: "b", Timeout: 80500 * time.Microsecond},
			`{"msg":"Try","Agent":4,"Job":"d0","Backend":"b","PatienceMs":80.5}`},
		{balance.Send{Request: "d0", Backend: "b"}, `{"msg":"Try","Agent":4,"Job":"d0","Backend":"b"}`},
		{balance.Cancel{Request: "d0", Attempt: 2}, `{"msg":"Cancel","Agent":4,"Job":"d0","SendNo":2}`},
		{balance.Refuse{Request: "d0", RetryAfter: 5 * ms}, `{"msg":"SayNo","Agent":4,"Job":"d0","WaitMs":5}`},
		{balance.Refuse{Request: "d0"}, `{"msg":"SayNo","Agent":4,"Job":"d0"}`},
		{balance.Fail{Request: `q"\`}, `{"msg":"DropRequest","Agent":4,"Job":"q\"\\"}`},
		{balance.SetTimer{After: ms / 4, Token: 9}, `{"msg":"SetTimer","Agent":4,"SpanMs":0.25,"Cookie":9}`},
		{balance.Probe{Backend: "b"}, `{"msg":"Test","Agent":4,"Backend":"b"}`},
		{balance.TellPeer{To: 3, Data: []byte("hi 7")},
			`{"msg":"WritePeer","Agent":4,"Whom":3,"Msg":"68692037"}`},
		{balance.TellPeer{To: balance.EveryPeer, Data: []byte("hi 7")},
			`{"msg":"WritePeer","Agent":4,"Whom":null,"Msg":"68692037"}`},
		{balance.Subscribe{}, `{"msg":"KeepInformed","Agent":4,"Enable":true}`},
		{balance.Unsubscribe{}, `{"msg":"KeepInformed","Agent":4,"Enable":false}`},
		{balance.FetchList{}, `{"msg":"ListAll","Agent":4}`},
		{balance.CloseIdle{Backend: "b"}, `{"msg":"CloseIdle","Agent":4,"Backend":"b"}`},
		{balance.Trace{Text: "two\nlines"}, `{"msg":"Trace","Agent":4,"Msg":"two\nlines"}`},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		w := NewWriter(&out)
		if err := w.Actions(4, []balance.Action{tt.action}); err != nil {
			t.Fatal(err)
		}
		if err := w.End(); err != nil {
			t.Fatal(err)
		}
		if want := tt.want + "\n{\"msg\":\"Eor\"}\n"; out.String() != want {
			t.Errorf("%#v:\n got %swant %s", tt.action, out.String(), want)
		}
	}
}

// Lines and batches of several megabytes are read whole.
func TestLongBatch(t *testing.T) {
	var in strings.Builder
	for i := range 50000 {
		fmt.Fprintf(&in, "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"%016x\"}\n", i)
	}
	pad := `{"msg":"Expired","Agent":1,"Job":"x","Later":"` + strings.Repeat("y", 3<<20) + `"}`
	b, err := NewReader(strings.NewReader(frame(in.String() + pad))).Next()
	if err != nil || len(b.Events) != 50001 {
		t.Fatalf("%v: read %d events", err, len(b.Events))
	}
}

// FuzzReader feeds arbitrary bytes to the reader. It must return batches or an error without a panic, and balance.New
// must not panic on any settings that it accepts.
func FuzzReader(f *testing.F) {
	f.Add(frame(`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":1e300,"StateBits":-1}`))
	f.Add(frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":77,"Facts":` + strings.ReplaceAll(factsJSON, "\n", "") + `}`))
	f.Add(frame(`{"msg":"DefineList","Sheet":0,"Items":[{"Backend":"b","Availability":"on","LaunchedMs":-1e300}]}`,
		`{"msg":"View","Agent":3,"How":"snapshot","Sheet":0}`))
	f.Add(frame(`{"msg":"Ended","Agent":-1,"Job":"","Outcome":"cut","WaitTimeMs":-5,"Backend":"","SendNo":-7,"Usage":{}}`))
	f.Add("{\"msg\":\"End\"}\n\n{}")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for {
			b, err := r.Next()
			if err != nil {
				return
			}
			for _, e := range b.Events {
				if e.Open != nil && e.Open.Settings.Balancers < 1000 {
					balance.New(e.Open.Settings, e.Open.Seed)
				}
			}
		}
	})
}

func TestParseSettingsNames(t *testing.T) {
	_, names, err := ParseSettings([]byte(`{"Dcs":["a","b"],"Kinds":["m1"],"Tenants":[{"Name":"acme"}],
	 "Profiles":[{"Name":"read","Semantics":"repeatable"},{"Name":"sub","Semantics":"by_key"}]}`))
	want := Names{Classes: []string{"read", "sub"}, Tenants: []string{"acme"}, Zones: []string{"a", "b"}, Kinds: []string{"m1"}}
	if err != nil || !reflect.DeepEqual(names, want) {
		t.Errorf("got %+v, %v", names, err)
	}
}

func TestParseLoad(t *testing.T) {
	l, err := ParseLoad([]byte(`{"recent_ms":14.5,"backlog":0,"new":1}`))
	if err != nil || !l.Valid || l.Service != 14500*time.Microsecond || l.Queue != 0 || l.Throughput >= 0 {
		t.Errorf("got %+v, %v", l, err)
	}
	if l, err := ParseLoad([]byte(`{"backlog":`)); err == nil || l != balance.NoLoad() {
		t.Errorf("got %+v, %v", l, err)
	}
}

// An impossible value invalidates its whole report: it would stay in the balancer's running averages.
func TestParseLoadRange(t *testing.T) {
	for _, raw := range []string{`{"recent_ms":14,"backlog":-1}`, `{"recent_ms":1e300}`, `{"backlog":3,"throughput":1e7}`, `{"backlog":1e999}`, `{"outstanding":"3"}`} {
		if l, _ := ParseLoad([]byte(raw)); l != balance.NoLoad() {
			t.Errorf("%s: got %+v", raw, l)
		}
	}
}
