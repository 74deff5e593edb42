// Package balance decides, for one client-side load balancer, where each request goes, when it is retried
// and when it is refused. It performs no I/O: the embedding agent owns the clock, the timers and the
// connections, passes on what happened as events, and carries out the returned actions in order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's own monotonic clock, whose
// zero does not matter; they must not run backwards. Memory is bounded by the open requests and attempts,
// the pending timers and the listed backends.
package balance

import "time"

// Effect says whether a request may be repeated.
type Effect uint8

const (
	Safe   Effect = iota // a second run does no harm: may be repeated, or refused though it may have run
	Keyed                // backends of one group drop a repeat within a time window
	Unsafe               // may be repeated only when no attempt can have run
)

// Group says which backends recognise repeats of a keyed request and drop them.
type Group uint8

const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // an answer within this time earns the full worth
	Deadline  time.Duration // the time that a client waits, over all its tries
	Worth     float64       // worth of a request, or of a unit of work (see Settings.ByWork)
	LateWorth float64       // share of the worth that an answer between aim and deadline earns
	Effect    Effect
	Group     Group         // for Keyed
	Window    time.Duration // for Keyed: repeats are dropped for this time after the first send
	Stretch   float64       // growth of the aim per work of a request; unused
	Stream    bool          // answers are streams; unused: StreamStarted reports it
}

// Tenant is one of several parties that share the backends.
type Tenant struct {
	PerSecond float64 // requests a second, over all agents, that count as within its share
	Portion   float64 // its share of the service; unused
}

// WeightMeaning says what Backend.Weight means.
type WeightMeaning uint8

const (
	WeightsOff     WeightMeaning = iota // always 1
	WeightsNominal                      // the registered size
	WeightsRough                        // an approximate size
	WeightsLive                         // the size over (1 + requests held per core), some time ago
)

// ReportSource says where load reports come from.
type ReportSource uint8

const (
	ReportsOff     ReportSource = iota // backends send no load reports
	ReportsInline                      // in outcomes and probe results
	ReportsOnProbe                     // in probe results only
)

// ReportFields names the values that load reports carry.
type ReportFields struct {
	Outstanding, Queue, Utilization, Service, Throughput, ErrorsPerSec bool
}

// Prices are costs that are subtracted from the operator's result, each multiplied by the share or rate that
// its comment names. Only CrossZone is used; the others are reserved for future decisions.
type Prices struct {
	Connection float64 // mean number of open connections over 100 times the number of backends
	CrossZone  float64 // attempts that cross zones, as a share of first tries
	Fleet      float64 // backends that run or are ordered, as a share of those at the start
	Handshake  float64 // new connections per first try
	LateFail   float64 // worth of requests that ended unserved after their aim
	List       float64 // list lines sent over 100 times the number of first tries
	Moves      float64 // moves per first try
	Origin     float64 // origin fetches per first try
	Peer       float64 // bytes of messages between agents, per first try: due in full at 256
	Probe      float64 // probes per first try
	Waste      float64 // backend work that served no answer, as a share of the work offered
}

// Settings are fixed for the life of a Balancer, except for those that Reconfigure may replace. A field that
// may be absent says in its comment what its zero value means. The zero value of a price, a goal or a
// duration switches off the feature that depends on it. The settings describe all that agents may do at a
// site and the bounds on it; those marked as unused have no effect yet.
type Settings struct {
	Balancers int           // agents that share these backends, this one included; at least 1
	Self      int           // this agent's number, from 0
	Zone      int           // this agent's zone
	Zones     int           // number of zones; 0: unknown; unused
	Kinds     int           // number of kinds of backend; 0: unknown; unused
	Classes   []Class       // the classes of requests; Request.Class is an index
	Tenants   []Tenant      // none: requests belong to no tenant
	OverShare float64       // worth of a request beyond its tenant's share, over its class's worth
	ByWork    bool          // worth counts per unit of work, not per request
	Subscribe bool          // the agent must subscribe to the list; otherwise it arrives unasked
	Tick      time.Duration // minimum gap between two steps; 0: none
	Marked    bool          // clients mark their repeats; unused
	WarmKeys  bool          // a backend that served a key lately needs less work for it
	Weights   WeightMeaning // unused
	Reports   ReportSource
	Fields    ReportFields // unused: negative values in a Load show it

	MaxAttempts    int           // maximum of attempts per request; 0: 1
	SecondCopies   bool          // two attempts of one request may be open together
	MayProbe       bool          // Probe actions are allowed
	MayCancel      bool          // Cancel actions are allowed
	Peers          bool          // TellPeer actions are allowed
	RetryAfter     bool          // clients are shown Refuse.RetryAfter
	MaxRetryAfter  time.Duration // the longest wait that clients respect
	ConnectTimeout time.Duration // a connection not made in this time fails
	IdleClose      time.Duration // an unused connection is closed after this time
	StreamsPerConn int           // attempts that one connection carries; 0: unknown; unused
	MaxOpen        int           // maximum of open requests of an agent; 0: no bound; unused
	CPUPerSecond   time.Duration // CPU time that an agent may use per second; 0: no bound; unused
	CPUPerRequest  time.Duration // mean CPU time per request; 0: no bound; unused

	DrainGrace   time.Duration // how long sends to a draining backend are still tolerated
	AnswerGrace  time.Duration // how long after its deadline a final answer still counts
	AskWithin    time.Duration // with Subscribe: maximum gap between Subscribe actions until subscribed
	ColdShare    float64       // a backend starts with at least this share of its capacity; 0: 1
	RampTime     time.Duration // a backend is warm at the latest this long after its start
	FallMultiple float64       // a cold backend that is sent more than this multiple of its capacity ...
	FallWindow   time.Duration // ... over this time fails

	// The operator's weights for the overall result, the worst time window, the worst class and the worst
	// tenant.
	GoalWhole, GoalWindow, GoalClass, GoalTenant float64

	Prices Prices
}

// BackendState is a backend's state in the list.
type BackendState uint8

const (
	Up       BackendState = iota
	Draining              // finishes its requests and takes no new ones
	Gone                  // removed
)

// Backend is one entry of the list of backends.
type Backend struct {
	ID      string
	State   BackendState
	Zone    int           // index of its zone
	Cell    int           // number of its cell (see GroupCell)
	Kind    int           // index of its kind, for instance of machine: backends of a kind are about as fast
	Weight  float64       // its size (see WeightMeaning)
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
	ListFailed                 // fetching failed or the subscription broke; the previous list stays valid
)

type (
	// List carries the backends, or the failure to get them.
	List struct {
		Kind        ListKind
		Version     int64 // of the list; unused
		Backends    []Backend
		RetryWithin time.Duration // with ListFailed: maximum time to the next Subscribe; 0: as AskWithin says
	}
	// Request is a client's request. The balancer owes it one final answer.
	Request struct {
		ID          string
		Class       int           // index in Settings.Classes
		Tenant      int           // index in Settings.Tenants; 0 if there are none
		Key         string        // what it is about; with WarmKeys, each key prefers one backend; may be empty
		TimeLeft    time.Duration // until this client stops waiting
		Waited      time.Duration // how long it has waited to be read, before this event
		Work        time.Duration // expected work; 0: unknown
		Repeat      bool          // the client says that this is a repeat
		Write       bool          // unused
		OnlyBackend string        // the ID of the only backend that may get the request; empty: any
	}
	// Outcome ends one attempt. The agent passes on exactly one Outcome for each Send.
	Outcome struct {
		Request string
		Attempt int // the number of the attempt: a request's attempts count from 0 in the order of their Send
		Backend string
		Result  Result
		Latency time.Duration // since the attempt was sent
		Done    bool          // the request has its final answer, by this outcome or an earlier one
		// With Reset and ConnectFailed: other connections to the backend, made earlier, are still open, so
		// its process goes on. false: none is open, or it is not known.
		OtherConnectionsOpen bool
		Load                 Load
	}
	// StreamStarted says that the answer of an attempt has begun to reach the client.
	StreamStarted struct {
		Request string
		Attempt int
		Latency time.Duration // since the attempt was sent
	}
	// Abandoned says that the client left; the request needs no answer any longer.
	Abandoned struct{ Request string }
	// ProbeResult is the result of a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// TimerFired says that the timer of a SetTimer is due.
	TimerFired struct{ Token int64 }
	// ProcessShare is the share of this agent's limit on attempts in flight and of its retry tokens that this
	// process may use, while one process replaces another and both serve. Share is above 0, and 1 if the
	// process is the only one.
	ProcessShare struct{ Share float64 }
	// Sites says how requests and backends are treated, by zone, while a zone is lost or returns. internal/site
	// decides it, and the Balancer follows it with each request. The latest event holds; the zero value means
	// that all zones are well.
	Sites struct {
		// ZoneWeights is the weight of a zone's backends in picks, by zone. At 0 the zone is lost: its backends
		// get trial requests only and don't count in the limit on attempts in flight. A zone beyond the end has
		// the weight 1.
		ZoneWeights    []float64
		WeightsPlanned bool // ZoneWeights plan where load goes: picks ignore the price of crossing zones
		// AdmitShares is the share of a class, by class, that waits for room if there is none at once. The rest is
		// refused at once while admitted requests wait. A class beyond the end is admitted in full. If a
		// class is admitted in part, clients' repeats are the first to be refused.
		AdmitShares []float64
		// TrialZones are the lost zones, by zone, that one safe first try is sent to now, to find out whether
		// the zone serves again.
		TrialZones []bool
		// SafeOnlyZones bars, by zone, the first attempts of requests that are not Safe: they would lose most if
		// the zone failed again.
		SafeOnlyZones []bool
		// RetryAfter returns the wait that a client whose request of a class is refused now is advised to make;
		// nil: the Balancer computes it.
		RetryAfter func(class int) time.Duration
	}
	// Reconfigure replaces the settings that may change during the life of a Balancer. Settings.CheckChange
	// must have accepted them. They apply to requests that come later; a request keeps the settings that it
	// came with. What the Balancer has learned stays.
	Reconfigure struct{ Settings Settings }
	// Fleet says how many agents are alive, if that is known; until then Settings.Balancers holds. Alive is
	// the number that counts as sending requests, MaxAlive the maximum that may be alive, and Departed the
	// numbers of those that have left or died, whose demand is dropped.
	Fleet struct {
		Alive, MaxAlive int
		Departed        []int
	}
	// PeerMessage carries bytes from another agent.
	PeerMessage struct {
		From int
		Data []byte
	}
)

// Load is a backend's report on itself, late and noisy. A value that the backend did not report is negative,
// which is not the same as 0.
type Load struct {
	Valid        bool          // there is a report
	Outstanding  float64       // requests held, waiting ones included
	Queue        float64       // requests waiting
	Utilization  float64       // busy share of its cores
	Service      time.Duration // recent service time without waiting
	Throughput   float64       // requests served a second
	ErrorsPerSec float64       // errors returned a second
}

// NoLoad returns the Load of an answer without a report.
func NoLoad() Load {
	return Load{Outstanding: -1, Queue: -1, Utilization: -1, Service: -1, Throughput: -1, ErrorsPerSec: -1}
}

// Result says how an attempt or a probe ended.
type Result uint8

const (
	OK            Result = iota // served
	Errored                     // the backend returned an error; may have run
	Full                        // rejected by the backend before any processing; never ran
	TimedOut                    // no answer in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // cancelled by the agent; may have run
	NotSent                     // the agent could not send it; never ran
	// DroppedUnsent: the agent dropped the attempt before sending it, since its backend takes no new requests,
	// time ran out or the client left. It never ran, and the backend is not at fault.
	DroppedUnsent
)

// NeverRan reports whether the result proves that the backend did not execute the request.
func (r Result) NeverRan() bool {
	return r == Full || r == ConnectFailed || r == NotSent || r == DroppedUnsent
}

// EveryPeer as TellPeer.To addresses all other agents.
const EveryPeer = -1

// Action is something that the agent must do now, in the order given. The Balancer currently returns no
// Cancel, Probe, CloseIdle, FetchList, Unsubscribe or Trace; agents should carry them out all the same.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request at a backend, both given by their IDs. Timeout 0 means until
	// the client stops waiting.
	Send struct {
		Request, Backend string
		Timeout          time.Duration
		WriteBy          time.Duration // the request may not be written after this time; 0: no bound
	}
	// Cancel cancels an attempt; its Outcome still comes.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer: the request was not done, and a new try does no harm.
	Refuse struct {
		Request    string
		RetryAfter time.Duration // 0: no advice
	}
	// Fail is a final answer that leaves open whether the request was done.
	Fail struct{ Request string }
	// SetTimer asks for a TimerFired after the given time. Timers are never cancelled.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe examines a backend outside of any request.
	Probe struct{ Backend string }
	// TellPeer sends a few bytes to another agent. They may arrive late or not at all.
	TellPeer struct {
		To   int // the agent's number, or EveryPeer
		Data []byte
	}
	// Subscribe requests list changes from now on.
	Subscribe struct{}
	// Unsubscribe ends a subscription.
	Unsubscribe struct{}
	// FetchList requests the whole list once.
	FetchList struct{}
	// CloseIdle closes the idle connections to a backend, given by its ID.
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
func (ProcessShare) event()  {}
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
