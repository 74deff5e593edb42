package balance

// This file holds the state, the event dispatch (Step) and the event handlers. The interface (settings,
// events, actions) is in api.go. Every choice a balancer makes is in the files that the key policy of
// deploy/balancer.toml lists; attempt.go alone starts attempts and ends requests, and checks last that an
// attempt is allowed and that a request gets one final answer.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer decides for one agent where requests go, when they are retried and when they are refused. See the
// package comment for its use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand    // for choices of backends, backoffs, ejection times and the like
	auxRNG   *rand.Rand    // for choices that must not change those drawn from rng, such as advice to clients
	now      time.Duration // time of the current step
	actions  []Action      // of the current step

	backends     []*backend          // in the order in which they were first listed, without those forgotten
	byID         map[string]*backend // backends by Backend.ID
	kindSlowness map[int]*slowness   // by Backend.Kind: the slowness of its backends, learned by quiet agents
	requests     map[string]*request // by Request.ID: those without a final answer or with open attempts
	held         []*request          // waiting for room within the limit, oldest first
	timers       map[int64]*request  // by token, the pending timers of requests
	lastToken    int64               // the latest timer token used

	maxBalancers int          // agents that may be alive at most; Settings.Balancers: those known to be alive
	processShare float64      // share of this agent's limit and retry tokens that this process may use
	retryTokens  float64      // tokens left in the retry bucket
	classes      []classState // by Request.Class
	inFlight     int          // attempts without an outcome
	stuck        int          // attempts in flight that use no room: at backends out of use, or overdue
	perBackend   float64      // attempts that all agents together may have in flight, per backend in use
	up, warm     int          // backends that are up by the list, and those of them past their cold start
	capacity     float64      // backends in use, each counted by its warmth
	meanWeight   float64      // mean Backend.Weight of the backends that are up
	meanDelay    float64      // running mean of latency over aim
	// Running mean of attempt.concurrency, over the same attempts as meanDelay.
	meanConcurrency float64
	baseDelay       float64       // falls with meanDelay and rises very slowly: the delay without queues
	cutAt           time.Duration // when the limit was last cut
	savedTime       float64       // attempt time that the limit allowed and that was not used, ns
	savedAt         time.Duration // when savedTime was last updated
	roomTimer       int64         // token of the timer for room that saved time will give; 0: none is pending
	delaySampledAt  time.Duration // when meanDelay last took a sample

	meanDemand         float64       // running mean of attempts in flight plus requests held
	demandUpdatedAt    time.Duration // when meanDemand was last updated
	peerDemands        []peerDemand  // by the number of the agent: the demand that it reported last
	limitShare         float64       // this process's share of the limit of all agents
	demandSinceSent    float64       // integral over time of the demand since the last message to peers
	demandSentAt       time.Duration // when the last message to peers was sent
	sendIntervalFactor float64       // random factor of the interval before the next message to peers

	meanWorkLeft float64 // running mean of the share of work that known keys leave
	// Running mean of the attempts that other agents had at a backend, by load reports.
	meanOtherLoad     float64
	staleShare        float64       // running share of load reports older than the attempt they came with
	parallelism       float64       // most attempts that a backend reported to run at once; 0: none reported
	servedWork        float64       // work that warm backends served lately, decaying over the fall window
	servedCount       float64       // number of requests whose work servedWork counts, decaying alike
	servedDecayedAt   time.Duration // when servedWork and servedCount last decayed
	subscribeFailures int           // failed subscriptions in a row
	subscribeTimer    int64         // token of the timer for the next Subscribe; 0: none is pending
	sites             Sites         // the latest Sites event, less the trials that have been sent
	onNote            func(Note)    // receives the notes; nil: Explain is off
	stateNotedAt      time.Duration // when the last note of kind NoteState was emitted
}

// New returns a Balancer that knows no backends. All its random choices come from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s, rng: rand.New(rand.NewPCG(seed, 0)), auxRNG: rand.New(rand.NewPCG(seed, 1)),
		processShare: 1, retryTokens: maxRetryTokens,
		baseDelay: maxTargetDelay / targetDelayRise, meanDelay: minTargetDelay,
		perBackend: initialPerBackend, staleShare: 1, meanWorkLeft: 1,
		byID: map[string]*backend{}, kindSlowness: map[int]*slowness{}, requests: map[string]*request{},
		timers: map[int64]*request{}, limitShare: 1 / float64(s.Balancers), maxBalancers: s.Balancers,
		peerDemands: make([]peerDemand, s.Balancers), sendIntervalFactor: 1}
	b.settings.MaxAttempts = max(1, s.MaxAttempts)
	b.settings.ColdShare = cmp.Or(s.ColdShare, 1)
	for i, c := range s.Classes {
		b.classes = append(b.classes, classState{terms: b.settings.terms(i), meanLatency: float64(c.Aim) / 4})
	}
	return b, nil
}

// Step handles the events that have happened by now, in order, and returns the actions to carry out.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	if b.delaySampledAt == 0 { // the first step: without a start time the first answer would set the mean
		b.delaySampledAt, b.demandUpdatedAt, b.demandSentAt = b.now, b.now, b.now
	}
	b.updateSavedTime()
	b.updateCapacity()
	b.updateDemand()
	b.updateLimitShare()
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			b.onRequest(e)
		case Outcome:
			b.onOutcome(e)
		case TimerFired:
			b.onTimer(e.Token)
		case PeerMessage:
			b.onPeerMessage(e)
			b.updateLimitShare()
		case Fleet:
			b.onFleet(e)
		case Sites:
			b.sites, b.sites.TrialZones = e, slices.Clone(e.TrialZones)
			b.updateCapacity()
		case Reconfigure:
			b.reconfigure(e.Settings)
		case ProcessShare:
			b.processShare = min(max(e.Share, minProcessShare), 1)
			b.retryTokens = min(b.retryTokens, maxRetryTokens*b.processShare)
		case List:
			b.onList(e)
			b.updateCapacity()
		case StreamStarted:
			if r := b.requests[e.Request]; r != nil {
				r.streaming = true
			}
		case Abandoned:
			if r := b.requests[e.Request]; r != nil {
				b.closeRequest(r)
			}
		}
	}
	b.releaseHeld()
	b.sendDemand()
	b.emitStateNote()
	return b.actions
}

// onRequest registers a request and holds it; releaseHeld sends it in the same step if there is room.
func (b *Balancer) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(b.classes) || b.requests[e.ID] != nil {
		return
	}
	c := &b.classes[e.Class]
	given := e.TimeLeft + e.Waited // what the client said
	r := &request{id: e.ID, class: e.Class, terms: c.terms, arrivedAt: b.now,
		aimAt:    b.now - e.Waited + min(c.Aim, given),
		deadline: b.now + e.TimeLeft, repeat: e.Repeat, onlyBackend: e.OnlyBackend}
	// A client gives each try the same time, but its last try only what is left of its deadline. A try with
	// an unusual time left is therefore a repeat, and the time left tells when the client began.
	c.usualTimeLeft = cmp.Or(c.usualTimeLeft, given)
	off := given - c.usualTimeLeft
	// Without a minimum gap between steps (Tick) the network's and the machine's delays still vary the time
	// left.
	if odd := max(2*b.settings.Tick, c.Aim/64); off > odd || off < -odd {
		r.repeat = true
		r.aimAt -= max(0, c.Deadline-given)
	}
	if !e.Repeat {
		c.usualTimeLeft += min(max(off, -b.settings.Tick/4), b.settings.Tick/4) // moves towards the median
	}
	if b.settings.WarmKeys && e.Key != "" {
		r.key = hashString(e.Key)
	}
	if r.work = float64(e.Work); r.work > 0 {
		c.meanWork = updateMean(c.meanWork, r.work)
	}
	// While a site is lost, part of a class may not be admitted. Those requests are refused at once unless
	// there is room; repeats are the first not to be admitted.
	if a := b.sites.AdmitShares; e.Class < len(a) && a[e.Class] < 1 {
		r.shedWithoutRoom = r.repeat || b.auxRNG.Float64() >= a[e.Class]
	}
	b.requests[e.ID] = r
	if t := b.byID[r.onlyBackend]; r.onlyBackend != "" && (t == nil || t.State != Up) {
		b.refuseOrFail(r, NoBackend)
		return
	}
	b.hold(r)
}

// onOutcome ends an attempt, learns from its result, and ends or retries its request.
func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return
	}
	a := r.attempts[e.Attempt]
	a.open = false
	r.openAttempts--
	b.inFlight--
	a.backend.inFlight = removeFirst(a.backend.inFlight, a)
	if e.Result.NeverRan() {
		if r.mayHaveRun--; r.mayHaveRun == 0 {
			r.anchor = nil
		}
	}
	if e.Result == OK || e.Result == Errored || e.Result == Full {
		a.backend.connUsedAt = b.now
	}
	b.recordLoad(a.backend, e.Load)
	b.recordOutcome(r, a, e)
	if e.Result == OK && !r.ended {
		b.retryTokens = min(maxRetryTokens*b.processShare, b.retryTokens+successRefill)
	}
	if e.Done || e.Result == OK || r.ended {
		b.closeRequest(r)
		return
	}
	r.lastFailed = a.backend
	if r.openAttempts == 0 && !r.backingOff && !r.held {
		b.retry(r, e.Result)
	}
}

// onTimer handles a timer. The timer of a held request only makes the step run; releaseHeld does the rest.
func (b *Balancer) onTimer(token int64) {
	switch token {
	case 0: // no timer has this token; it stands for "no timer pending"
	case b.subscribeTimer:
		b.subscribeTimer = 0
		b.actions = append(b.actions, Subscribe{})
		return
	case b.roomTimer:
		b.roomTimer = 0
		return
	}
	r := b.timers[token]
	delete(b.timers, token)
	if r == nil || r.ended || token != r.timerToken {
		return
	}
	r.timerToken = 0 // releaseHeld sets another one if the request is still held
	if r.backingOff {
		r.backingOff = false
		b.hold(r)
	}
}

// setRequestTimer sets the timer of a request, in place of any earlier one.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	r.timerToken = b.setTimer(at - b.now)
	b.timers[r.timerToken] = r
}

// setTimer asks the agent for a timer and returns its token.
func (b *Balancer) setTimer(wait time.Duration) int64 {
	b.lastToken++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.lastToken})
	return b.lastToken
}
