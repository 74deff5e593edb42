// Package balance decides, for one client-side balancer, where each
// request goes, when it is tried again, and when it is
// refused. It performs no I/O: the embedding agent owns the clock, the timers
// and the connections, passes on what happened as events, and carries out the
// actions it gets back, in order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's
// own monotonic clock, whose zero is of no matter; they must not run backwards.
// Its memory is bounded by the requests and attempts that are open, the timers
// that are pending and the backends that are listed.
package balance

import "time"

// Effect says what repeating a request does.
type Effect uint8

const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // backends of one group drop a repeat within a window
	Unsafe               // may be repeated only when no attempt can have run
)

// Group says which backends drop repeats of a keyed request.
type Group uint8

const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // an answer within this time earns the full worth
	Deadline  time.Duration // the time a client waits, over all its tries
	Worth     float64       // worth of a request (or of a unit of work, see Settings.ByWork)
	LateWorth float64       // share of the worth earned between aim and deadline
	Effect    Effect
	Group     Group         // for Keyed
	Window    time.Duration // for Keyed: how long a repeat is dropped after the first send
	Stretch   float64       // the aim grows by so many times the work of a request; nothing reads it yet
	Stream    bool          // answers are streams; nothing reads it yet, StreamStarted tells
}

// Tenant is one party that shares the backends with others.
type Tenant struct {
	PerSecond float64 // requests a second, over all agents, within its share
	Portion   float64 // its part of the service; nothing reads it yet
}

// WeightMeaning says what Backend.Weight stands for.
type WeightMeaning uint8

const (
	WeightsOff     WeightMeaning = iota // always 1
	WeightsNominal                      // the registered size
	WeightsRough                        // about the size
	WeightsLive                         // the size over 1 + requests held a core, some time ago
)

// ReportSource says where load reports come from.
type ReportSource uint8

const (
	ReportsOff     ReportSource = iota
	ReportsInline               // in outcomes and probe results
	ReportsOnProbe              // in probe results only
)

// ReportFields names the values that load reports carry.
type ReportFields struct {
	Outstanding, Queue, Utilization, Service, Throughput, ErrorsPerSec bool
}

// Prices are taken off the operator's result, each times its share or rate. The module reads
// CrossZone; the others are carried for decisions to come.
type Prices struct {
	Connection float64 // mean open connections over 100 x backends
	CrossZone  float64 // attempts that cross zones, as a share of first tries
	Fleet      float64 // backends that run or are on order, as a share of those at the start
	Handshake  float64 // new connections for each first try
	LateFail   float64 // worth that ended unserved after its aim
	List       float64 // list lines sent over 100 x first tries
	Moves      float64 // moves for each first try
	Origin     float64 // origin fetches for each first try
	Peer       float64 // due in full at 256 peer bytes for each first try
	Probe      float64 // probes for each first try
	Waste      float64 // backend work that served no answer, as a share of the work offered
}

// Settings are fixed for the life of a Balancer, but for what Reconfigure may replace. The zero value of a field that
// may be absent means what its comment says; the zero value of a price, a goal or
// a span switches off what rests on it. What agents may do at a site and what bounds
// it are part of the interface even where the present module asks for none of it.
type Settings struct {
	Balancers int // agents that share these backends, this one included; at least 1
	Self      int // this agent's number, from 0
	Zone      int // this agent's zone
	Zones     int // how many zones there are; 0: not told; nothing reads it yet
	Kinds     int // how many kinds of backend; 0: not told; nothing reads it yet
	Classes   []Class
	Tenants   []Tenant      // none: requests belong to nobody in particular
	OverShare float64       // worth of a request beyond its tenant's share, over its class's worth
	ByWork    bool          // worth counts per unit of work, not per request
	Subscribe bool          // the list must be asked for; else it is told unasked
	Tick      time.Duration // shortest gap between two steps; 0: none
	Marked    bool          // clients mark their repeats; nothing reads it yet
	WarmKeys  bool          // a backend that served a key lately needs less work for it; unread yet
	Weights   WeightMeaning // nothing reads it yet
	Reports   ReportSource  // nothing reads it yet, Load.Valid tells
	Fields    ReportFields  // nothing reads it yet, negative values tell

	MaxAttempts    int           // attempts one request may get; 0: 1
	SecondCopies   bool          // two attempts of one request may be out together
	MayProbe       bool          // Probe actions are allowed
	MayCancel      bool          // Cancel actions are allowed
	Peers          bool          // TellPeer actions are allowed
	RetryAfter     bool          // clients are shown Refuse.RetryAfter
	MaxRetryAfter  time.Duration // the longest wait that a client heeds
	ConnectTimeout time.Duration // a connection not made in this time fails
	IdleClose      time.Duration // an unused connection closes after this time
	StreamsPerConn int           // attempts that one connection carries; 0: not told; unread yet
	MaxOpen        int           // open requests an agent may have; 0: no bound; unread yet
	CPUPerSecond   time.Duration // CPU that an agent may use in a second; 0: no bound; unread yet
	CPUPerRequest  time.Duration // and for a request, in the mean; 0: no bound; unread yet

	DrainGrace   time.Duration // how long sends to a draining backend are still tolerated
	AnswerGrace  time.Duration // how long after its deadline a final answer still counts
	AskWithin    time.Duration // Subscribe: ask at least this often while not subscribed
	ColdShare    float64       // a backend starts at this share of its capacity or more; 0: 1
	RampTime     time.Duration // and is warm no later than this after its start
	FallMultiple float64       // a cold backend sent more than this multiple of its capacity ...
	FallWindow   time.Duration // ... over this span falls over

	// What the operator weighs: all, the worst span, the worst class, the worst tenant.
	GoalWhole, GoalWindow, GoalClass, GoalTenant float64

	Prices Prices
}

// BackendState is what the list says of a backend.
type BackendState uint8

const (
	Up       BackendState = iota
	Draining              // finishing its work
	Gone                  // removed
)

// Backend is one entry of the list.
type Backend struct {
	ID      string
	State   BackendState
	Zone    int
	Cell    int
	Kind    int
	Weight  float64
	Started time.Duration // when its process last started; 0: long ago
}

// Event is something that happened at the time of a Step.
type Event interface{ event() }

// ListKind says how a List is to be read.
type ListKind uint8

const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a backend that is missing is gone
	ListCached                 // all entries as last stored; may be stale
	ListFailed                 // asking failed or the subscription broke; the old list holds
)

type (
	// List carries the backends or the failure to get them.
	List struct {
		Kind     ListKind
		Version  int64 // of the list; nothing reads it yet
		Backends []Backend
		Within   time.Duration // with ListFailed: in which it is to be asked for again; 0: as the settings say
	}
	// Request is a client's request. The balancer owes it one final answer.
	Request struct {
		ID     string
		Class  int
		Tenant int           // place in Settings.Tenants; 0 where there are none
		Key    string        // the subject; requests with one key go together; may be empty; unread yet
		Left   time.Duration // until this client stops waiting
		Work   time.Duration // expected work; 0: unknown
		Repeat bool          // the client says that it tries again
		Write  bool          // nothing reads it yet
		Only   string        // the backend that alone may get it; empty: any
	}
	// Outcome ends one attempt. The agent passes on exactly one for each Send.
	Outcome struct {
		Request string
		Attempt int // attempts of a request count from 0 in the order of their Send
		Backend string
		Result  Result
		Latency time.Duration // since it was sent
		Done    bool          // the request has its final answer, by this outcome or before
		// With Reset and ConnectFailed: other connections to the backend, made before, still stand,
		// so that its process goes on. false: none stands, or it is not known.
		Standing bool
		Load     Load
	}
	// StreamStarted says that the answer of an attempt has begun to reach the client.
	StreamStarted struct {
		Request string
		Attempt int
		Latency time.Duration // since it was sent
	}
	// Abandoned says that the client left; nothing is owed any longer.
	Abandoned struct{ Request string }
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// TimerFired says that a SetTimer has come due.
	TimerFired struct{ Token int64 }
	// Part says which part of this agent's limit and retry tokens is this process's, where one process
	// replaces another and both serve: over 0, and 1 where it is the only one.
	Part struct{ Of float64 }
	// Sites says what becomes of zones of which one is lost or returns: internal/site decides it, the module heeds it
	// with each request. The latest one counts; the zero value is that all is well.
	Sites struct {
		// By zone, what its backends count for in picks; 0: its backends get trials alone, and their places
		// count for nothing. A zone beyond the end counts for 1.
		Share   []float64
		Planned bool // Share says where load is to go, so that crossing zones is no price
		// By class, the share that waits for room where there is none at once; the rest is refused at once while
		// requests of the share wait. A class beyond the end waits as ever. Clients' repeats of a class of which any
		// is refused are refused first.
		Admit []float64
		Trial []bool // by zone: one request that may be repeated is to try it
		// By zone: requests that may not simply be repeated are not begun there yet; they would lose most should it fail.
		Gentle []bool
		// Back says after how long a client whose request of a class is refused now is to come again; nil: as ever.
		Back func(class int) time.Duration
	}
	// Reconfigure replaces the settings that may change while a Balancer lives (see Settings.CanBecome, which must have
	// allowed it). It holds for requests that come after it; those in hand end by the settings that they came with. What
	// the Balancer has learned stays.
	Reconfigure struct{ Settings Settings }
	// Fleet says how many agents live, where that is known; Settings.Balancers holds until then. Living are
	// those to reckon with as busy, Possible those that may be in the worst case, and Away the numbers of those
	// that have left or died, whose wishes are void.
	Fleet struct {
		Living, Possible int
		Away             []int
	}
	// PeerMessage carries bytes from another agent.
	PeerMessage struct {
		From int
		Data []byte
	}
)

// Load is what a backend reported of itself, late and with noise. A value that it did not
// report is negative: none is not nought.
type Load struct {
	Valid        bool          // one came
	Outstanding  float64       // requests held; negative: not reported, as below
	Queue        float64       // of these, requests waiting
	Utilization  float64       // busy share of its cores
	Service      time.Duration // recent service time without waiting
	Throughput   float64       // requests served a second
	ErrorsPerSec float64
}

// NoLoad is the load of what brought no report.
func NoLoad() Load {
	return Load{Outstanding: -1, Queue: -1, Utilization: -1, Service: -1, Throughput: -1, ErrorsPerSec: -1}
}

// Result says how an attempt or a probe ended.
type Result uint8

const (
	OK            Result = iota // served
	Errored                     // the backend returned an error; may have run
	Full                        // turned away unseen; never ran
	TimedOut                    // no answer in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // withdrawn; may have run
	NotSent                     // never sent
	Withdrawn                   // never sent: its backend takes nothing new by now, it is too late or nobody waits for it; no fault of the backend
)

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool {
	return r == Full || r == ConnectFailed || r == NotSent || r == Withdrawn
}

// EveryPeer as the addressee of a TellPeer means all the other agents.
const EveryPeer = -1

// Action is something the agent must do now, in the order given. The present module
// sends no Cancel, Probe, TellPeer, CloseIdle, FetchList, Unsubscribe or Trace; agents should
// carry them out all the same.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Timeout 0 means until the client stops waiting.
	Send struct {
		Request, Backend string
		Timeout          time.Duration
		By               time.Duration // it may not be written later; 0: whenever
	}
	// Cancel withdraws an attempt; its Outcome still comes.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer: not done, a new try does no harm.
	Refuse struct {
		Request    string
		RetryAfter time.Duration // 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Request string }
	// SetTimer asks for a TimerFired after a while. Timers are never revoked.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe examines a backend outside any request.
	Probe struct{ Backend string }
	// TellPeer sends a few bytes to another agent. They may come late or not at all.
	TellPeer struct {
		To   int // its number, or EveryPeer
		Data []byte
	}
	// Subscribe asks that list changes be delivered from now on.
	Subscribe struct{}
	// Unsubscribe ends that.
	Unsubscribe struct{}
	// FetchList asks for the whole list once.
	FetchList struct{}
	// CloseIdle closes the idle connections to a backend.
	CloseIdle struct{ Backend string }
	// Trace writes a line to the agent's log.
	Trace struct{ Text string }
)

func (List) event()          {}
func (Request) event()       {}
func (Outcome) event()       {}
func (StreamStarted) event() {}
func (Abandoned) event()     {}
func (ProbeResult) event()   {}
func (TimerFired) event()    {}
func (PeerMessage) event()   {}
func (Part) event()          {}
func (Reconfigure) event()   {}
func (Fleet) event()         {}
func (Sites) event()         {}

func (Send) action()        {}
func (Cancel) action()      {}
func (Refuse) action()      {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (Probe) action()       {}
func (TellPeer) action()    {}
func (Subscribe) action()   {}
func (Unsubscribe) action() {}
func (FetchList) action()   {}
func (CloseIdle) action()   {}
func (Trace) action()       {}
