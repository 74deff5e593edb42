// Package wire translates between the JSON lines of the bench and the events and actions of package balance. It makes
// no decisions.
package wire

import (
	"bufio"
	"cmp"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"lemonrail/balance"
)

// Open is the event that creates an instance (a simulated agent with a Balancer of its own) without any
// state.
type Open struct {
	Seed     uint64
	Settings balance.Settings
}

// Event is one event of a batch and the instance that it is for. Exactly one of Open, Retire and Event is
// set.
type Event struct {
	Line   int           // line number in the stream, from 1
	Agent  int           // number of the agent, which is the instance that the event is for
	Open   *Open         // the instance is created, or replaced by one without state
	Retire bool          // the instance is killed
	Event  balance.Event // passed to the instance's Balancer
}

// Batch holds the events of any number of instances at one time.
type Batch struct {
	Now    time.Duration // time of the events on the bench's clock
	Events []Event
}

// Reader reads batches of events from JSON lines.
type Reader struct {
	in    *bufio.Reader
	line  int                       // number of the line read last, from 1
	lists map[int][]balance.Backend // lists that the stream has defined, by their Sheet number
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), lists: map[int][]balance.Backend{}}
}

// listedBackend is one backend in a DefineList message.
type listedBackend struct {
	Backend      string  // id of the backend, such as 10.0.0.1:80
	Availability string  // state on the wire: on, fading or off
	Rating       float64 // weight of the backend; Weights in the settings says what it means
	Block        int     // index of the backend's cell (balance.Backend.Cell)
	LaunchedMs   float64 // when the backend started, in milliseconds on the bench's clock
	Sku          int     // index of the backend's hardware kind, balance.Backend.Kind
	Dc           int     // index of the backend's zone
}

// message is one JSON line from the bench; Kind decides which of the other fields it has. A field is a
// pointer where some kind of message requires it.
type message struct {
	Kind       string           `json:"msg"`
	ClockMs    *float64         // Frame: time of the batch, in milliseconds on the bench's clock
	Agent      *int             // number of the agent that the message is for
	RandomSeed *uint64          // OpenInstance: seed of the Balancer's random numbers
	Facts      json.RawMessage  // OpenInstance: the settings object, see ParseSettings
	Sheet      *int             // DefineList: number given to the list; View: number of the list that is sent
	Index      int64            // View: version of the list
	Items      *[]listedBackend // DefineList: the backends
	How        *string          // View: kind of the list on the wire: diff, snapshot, disk or error
	Job        *string          // id of the request
	TierClass  *int             // Submit: index of the request's class
	Project    int              // Submit: index of the request's tenant
	Item       string           // Submit: key of the data that the request reads or writes
	GraceMs    *float64         // Submit: time that the client still waits, in milliseconds
	WorkHintMs float64          // Submit: expected work of the request in milliseconds, if bitHintValid is set
	StateBits  int              // Submit: bitHintValid, bitRepeat and bitWrite
	Outcome    *string          // Ended, ProbeDone: result of the attempt or probe on the wire, such as pass or fault
	WaitTimeMs *float64         // Ended, ProbeDone, Streaming: time since the attempt or probe was sent, in milliseconds
	Backend    *string          // Ended, ProbeDone: id of the backend that was used
	SendNo     *int             // Ended, Streaming: number of the attempt within its request
	Ended      bool             // Ended: the request has its final answer (balance.Outcome.Done)
	Usage      *loadReport      // Ended, ProbeDone: the backend's load report; nil: none
	Cookie     *int64           // Reminder: token of the timer that has fired
	From       *int             // Peer: number of the agent that sent the message
	Text       *string          `json:"Msg"` // Peer: the message in hex
}

// loadReport is a load report of a backend on the wire, with the meaning of the fields in balance.Load. A field
// that is absent is nil; further fields are ignored.
type loadReport struct {
	Outstanding  *float64
	Backlog      *float64
	Utilization  *float64
	RecentMs     *float64 `json:"recent_ms"`
	Throughput   *float64
	ErrorsPerSec *float64 `json:"errors_per_s"`
}

// Bits of message.StateBits.
const (
	bitHintValid = 1 // WorkHintMs is the expected work of the request
	bitRepeat    = 2 // the client marks the request as a repeat
	bitWrite     = 4 // the request writes
)

// resultsByOutcome maps the Outcome of a message to the result of an attempt or probe.
var resultsByOutcome = map[string]balance.Result{
	"pass": balance.OK, "fault": balance.Errored, "no_room": balance.Full,
	"too_slow": balance.TimedOut, "no_route": balance.ConnectFailed, "cut": balance.Reset,
	"undone": balance.Cancelled, "stale_send": balance.NotSent,
}

// listKinds maps the field How of a View to the kind of its list.
var listKinds = map[string]balance.ListKind{
	"diff": balance.ListDelta, "snapshot": balance.ListFull,
	"disk": balance.ListCached, "error": balance.ListFailed,
}

// statesByAvailability maps the Availability of an entry to the state of the backend.
var statesByAvailability = map[string]balance.BackendState{
	"on": balance.Up, "fading": balance.Draining, "off": balance.Gone,
}

// Next reads one batch, from its Frame line to its End line. It returns io.EOF where the input ends between
// two batches.
func (r *Reader) Next() (*Batch, error) {
	var b *Batch
	for {
		text, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if b != nil {
				return nil, fmt.Errorf("line %d: the input ends within a batch", r.line)
			}
			return nil, io.EOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		r.line++
		if isBlank(text) {
			continue
		}
		var m message
		if err := json.Unmarshal(text, &m); err != nil {
			return nil, fmt.Errorf("line %d: %s: %w", r.line, cmp.Or(m.Kind, "no message"), err)
		}
		switch {
		case m.Kind == "Frame" && b == nil && m.ClockMs != nil:
			b = &Batch{Now: Duration(*m.ClockMs)}
		case m.Kind == "Frame" && b == nil:
			return nil, fmt.Errorf("line %d: Frame: missing ClockMs", r.line)
		case m.Kind == "Frame":
			return nil, fmt.Errorf("line %d: Frame within a batch", r.line)
		case b == nil:
			return nil, fmt.Errorf("line %d: %q outside a batch", r.line, m.Kind)
		case m.Kind == "End":
			return b, nil
		default:
			if err := r.addEvent(b, &m); err != nil {
				return nil, fmt.Errorf("line %d: %s: %w", r.line, m.Kind, err)
			}
		}
	}
}

func isBlank(text []byte) bool {
	for _, c := range text {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			return false
		}
	}
	return true
}

// addEvent adds the event of a message to a batch. A DefineList message makes no event: its list is stored
// for later View messages.
func (r *Reader) addEvent(b *Batch, m *message) error {
	if m.Kind == "DefineList" {
		return r.defineList(m)
	}
	e := Event{Line: r.line}
	var err error
	switch m.Kind {
	case "OpenInstance":
		if m.RandomSeed == nil || m.Facts == nil {
			return errors.New("missing RandomSeed or Facts")
		}
		e.Open = &Open{Seed: *m.RandomSeed}
		e.Open.Settings, _, err = ParseSettings(m.Facts)
	case "Retire":
		e.Retire = true
	case "View":
		e.Event, err = r.view(m)
	case "Submit":
		if m.Job == nil || m.TierClass == nil || m.GraceMs == nil {
			return errors.New("missing Job, TierClass or GraceMs")
		}
		q := balance.Request{ID: *m.Job, Class: *m.TierClass, Tenant: m.Project, Key: m.Item,
			TimeLeft: Duration(*m.GraceMs), Repeat: m.StateBits&bitRepeat != 0, Write: m.StateBits&bitWrite != 0}
		if m.StateBits&bitHintValid != 0 {
			q.Work = Duration(m.WorkHintMs)
		}
		e.Event = q
	case "Ended":
		if m.Job == nil || m.Outcome == nil || m.SendNo == nil || m.Backend == nil || m.WaitTimeMs == nil {
			return errors.New("missing Job, Outcome, SendNo, Backend or WaitTimeMs")
		}
		res, ok := resultsByOutcome[*m.Outcome]
		if !ok {
			return fmt.Errorf("unknown Outcome %q", *m.Outcome)
		}
		e.Event = balance.Outcome{Request: *m.Job, Attempt: *m.SendNo, Backend: *m.Backend, Result: res,
			Latency: Duration(*m.WaitTimeMs), Done: m.Ended, Load: toLoad(m.Usage)}
	case "ProbeDone":
		if m.Backend == nil || m.Outcome == nil || m.WaitTimeMs == nil {
			return errors.New("missing Backend, Outcome or WaitTimeMs")
		}
		res, ok := resultsByOutcome[*m.Outcome]
		if !ok {
			return fmt.Errorf("unknown Outcome %q", *m.Outcome)
		}
		e.Event = balance.ProbeResult{Backend: *m.Backend, Result: res,
			Latency: Duration(*m.WaitTimeMs), Load: toLoad(m.Usage)}
	case "Streaming":
		if m.Job == nil || m.SendNo == nil {
			return errors.New("missing Job or SendNo")
		}
		e.Event = balance.StreamStarted{Request: *m.Job, Attempt: *m.SendNo, Latency: Duration(m.waitTimeMs())}
	case "Expired":
		if m.Job == nil {
			return errors.New("missing Job")
		}
		e.Event = balance.Abandoned{Request: *m.Job}
	case "Reminder":
		if m.Cookie == nil {
			return errors.New("missing Cookie")
		}
		e.Event = balance.TimerFired{Token: *m.Cookie}
	case "Peer":
		if m.From == nil || m.Text == nil {
			return errors.New("missing From or Msg")
		}
		data, err := hex.DecodeString(*m.Text)
		if err != nil {
			//lint:ignore ST1005 the error begins with the name of the field
			return fmt.Errorf("Msg: %w", err)
		}
		e.Event = balance.PeerMessage{From: *m.From, Data: data}
	default:
		return errors.New("unknown message")
	}
	if err != nil {
		return err
	}
	if m.Agent == nil {
		return errors.New("missing Agent")
	}
	e.Agent = *m.Agent
	b.Events = append(b.Events, e)
	return nil
}

// defineList stores the list of a DefineList message under its number.
func (r *Reader) defineList(m *message) error {
	if m.Sheet == nil || m.Items == nil {
		return errors.New("missing Sheet or Items")
	}
	list := make([]balance.Backend, 0, len(*m.Items))
	for _, it := range *m.Items {
		state, ok := statesByAvailability[it.Availability]
		if !ok {
			return fmt.Errorf("unknown Availability %q", it.Availability)
		}
		if it.Backend == "" {
			return errors.New("missing Backend")
		}
		list = append(list, balance.Backend{ID: it.Backend, State: state, Zone: it.Dc, Cell: it.Block,
			Kind: it.Sku, Weight: it.Rating, Started: Duration(it.LaunchedMs)})
	}
	r.lists[*m.Sheet] = list
	return nil
}

// view returns the list event of a View message, with the list that was stored under its number.
func (r *Reader) view(m *message) (balance.Event, error) {
	if m.How == nil {
		return nil, errors.New("missing How")
	}
	kind, ok := listKinds[*m.How]
	if !ok {
		return nil, fmt.Errorf("unknown How %q", *m.How)
	}
	if kind == balance.ListFailed {
		return balance.List{Kind: kind, Version: m.Index}, nil
	}
	if m.Sheet == nil {
		return nil, errors.New("missing Sheet")
	}
	list, ok := r.lists[*m.Sheet]
	if !ok {
		//lint:ignore ST1005 the error begins with the name of the field
		return nil, fmt.Errorf("Sheet %d was never defined", *m.Sheet)
	}
	return balance.List{Kind: kind, Version: m.Index, Backends: list}, nil
}

// ParseLoad decodes the JSON load report of a backend. Values that the report lacks are negative.
func ParseLoad(raw []byte) (balance.Load, error) {
	var u loadReport
	if err := json.Unmarshal(raw, &u); err != nil {
		return balance.NoLoad(), fmt.Errorf("load report: %w", err)
	}
	return toLoad(&u), nil
}

const maxLoadValue = 1e6 // larger than any real load value: above ten minutes in ms, a million requests

// toLoad converts a load report, which may be nil, to the form of package balance.
func toLoad(u *loadReport) balance.Load {
	l := balance.NoLoad()
	if u == nil {
		return l
	}
	l.Valid = true
	// A report with an impossible value is dropped whole: the value would stay in the balancer's running averages.
	for _, f := range []*float64{u.Outstanding, u.Backlog, u.Utilization, u.RecentMs, u.Throughput, u.ErrorsPerSec} {
		if f != nil && !(*f >= 0 && *f <= maxLoadValue) {
			return balance.NoLoad()
		}
	}
	for _, f := range []struct {
		from *float64
		to   *float64
	}{{u.Outstanding, &l.Outstanding}, {u.Backlog, &l.Queue}, {u.Utilization, &l.Utilization},
		{u.Throughput, &l.Throughput}, {u.ErrorsPerSec, &l.ErrorsPerSec}} {
		if f.from != nil {
			*f.to = *f.from
		}
	}
	if u.RecentMs != nil {
		l.Service = Duration(*u.RecentMs)
	}
	return l
}

// waitTimeMs returns the message's WaitTimeMs, or 0 if it has none.
func (m *message) waitTimeMs() float64 {
	if m.WaitTimeMs == nil {
		return 0
	}
	return *m.WaitTimeMs
}

// Duration converts milliseconds to a duration. Values beyond 2^62 ns in either direction are limited to it.
func Duration(ms float64) time.Duration {
	const maxNanoseconds = 1 << 62
	return time.Duration(math.Round(min(max(ms*1e6, -maxNanoseconds), maxNanoseconds)))
}

// Writer writes the replies to batches, each one whole: a reply is buffered until End, so nothing of it is
// written if an error occurs before.
type Writer struct {
	out   io.Writer
	reply []byte // the lines of the current reply
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// Actions adds the actions of one instance, as JSON lines with its number agent, to the reply.
func (w *Writer) Actions(agent int, actions []balance.Action) error {
	for _, a := range actions {
		switch a := a.(type) {
		case balance.Send:
			w.begin("Try", agent).str("Job", a.Request).str("Backend", a.Backend)
			if a.Timeout > 0 {
				w.ms("PatienceMs", a.Timeout)
			}
		case balance.Cancel:
			w.begin("Cancel", agent).str("Job", a.Request).num("SendNo", int64(a.Attempt))
		case balance.Refuse:
			w.begin("SayNo", agent).str("Job", a.Request)
			if a.RetryAfter > 0 {
				w.ms("WaitMs", a.RetryAfter)
			}
		case balance.Fail:
			w.begin("DropRequest", agent).str("Job", a.Request)
		case balance.SetTimer:
			w.begin("SetTimer", agent).ms("SpanMs", a.After).num("Cookie", a.Token)
		case balance.Probe:
			w.begin("Test", agent).str("Backend", a.Backend)
		case balance.TellPeer:
			w.begin("WritePeer", agent).peer("Whom", a.To).str("Msg", hex.EncodeToString(a.Data))
		case balance.Subscribe:
			w.begin("KeepInformed", agent).raw("Enable", "true")
		case balance.Unsubscribe:
			w.begin("KeepInformed", agent).raw("Enable", "false")
		case balance.FetchList:
			w.begin("ListAll", agent)
		case balance.CloseIdle:
			w.begin("CloseIdle", agent).str("Backend", a.Backend)
		case balance.Trace:
			w.begin("Trace", agent).str("Msg", a.Text)
		default:
			return fmt.Errorf("no wire form for action %T", a)
		}
		w.reply = append(w.reply, "}\n"...)
	}
	return nil
}

// Broken adds to the reply that the decision code of an instance has panicked, with the panic's text.
func (w *Writer) Broken(agent int, text string) {
	w.begin("Broken", agent).str("Msg", text)
	w.reply = append(w.reply, "}\n"...)
}

// End completes the reply with an end line, writes it to the output and empties the buffer.
func (w *Writer) End() error {
	w.reply = append(w.reply, "{\"msg\":\"Eor\"}\n"...)
	_, err := w.out.Write(w.reply)
	w.reply = w.reply[:0]
	return err
}

// begin begins a line: a JSON object with the members msg and Agent. The caller adds the other members and
// the closing brace.
func (w *Writer) begin(msg string, agent int) *Writer {
	w.reply = append(w.reply, `{"msg":"`...)
	w.reply = append(w.reply, msg...)
	w.reply = append(w.reply, '"')
	return w.num("Agent", int64(agent))
}

// key appends a comma and the name of the next member.
func (w *Writer) key(name string) {
	w.reply = append(w.reply, `,"`...)
	w.reply = append(w.reply, name...)
	w.reply = append(w.reply, `":`...)
}

// raw appends a member whose value v is already JSON.
func (w *Writer) raw(name, v string) *Writer {
	w.key(name)
	w.reply = append(w.reply, v...)
	return w
}

// peer appends a member with the number of an agent, or null for balance.EveryPeer.
func (w *Writer) peer(name string, to int) *Writer {
	if to == balance.EveryPeer {
		return w.raw(name, "null")
	}
	return w.num(name, int64(to))
}

// num appends a member with an integer value.
func (w *Writer) num(name string, v int64) *Writer {
	w.key(name)
	w.reply = strconv.AppendInt(w.reply, v, 10)
	return w
}

// ms appends a member with a duration in milliseconds.
func (w *Writer) ms(name string, d time.Duration) *Writer {
	w.key(name)
	w.reply = strconv.AppendFloat(w.reply, float64(d)/1e6, 'f', -1, 64)
	return w
}

// str appends a member with a string value.
func (w *Writer) str(name, v string) *Writer {
	w.key(name)
	for i := range len(v) {
		if c := v[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(v) // a string always marshals
			w.reply = append(w.reply, quoted...)
			return w
		}
	}
	w.reply = append(w.reply, '"')
	w.reply = append(w.reply, v...)
	w.reply = append(w.reply, '"')
	return w
}
