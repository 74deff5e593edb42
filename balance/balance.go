package balance

// This file holds the state, the event dispatch (Step) and the event handlers. The interface (settings,
// events, actions) is in api.go. Every choice a balancer makes is in the files that the key policy of
// deploy/balancer.toml lists; attempt.go alone starts attempts and ends requests, and checks the four rules.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer decides for one agent. See the package comment for its use.
type Balancer struct {
	s       Settings
	rng     *rand.Rand
	advice  *rand.Rand // for what clients are told
	now     time.Duration
	actions []Action

	backends []*backend // in the order in which they were first listed, gone ones left out
	byID     map[string]*backend
	kinds    map[int]*speed
	requests map[string]*request
	held     []*request // waiting for room, oldest first
	timers   map[int64]*request
	token    int64 // last timer token given out

	possible  int     // agents that may live, in the worst case; Settings.Balancers are those that do
	portion   float64 // of what is this agent's, that this process may use
	tokens    float64 // the retry bucket
	classes   []classState
	inFlight  int
	stuck     int     // of these, on backends that are not counted in capacity
	perBack   float64 // attempts that all agents may have in flight together, per backend that is up
	up, warm  int     // backends that the list says are up; of these, those past their cold start
	capacity  float64 // their number, each counted by its warmth
	rated     float64 // mean weight that the list gives those that are up
	delay     float64 // running mean of latency over aim
	beside    float64 // and of what was out, as these attempts were sent
	base      float64 // its low: what it is without queues
	cutAt     time.Duration
	spare     float64 // attempt time saved up below the limit, ns
	savedAt   time.Duration
	roomToken int64
	pacedAt   time.Duration // when the mean delay last took a sample

	wanted    float64 // running mean of attempts out and requests held
	wantAt    time.Duration
	demands   []demand      // of other agents, by their numbers
	fraction  float64       // this agent's part of the limit
	asked     float64       // and their sum over time since it told others
	toldAt    time.Duration // when it last told others
	tellAfter float64       // spans until it does again

	workLeft  float64 // running mean of what warm keys leave of the work
	crowd     float64 // running mean of the attempts that other agents had at a backend, by its reports
	stale     float64 // running share of reports that are older than the attempt they came with
	width     float64 // the most attempts that a backend said to work on at once; 0: not told
	doneWork  float64 // decayed work that warm backends served
	doneCount float64 // and the requests that it came in
	doneAt    time.Duration
	askFails  int
	askToken  int64
	sites     Sites      // what becomes of zones
	notes     func(Note) // nil: nobody asks why
	noted     time.Duration
}

// New returns a balancer with no state. All its random choices come from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{s: s, rng: rand.New(rand.NewPCG(seed, 0)), advice: rand.New(rand.NewPCG(seed, 1)),
		portion: 1, tokens: bucketCap, base: aimedDelay / aimedRise, delay: aimedLeast,
		perBack: startPerBack, stale: 1, workLeft: 1,
		byID: map[string]*backend{}, kinds: map[int]*speed{}, requests: map[string]*request{},
		timers: map[int64]*request{}, fraction: 1 / float64(s.Balancers), possible: s.Balancers,
		demands: make([]demand, s.Balancers), tellAfter: 1}
	b.s.MaxAttempts = max(1, s.MaxAttempts)
	b.s.ColdShare = cmp.Or(s.ColdShare, 1)
	for i, c := range s.Classes {
		b.classes = append(b.classes, classState{terms: b.s.terms(i), latency: float64(c.Aim) / 4})
	}
	return b, nil
}

// Step takes what has happened by now, in order, and returns what to do.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	if b.pacedAt == 0 { // Guards against a first answer that alone makes the mean.
		b.pacedAt, b.wantAt, b.toldAt = b.now, b.now, b.now
	}
	b.save()
	b.measure()
	b.want()
	b.divide()
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			b.onRequest(e)
		case Outcome:
			b.onOutcome(e)
		case TimerFired:
			b.onTimer(e.Token)
		case PeerMessage:
			b.onPeer(e)
			b.divide()
		case Fleet:
			b.onFleet(e)
		case Sites:
			b.sites, b.sites.Trial = e, slices.Clone(e.Trial)
			b.measure()
		case Reconfigure:
			b.reconfigure(e.Settings)
		case Part:
			b.portion = min(max(e.Of, leastPart), 1)
			b.tokens = min(b.tokens, bucketCap*b.portion)
		case List:
			b.onList(e)
			b.measure()
		case StreamStarted:
			if r := b.requests[e.Request]; r != nil {
				r.stream = true
			}
		case Abandoned:
			if r := b.requests[e.Request]; r != nil {
				b.close(r)
			}
		}
	}
	b.releaseHeld()
	b.tell()
	b.noteState()
	return b.actions
}

func (b *Balancer) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(b.classes) || b.requests[e.ID] != nil {
		return
	}
	c := &b.classes[e.Class]
	r := &request{id: e.ID, class: e.Class, terms: c.terms, came: b.now, aim: b.now + min(c.Aim, e.Left),
		deadline: b.now + e.Left, repeat: e.Repeat, only: e.Only}
	// A client gives its tries a usual patience, its last one all that is left of its deadline.
	// A try with any other patience therefore tells how long ago the client began.
	c.patience = cmp.Or(c.patience, e.Left)
	off := e.Left - c.patience
	// Where steps have no least gap, what a machine adds to the way of a request still shows in it.
	if odd := max(2*b.s.Tick, c.Aim/64); off > odd || off < -odd {
		r.repeat = true
		r.aim -= max(0, c.Deadline-e.Left)
	}
	if !e.Repeat {
		c.patience += min(max(off, -b.s.Tick/4), b.s.Tick/4) // towards the median
	}
	if b.s.WarmKeys && e.Key != "" {
		r.key = hashed(e.Key)
	}
	if r.work = float64(e.Work); r.work > 0 {
		c.work = blend(c.work, r.work)
	}
	// A class that can't be borne while a site is lost is refused at once, repeats first, unless there
	// is room.
	if a := b.sites.Admit; e.Class < len(a) && a[e.Class] < 1 {
		r.spill = r.repeat || b.advice.Float64() >= a[e.Class]
	}
	b.requests[e.ID] = r
	if t := b.byID[r.only]; r.only != "" && (t == nil || t.State != Up) {
		b.finish(r, NoBackend)
		return
	}
	b.hold(r)
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return
	}
	a := r.attempts[e.Attempt]
	a.open = false
	r.open--
	b.inFlight--
	a.b.out = without(a.b.out, a)
	if e.Result.NeverRan() {
		if r.risky--; r.risky == 0 {
			r.anchor = nil
		}
	}
	if e.Result == OK || e.Result == Errored || e.Result == Full {
		a.b.usedAt = b.now
	}
	b.hear(a.b, e.Load)
	b.observe(r, a, e)
	if e.Result == OK && !r.ended {
		b.tokens = min(bucketCap*b.portion, b.tokens+successRefill)
	}
	if e.Done || e.Result == OK || r.ended {
		b.close(r)
		return
	}
	r.failed = a.b
	if r.open == 0 && !r.waiting && !r.holding {
		b.retry(r, e.Result)
	}
}

func (b *Balancer) onTimer(token int64) {
	switch token {
	case 0: // never given out
	case b.askToken:
		b.askToken = 0
		b.actions = append(b.actions, Subscribe{})
		return
	case b.roomToken:
		b.roomToken = 0
		return
	}
	r := b.timers[token]
	delete(b.timers, token)
	if r == nil || r.ended || token != r.timer {
		return
	}
	r.timer = 0 // one that is held and not yet given up gets another
	if r.waiting {
		r.waiting = false
		b.hold(r)
	}
}

func (b *Balancer) timer(r *request, at time.Duration) {
	r.timer = b.alarm(at - b.now)
	b.timers[r.timer] = r
}

func (b *Balancer) alarm(wait time.Duration) int64 {
	b.token++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.token})
	return b.token
}
