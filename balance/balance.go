package balance

// This is the decision module: every choice a balancer makes is in this file.
// Its interface (settings, events, actions) is in api.go. Reading order:
// constants, state, event dispatch (Step), picking, retry and the repeat rule,
// load reports, health, cold start, list following, and last send and finish, which alone
// start attempts and end requests, and check the four rules.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants are dimensionless; every scale comes from the settings or from what
// is observed.
const (
	bucketCap     = 100.0 // retry tokens at the most: a quiet balancer funds 20 retries at once, not 100
	retryCost     = 5.0   // tokens for a retry ...
	timeoutCost   = 10.0  // ... and for one after a time-out, which may mean a deeper trouble
	successRefill = 1.0   // tokens that a served attempt brings back
	leastPart     = 0.05  // of what is this agent's, that one of its processes has

	backoffUnit    = 1.0 / 32 // of the class's aim: a one-second unit would outlast most aims
	backoffCeiling = 8.0      // the longest backoff, in units

	smooth       = 0.1   // weight of a new sample in a running mean, about the last 20 samples
	priorSamples = 2.0   // answers that the mean of all counts for in a backend's slowness at the start
	overdue      = 3.0   // mean latencies after which an answer may as well be lost
	slowBound    = 8.0   // one sample says at most that a backend is so many times slower than the mean
	strikeHeal   = 0.25  // strikes that a served attempt takes back: one error in five keeps them growing
	oddErrors    = 3.0   // a backend's share of errors that is so many times the usual one is its own fault
	evenErrors   = 0.01  // usual share of errors from which on a single one says nothing
	errorHeal    = 0.02  // of an error in a backend's excess that any answer takes back at least
	errorCap     = 4.0   // the most that an excess counts
	oddMost      = 0.25  // the most that a backend adds to what is usual for the others
	strikeCap    = 5.0   // longest ejection is 2^(cap-1) times the first
	fullRow      = 5.0   // times in a row that a full backend's rest doubles at the most
	coldTrickle  = 0.25  // of a core's work all agents send a cold backend where none is warm
	turnSaved    = 0.25  // of a request that a cold backend's budget has saved up before it gets one
	hintLeast    = 0.5   // of the mean latency that little told work is expected to take: it queues too
	hintMost     = 4.0   // and the most that much work is
	heavy        = 2.0   // a cold backend gets no request of more than so many times the mean work
	reportSpan   = 10.0  // mean latencies over which a report on a backend fades to the mean of all
	staleMost    = 0.1   // share of reports older than what they came with, above which none steers
	crowdLeast   = 0.1   // least crowd that a backend's chance counts with, in attempts
	newConnBias  = 0.005 // chance of an idle backend without an open connection: as of one six times slower
	crossWeight  = 150.0 // a backend in another zone counts as 1 over 1 + so many times the price of crossing

	aimedDelay   = 0.55     // mean latency over aim to keep to: less refuses uneven work, more crowds servers
	aimedBlind   = 0.25     // the same without fresh reports, for an agent that is not quiet
	aimedRise    = 2.0      // and above so many times its low: servers may slow down when crowded
	aimedLeast   = 0.2      // but under this share of the aim nothing is lost yet that a refusal would save
	limitCut     = 0.9      // one cut of the in-flight limit
	limitGrow    = 0.7      // and its growth, in attempts per backend for each round of answers
	startPerBack = 6.0      // in-flight limit at the start, for all agents together per backend
	floorPerBack = 5.0      // and the least it falls to: less would leave cores idle
	floorPerWide = 1.5      // or so many times what a backend works on at once, where reports tell
	backCap      = 3.0      // no backend holds more than so many mean shares of the limit
	holdMargin   = 2.0      // a held request leaves when fewer than so many mean latencies remain to its aim
	holdAtMost   = 0.75     // of the aim; a request may always be held for the rest of it
	saveAtMost   = 4.0      // a quiet agent saves up so many mean latencies of its part
	quietRatio   = 2.0      // agents per backend above which an agent is quiet
	quietFloor   = 2.0      // and its floor, lower since no rounding up leaves it more than its part
	askUnit      = 1.0 / 64 // of the longest time between two asks: the wait before the first one ...
	askFleet     = 4.0      // of up to so many agents
	paceSpan     = 10.0     // mean latencies that the mean delay spans
	adviceLeast  = 0.05     // of the aim, that a refused client is told to wait on the average
	repeatValue  = 0.1      // value of a client's repeat against a first try: most of its aim has passed
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

// ---- Picking ----

// hold lets a request wait for room; one that finds some leaves in the same step.
func (b *Balancer) hold(r *request) {
	r.holding, r.left, r.home = true, 1, nil // a home says where to go, not what is known
	for _, t := range b.backends {
		if t.State == Up {
			r.left = min(r.left, b.left(t, r))
		}
	}
	b.held = append(b.held, r)
}

func (b *Balancer) unhold(r *request) {
	r.holding = false
	b.held = without(b.held, r)
}

// releaseHeld sends what is held while there is room: first tries before clients'
// repeats, the most valuable class first, within it the newest, which has the most
// time left. Waiting here costs the backends nothing; it ends when an answer within
// the aim is out of reach.
func (b *Balancer) releaseHeld() {
	if len(b.held) == 0 {
		return
	}
	for b.room() {
		best, value := -1, 0.0
		for i, r := range b.held {
			if r.passed {
				continue
			}
			v := b.value(r) / r.left
			if r.repeat {
				v *= repeatValue
			}
			if r.aim-b.now < time.Duration(b.expected(r)/2) {
				v *= r.terms.LateWorth
			}
			if best < 0 || v >= value {
				best, value = i, v
			}
		}
		if best < 0 {
			break
		}
		r := b.held[best]
		if t := b.pick(r); t != nil {
			b.unhold(r)
			b.send(r, t)
		} else {
			r.passed = true
		}
	}
	full := !b.room()
	// What the plan gives up still takes room that nobody else waits for.
	behind := slices.ContainsFunc(b.held, func(r *request) bool { return !r.spill })
	for i := len(b.held) - 1; i >= 0; i-- {
		r := b.held[i]
		need := min(holdMargin*b.expected(r), holdAtMost*float64(r.terms.Aim))
		give := min(r.aim, r.deadline) - time.Duration(need)
		r.passed = false
		if spilt := full && behind && r.spill; spilt || give <= b.now {
			b.unhold(r)
			why := NoBackend
			if spilt {
				why = SiteLost
			} else if full && r.repeat {
				why = RepeatNoRoom
			} else if full {
				why = TooLate
			}
			b.finish(r, why)
		} else if r.timer == 0 {
			b.timer(r, give)
		}
	}
	if wait := b.spare / -b.part(); len(b.held) > 0 && b.inFlight == b.stuck && wait > 0 && b.roomToken == 0 {
		b.roomToken = b.alarm(time.Duration(wait) + 1)
	}
}

// room reports whether one more attempt is within the limit. A quiet agent's part of a large
// fleet's limit is small and no whole number: it keeps it as a mean over time, and may save up.
func (b *Balancer) room() bool {
	out, part := float64(b.inFlight-b.stuck), b.part()
	if !b.quiet() && out < part {
		return true
	}
	return b.spare > max(0, out-part)*b.usual()
}

// save adds to the attempt time that is spare what the limit allowed since, less what was used.
func (b *Balancer) save() {
	most := saveAtMost * b.usual() * b.crowding()
	gain := (b.part() - float64(b.inFlight-b.stuck)) * float64(b.now-b.savedAt)
	b.spare = max(-most, min(most, b.spare+gain))
	b.savedAt = b.now
}

// usual is the mean latency over the classes.
func (b *Balancer) usual() (mean float64) {
	for i := range b.classes {
		mean += b.classes[i].latency / float64(len(b.classes))
	}
	return mean
}

// value is what a unit of backend time spent on a request adds to the operator's goal.
func (b *Balancer) value(r *request) float64 {
	if b.s.ByWork {
		return r.terms.Worth
	}
	return r.terms.Worth / b.classes[r.class].latency
}

// pick chooses a backend: one where this balancer has nothing in flight, at
// random; else the one with the fewest in flight; never the one that just failed
// unless it is the only one. nil means that none may be used now.
func (b *Balancer) pick(r *request) *backend {
	mean, seen := 0.0, 0
	for _, t := range b.backends {
		if t.State == Up && t.seen {
			mean += float64(len(t.out))
			seen++
		}
	}
	mean /= float64(max(seen, 1))
	r.home = b.home(r)
	unopened := math.Pow(newConnBias, max(0, 2*b.crowding()-1))
	var idle, few, last, trial *backend
	total, least, mild, trials := 0.0, math.Inf(1), math.Inf(1), 0.0
	for _, t := range b.backends {
		if t.State != Up || !b.mayRepeat(r, t) || t == r.failed && b.up > 1 && r.only == "" ||
			b.now < t.turned(r.class).till || float64(len(t.out)) >= b.backMost() || !b.coldRoom(t, r) {
			continue
		}
		if b.gentle(t, r) {
			continue
		}
		share := b.share(t)
		if share == 0 { // its site is lost: one request now and then tells whether it is back
			if trials++; b.tries(t, r) && b.rng.Float64()*trials < 1 {
				trial = t
			}
			continue
		}
		if !b.healthy(t, r) {
			// Guards against a backlog that outlasts a stop of all: work goes on after its time-out.
			if m := t.strikes + b.rng.Float64(); m < mild && len(t.out) == 0 {
				last, mild = t, m
			}
			continue
		}
		load := float64(len(t.out))
		if !t.seen {
			load = max(load, mean) // a new one gets no rush
		}
		slow, left := b.slowness(t), b.left(t, r)
		if load < 1 || load < keyIdle && left == warmWork {
			// Departure: an even choice among idle backends would load slow ones as much as fast
			// ones; each counts by the inverse cube of its observed slowness. Acts when speeds differ.
			w := b.warmth(t) / (slow * slow * slow) / math.Pow(left, keyPull)
			if b.stale < staleMost {
				crowd := (b.crowdAt(t) + crowdLeast) / (b.crowd + crowdLeast)
				w /= crowd * crowd * crowd
			}
			// Departure: crossing zones is a last resort as far as it has a price. A crowd at home shows
			// as slowness here and then outweighs it. May harm where homes are far from even.
			if t.Zone != b.s.Zone && !b.sites.Planned {
				w /= 1 + crossWeight*b.s.Prices.CrossZone
			}
			// Departure: an agent with little traffic that picks evenly opens a connection for most
			// requests and meets no backend twice. Acts from one agent a backend on, in full at two.
			if t.usedAt == 0 || b.now-t.usedAt >= b.s.IdleClose {
				w *= unopened
			}
			w *= share
			if total += w; b.rng.Float64()*total < w {
				idle = t
			}
			continue
		}
		// Departure: in-flight counts are weighed by slowness for the same reason.
		score := (load + 1) * slow * left / b.warmth(t) / share
		if t.cold && !t.seen {
			// Guards against a newcomer that gets nothing while the limit binds, though the limit counts
			// it: the others hold the whole limit then, and few of them more than their mean. Its budget
			// keeps it from a rush.
			score = (mean + float64(len(t.out))/b.warmth(t)) / share
		}
		if score *= 1 + 0.01*b.rng.Float64(); score < least {
			few, least = t, score
		}
	}
	if trial != nil {
		return trial
	}
	if idle != nil {
		return idle
	}
	if few != nil {
		return few
	}
	return last // all are ejected: a first attempt still goes out, one at a time to each
}

// share is what a backend counts for by its site's state.
func (b *Balancer) share(t *backend) float64 {
	if t.Zone >= 0 && t.Zone < len(b.sites.Share) {
		return b.sites.Share[t.Zone]
	}
	return 1
}

// gentle reports whether a request may not begin at a backend whose site has just come back.
func (b *Balancer) gentle(t *backend, r *request) bool {
	return t.Zone >= 0 && t.Zone < len(b.sites.Gentle) && b.sites.Gentle[t.Zone] &&
		r.terms.Effect != Safe && len(r.attempts) == 0 && r.only == ""
}

// tries reports whether a request may try a lost site: where one is wanted, one that may be repeated.
func (b *Balancer) tries(t *backend, r *request) bool {
	return t.Zone < len(b.sites.Trial) && b.sites.Trial[t.Zone] && r.terms.Effect == Safe &&
		len(r.attempts) == 0 && !r.repeat
}

// backMost is how many attempts this agent may have out at one backend.
func (b *Balancer) backMost() float64 { return max(1, backCap*b.perBack*b.fraction) }

// slowness is how much longer this backend takes than the mean, by its answers or its kind's.
func (b *Balancer) slowness(t *backend) float64 { return cmp.Or(t.slow, b.kind(t).slow) }

// expected is the mean latency for a request of this class and told work, as far as latency follows work.
func (b *Balancer) expected(r *request) float64 {
	c := &b.classes[r.class]
	if r.work > 0 && c.work > 0 {
		return c.latency * min(max(r.work/c.work, hintLeast), hintMost)
	}
	return c.latency
}

// ---- Retry ----

// retry ends a failed attempt's request or schedules the next attempt.
func (b *Balancer) retry(r *request, res Result) {
	cost := retryCost
	if res == TimedOut {
		cost = timeoutCost
	}
	wait := time.Duration(b.rng.Float64() * min(math.Exp2(float64(r.retries)), backoffCeiling) *
		backoffUnit * float64(r.terms.Aim))
	at := b.now + wait
	possible := slices.ContainsFunc(b.backends, func(t *backend) bool {
		return t.State == Up && b.mayRepeat(r, t)
	})
	why := NoReason
	switch {
	case res == NotSent:
		why = NeverSent
	case !possible:
		why = NoAttempt
	case res == Withdrawn: // it costs nothing: nobody has seen it
		b.hold(r)
		return
	case b.tokens < cost:
		why = NoTokens
	case at >= r.deadline:
		why = NoTime
	}
	if why != NoReason {
		b.finish(r, why)
		return
	}
	b.tokens -= cost
	r.retries++
	r.waiting = true
	b.timer(r, at)
}

// mayRepeat is the repeat rule: whether a (further) attempt of r may go to t.
func (b *Balancer) mayRepeat(r *request, t *backend) bool {
	c := r.terms
	if r.ended || r.stream || len(r.attempts) >= c.maxAttempts || r.open > 0 && !c.secondCopies ||
		r.only != "" && r.only != t.ID {
		return false
	}
	if c.Effect == Safe || r.risky == 0 {
		return true
	}
	if c.Effect == Unsafe || b.now-r.anchor.sent >= c.Window {
		return false
	}
	return c.Group == GroupAll || c.Group == GroupZone && t.Zone == r.anchor.b.Zone ||
		c.Group == GroupCell && t.Cell == r.anchor.b.Cell
}

// ---- Load reports ----

// hear takes the report that came with an answer: what the backend holds besides this agent's
// own attempts, the one just answered included.
func (b *Balancer) hear(t *backend, l Load) {
	if l.Outstanding < 0 || !l.Valid {
		return
	}
	t.crowd, t.heard = max(0, l.Outstanding-float64(len(t.out)+1)), b.now
	b.crowd = blend(b.crowd, t.crowd)
	old := 0.0
	if l.Outstanding < 0.5 { // it held at least the attempt that has just been answered
		old = 1
	}
	b.stale += smooth * (old - b.stale)
	if l.Queue >= 0 {
		b.width = max(b.width*(1-smooth/100), math.Round(l.Outstanding-l.Queue))
	}
}

// crowdAt is the guess at what other agents have at t now. A report fades to the mean of all.
// Departure: of the backends that are idle as far as this agent's own attempts tell, those where
// others have little count for more, by the inverse cube. Guards against crowds that no agent's
// own count shows, whatever gathers them; acts while the reports that answers bring are fresh.
// A report without the attempt it came with is older: agents that all heed such ones herd (i4a227c).
// May harm where reports are older than they seem.
func (b *Balancer) crowdAt(t *backend) float64 {
	if t.heard == 0 {
		return b.crowd
	}
	return b.crowd + (t.crowd-b.crowd)*math.Exp(-float64(b.now-t.heard)/(reportSpan*b.usual()))
}

// ---- Health ----

// observe learns from the outcome of an attempt.
func (b *Balancer) observe(r *request, a *attempt, e Outcome) {
	t, c, lat := a.b, &b.classes[r.class], float64(e.Latency)
	switch e.Result {
	case OK:
		// It came back before the list told: treat it as just started. Guards against a start that was
		// none: what had been sent before it looked gone was answered by the process that was there then.
		if t.down && t.downAt <= a.sent && t.warmFrom < a.sent {
			t.start(b.now, b.now)
		}
		t.down, t.refused = false, false
		t.turned(r.class).row = 0
		if !t.cold {
			b.doneWork = b.decayed() + a.cost
			b.doneCount++
		}
		if b.capacity == 0 {
			b.pardon()
		}
		if t.strikes = max(0, t.strikes-strikeHeal); t.strikes == 0 {
			t.ejected = min(t.ejected, b.now) // it has healed: what was sent before it was ejected came in
		}
		b.odd(t, 0)
		t.lastOK = b.now
		t.seen = true
		b.learnSpeed(t, lat/a.cost)
		c.latency = blend(c.latency, max(lat, 1))
		b.pace(a, float64(e.Latency)/float64(r.terms.Aim))
	case Full:
		// Departure: each further one in a row, of its class, doubles the rest. Guards against retries that
		// empty the bucket at a backend that turns a class away for seconds. May harm where one that was
		// full has room at once.
		f := t.turned(r.class)
		f.till = b.now + time.Duration(b.rng.Float64()*c.latency*math.Exp2(f.row))
		f.row = min(f.row+1, fullRow)
		b.pace(a, 1)
	case TimedOut:
		if t.lastOK < a.sent { // nothing came back since: more than a slow request, and no queue
			b.strike(t, a, r.terms)
		}
		// A quiet agent's time-outs are nearly all silent. Where answers bring reports, and are late
		// when crowds are, time-outs may as well be lost answers: they cut no limit.
		if (t.lastOK >= a.sent || b.quiet()) && b.s.Reports != ReportsInline {
			b.pace(a, max(1, lat/float64(r.terms.Aim)))
			// Departure: its work is still at the backend, and uses a quiet agent's room for longer.
			// Holds against any crowd that shows in time-outs first. May harm where these are lost answers.
			b.spare -= saveAtMost * b.usual()
			b.learnSpeed(t, lat/a.cost) // at least so slow
		}
	case Errored, Reset, ConnectFailed:
		rare := b.usualErrors(t) < evenErrors
		odd := b.odd(t, 1)
		// A process that ends takes all its connections with it: while others stand, one that breaks
		// is an error like others.
		broke := e.Result != Errored && !e.Standing
		refused := broke && e.Result == ConnectFailed
		// Where connections break all the time, one that breaks is no restart; one that can't be made,
		// twice in a row, is a process that has gone.
		if !t.down && (refused && (rare || t.refused) || broke && rare) {
			t.down, t.downAt = true, b.now
		}
		t.refused = refused
		if odd || refused || rare && t.cold { // a cold one has to show that it is well
			b.strike(t, a, r.terms)
		}
	}
}

// odd takes an answer with so many errors, and reports whether a backend returns more than is usual.
// Departure: errors that come from all backends alike, as spoilt answers or resets do, say nothing of
// the one they came from, and ejecting for each would leave few in use. Where errors are rare the first
// one tells; where they are usual, three in near succession. May harm where most backends fail.
func (b *Balancer) odd(t *backend, errors float64) bool {
	usual := b.usualErrors(t)
	t.errors += smooth / 2 * (errors - t.errors)
	t.excess = min(max(0, t.excess-max(oddErrors*usual, errorHeal))+errors, errorCap)
	return t.excess >= min(max(1, 2*usual/evenErrors), 2+4*usual)
}

// usualErrors is the share of errors that the other backends return, lately; one that fails all counts
// for no more than oddMost. Guards against a wave of resets that comes over all backends: a mean over
// the last hundreds of answers would not have seen it before each of them had been ejected once.
func (b *Balancer) usualErrors(t *backend) float64 {
	sum := 0.0
	for _, o := range b.backends {
		died := o.down && o.strikes > 1 // says nothing of the others
		if o.State == Up && o != t && !died {
			sum += min(o.errors, oddMost)
		}
	}
	return sum / float64(max(b.up-1, 1))
}

// kind is what a quiet agent knows of a backend's kind, since it meets few twice: an unknown
// one counts at its mean. A busy agent soon knows each; a dead zone would teach it about the rest.
func (b *Balancer) kind(t *backend) *speed {
	if b.kinds[t.Kind] == nil {
		b.kinds[t.Kind] = &speed{slow: 1}
		if t.Weight > 0 && b.rated > 0 { // as slow as gives it its share by weight
			b.kinds[t.Kind].slow = math.Cbrt(b.rated / t.Weight)
		}
	}
	if !b.quiet() {
		b.kinds[t.Kind].slow = 1
	}
	return b.kinds[t.Kind]
}

// learnSpeed takes one latency, as a multiple of the expected, into a backend's slowness.
// The first few weigh more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) learnSpeed(t *backend, sample float64) {
	t.slow = cmp.Or(t.slow, b.kind(t).slow)
	for _, s := range []*speed{&t.speed, b.kind(t)} {
		s.samples++
		s.slow += max(smooth, 1/(s.samples+priorSamples)) * (min(sample, slowBound) - s.slow)
	}
}

// strike ejects a backend for a while that doubles with each further strike.
// Departure: a backend that fails fast is always idle and would draw all traffic.
// It acts on the first error, since errors are rare where nothing is wrong; what
// was sent before the last strike adds nothing.
func (b *Balancer) strike(t *backend, a *attempt, c *terms) {
	if a.sent < t.struckAt {
		return
	}
	t.strikes = min(t.strikes+1, strikeCap)
	t.excess = max(0, t.excess-1) // the error that led here has been answered
	t.struckAt = b.now
	// Departure: many agents that each try an ejected backend soon keep it busy for ever, and one that
	// has turned slow must rest: each waits longer the more agents there are for a backend. May harm
	// where a backend is well again and no restart tells.
	span := max(1, float64(b.s.Balancers)/(quietRatio*float64(max(b.up, 1)))) * float64(c.Aim)
	t.ejected = b.now + time.Duration(math.Exp2(t.strikes-1)*(0.75+0.5*b.rng.Float64())*span)
}

// pardon ends all ejections. Departure: a stop that took every backend was no fault of theirs, and the
// first answer after it says that it is over; the ejections that grew while nothing could be served
// would go on for seconds. Each is then tried with one attempt. May harm where one of several broken
// backends answers now and then.
func (b *Balancer) pardon() {
	for _, t := range b.backends {
		t.ejected, t.strikes = min(t.ejected, b.now), min(t.strikes, 1)
	}
	b.measure()
}

// healthy reports whether t may get r as ordinary traffic. After an ejection it
// gets one attempt at a time until it has healed: of requests that may be repeated,
// and of others only where none of these came for as long again.
func (b *Balancer) healthy(t *backend, r *request) bool {
	if b.now < t.ejected {
		return false
	}
	if t.strikes == 0 {
		return true
	}
	safe := r.terms.Effect != Unsafe || b.now >= 2*t.ejected-t.struckAt
	return safe && len(t.out) == 0
}

// pace moves the limit on attempts in flight by the latency seen, as a share of
// the aim: down when the running mean passes the aimed share, up while it binds.
// Departure: beyond it requests are held, then refused, since a queue that
// outlasts the aims serves nobody. The floor is this agent's share of a few
// attempts per backend, so that a fleet that is slow without a queue stays in use.
func (b *Balancer) pace(a *attempt, share float64) {
	// The mean is over time: over the last few answers alone, chance would cut a busy agent's limit.
	weight := 1 - math.Exp(-float64(b.now-b.pacedAt)/(paceSpan*b.usual()))
	b.pacedAt = b.now
	b.delay += weight * (min(share, 2) - b.delay)
	b.beside += weight * (a.beside - b.beside)
	b.base += weight * smooth * min(b.delay-b.base, (b.delay-b.base)/100) // it rises far slower
	aimed, floor := b.aimed(), floorPerBack*(1+b.crowding())
	if b.width > 0 {
		floor = min(floor, floorPerWide*b.width)
	}
	binds := float64(b.inFlight-b.stuck)+1 >= b.limit()*0.9
	if b.quiet() {
		floor, binds = quietFloor, b.spare < b.usual()
	}
	switch {
	case b.delay > aimed && b.now-b.cutAt > time.Duration(b.classes[0].latency):
		cut := b.perBack * limitCut
		if !b.quiet() {
			cut = min(b.perBack, b.beside*aimed/b.delay)
		}
		b.perBack = max(floor, cut)
		b.cutAt = b.now
		if b.notes != nil {
			b.note(Note{Kind: NoteCut})
		}
	case b.delay < aimed && binds:
		b.perBack += limitGrow / b.limit()
	}
}

// aimed is the mean delay that the limit keeps to.
func (b *Balancer) aimed() float64 {
	switch {
	case b.quiet():
		return aimedDelay
	case b.stale >= staleMost: // nothing keeps crowds apart but the limit
		return min(aimedBlind+(aimedDelay-aimedBlind)*b.crowding(), max(aimedRise*b.base, aimedLeast))
	}
	return min(aimedDelay, max(aimedRise*b.base, aimedLeast))
}

// limit is what may be in flight now; it follows the list as the fleet grows and shrinks,
// and a cold backend counts by its warmth.
func (b *Balancer) limit() float64 { return max(1, b.part()) }

func (b *Balancer) part() float64 { return max(b.perBack*b.capacity*b.fraction, 1e-6) }

// crowding is how far agents outnumber backends: 1 where each is quiet.
func (b *Balancer) crowding() float64 {
	return min(1, float64(b.s.Balancers-1)/(quietRatio*float64(max(b.up, 1))))
}

// quiet reports whether agents far outnumber backends, so that each has too little traffic to
// learn from, and a part of the limit that rounding up to whole attempts would overrun.
func (b *Balancer) quiet() bool { return float64(b.s.Balancers) > quietRatio*float64(b.up) }

// ---- Cold start ----

// start notes that a backend's process started at a time learned now.
func (t *backend) start(at, now time.Duration) {
	t.warmFrom, t.cold, t.seen, t.slow, t.samples = at, true, false, 0, 0
	t.budget, t.turns, t.budgetAt, t.errors, t.keys = 0, 0, now, 0, nil
}

// warmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) warmth(t *backend) float64 {
	if !t.cold {
		return 1
	}
	age := b.now - t.warmFrom
	if age >= b.s.RampTime {
		t.cold = false
		return 1
	}
	return b.s.ColdShare + (1-b.s.ColdShare)*max(0, float64(age)/float64(b.s.RampTime))
}

// measure sums up what the backends that are up, and not ejected or down, can do.
func (b *Balancer) measure() {
	b.up, b.warm, b.capacity, b.stuck, b.rated = 0, 0, 0, 0, 0
	for _, t := range b.backends {
		if t.State == Up {
			b.up++
			b.rated += (t.Weight - b.rated) / float64(b.up)
			if !t.cold {
				b.warm++
			}
		}
		if t.State == Up && !t.down && b.now >= t.ejected && b.share(t) > 0 {
			b.capacity += b.warmth(t)
		} else {
			b.stuck += len(t.out)
			continue
		}
		// Departure: an overdue attempt uses no room. One lost answer would hold a quiet agent with
		// room for one until its client leaves, some would halve a busy one's limit. Acts where
		// answers bring reports, which come late and cut the limit when crowds are the cause. May
		// harm where reports lie low.
		if b.s.Reports == ReportsInline {
			for _, a := range t.out {
				if float64(b.now-a.sent) > overdue*a.cost {
					b.stuck++
				}
			}
		}
	}
}

// coldRoom reports whether a cold backend may get this request: each agent sends it
// no more work than what a warm one serves for it, times warmth, times the root of the
// stated multiple. All together then stay as far below the multiple as they may be above
// the sure capacity: most backends have more than that, and under overload it is needed.
func (b *Balancer) coldRoom(t *backend, r *request) bool {
	w := b.warmth(t)
	if !t.cold {
		return true
	}
	cost := b.expected(r)
	mean := b.classes[r.class].latency
	rate := b.decayed() / float64(b.s.FallWindow+1) / float64(max(b.warm, 1))
	if b.warm == 0 { // nothing to measure by: a whole fleet that starts must not wait to be warm
		rate = max(rate, coldTrickle/float64(b.possible))
	}
	// In requests too: where a class's latency has fallen, the work that heavier ones were measured by
	// would buy a rush of light ones.
	count := rate / mean
	if b.warm > 0 {
		count = b.doneCount / float64(b.s.FallWindow+1) / float64(b.warm)
	}
	share := w * math.Sqrt(max(1, b.s.FallMultiple)) * float64(b.now-t.budgetAt)
	t.budget, t.turns = min(t.budget+share*rate, mean), min(t.turns+share*count, 1)
	t.budgetAt = b.now
	return t.budget > 0 && t.turns >= turnSaved && cost <= heavy*mean
}

// decayed is the work lately served by warm backends, over about one fall window.
func (b *Balancer) decayed() float64 {
	fade := math.Exp(-float64(b.now-b.doneAt) / float64(b.s.FallWindow+1))
	b.doneWork *= fade
	b.doneCount *= fade
	b.doneAt = b.now
	return b.doneWork
}

// ---- List following ----

func (b *Balancer) onList(e List) {
	if e.Kind == ListFailed {
		if !b.s.Subscribe {
			return
		}
		// Asked again after an exponential, fully jittered wait.
		b.askFails++
		b.ask(min(b.askFails, 4), e.Within)
		return
	}
	if e.Kind == ListCached && b.s.Subscribe {
		b.ask(0, 0)
	} else {
		b.askFails = 0
	}
	full := e.Kind != ListDelta
	listed := map[string]bool{}
	for _, n := range e.Backends {
		listed[n.ID] = true
		t := b.byID[n.ID]
		if t == nil {
			t = &backend{Backend: n, hash: hashed(n.ID)}
			b.byID[n.ID] = t
			b.backends = append(b.backends, t)
			if n.Started > 0 {
				t.start(n.Started, b.now)
			}
			continue
		}
		if n.Started > t.Started {
			t.start(max(n.Started, t.warmFrom), b.now)
			t.strikes, t.ejected, t.down, t.refused = 0, 0, false, false
		}
		t.Backend = n
	}
	b.backends = slices.DeleteFunc(b.backends, func(t *backend) bool {
		if full && !listed[t.ID] {
			t.State = Gone
		}
		forget := t.State == Gone && len(t.out) == 0 // state stays bounded by what is listed or out
		if forget {
			delete(b.byID, t.ID)
		}
		return forget
	})
}

// ask asks for the list after an exponential, fully jittered wait. Departure: it grows with the fleet,
// since all agents may start, or fail, at once: calls that a service can't keep up with wait there until
// they fail, and those that come after them too. May harm where discovery has room for all.
func (b *Balancer) ask(fails int, within time.Duration) {
	unit := askUnit * max(1, float64(b.s.Balancers)/askFleet)
	wait := min(unit*math.Exp2(float64(fails)), 1) * float64(b.s.AskWithin)
	if within > 0 { // what has been missed counts as told soon
		wait = min(wait, float64(within))
	}
	b.askToken = b.alarm(time.Duration(b.rng.Float64() * wait))
}

// ---- Attempts and final answers ----

// send starts an attempt. Nothing else does; the rules are checked here last.
func (b *Balancer) send(r *request, t *backend) {
	if t.State != Up || !b.mayRepeat(r, t) || b.now >= r.deadline {
		b.finish(r, NoTime)
		return
	}
	a := &attempt{b: t, sent: b.now, cost: max(b.expected(r)*b.keyed(t, r), 1), open: true}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.risky++; r.anchor == nil {
		r.anchor = a
	}
	t.out = append(t.out, a)
	b.inFlight++
	a.beside = float64(b.inFlight-b.stuck) / b.fraction / max(b.capacity, 1)
	if t.cold {
		t.budget -= a.cost
		t.turns--
	}
	send := Send{Request: r.id, Backend: t.ID}
	if b.share(t) == 0 && r.only == "" { // a trial leaves time for another attempt
		send.Timeout = r.terms.Aim / 2
		b.sites.Trial[t.Zone] = false
	}
	// Guards against a connection that comes up when backends have forgotten the key.
	if c := r.terms; c.Effect == Keyed && r.anchor != a {
		send.By = r.anchor.sent + c.Window
	}
	b.actions = append(b.actions, send)
}

// finish gives a request its final answer. Nothing else does. It is a refusal
// where no attempt may have run, which lets any client try again; else a failure.
func (b *Balancer) finish(r *request, why Reason) {
	if r.ended {
		return
	}
	if r.risky == 0 {
		b.actions = append(b.actions, Refuse{Request: r.id, RetryAfter: b.comeBack(r)})
		b.noteEnd(r, NoteRefused, why)
	} else {
		b.actions = append(b.actions, Fail{Request: r.id})
		b.noteEnd(r, NoteFailed, why)
	}
	b.close(r)
}

// comeBack is the advice that goes with a refusal: about the time in which the next answer of the
// class comes in and leaves room. Jittered, so that those refused together don't come together.
// Guards against clients that come back at their own quick pace, into the crowd they were turned
// away from. Where answers take a millisecond, that says nothing of when there is room for what waited
// in vain: it is a part of the aim at least. Longer advice would take a refused client's second chance
// within its aim. Drawn from a source of its own: it changes no other choice.
func (b *Balancer) comeBack(r *request) time.Duration {
	if !b.s.RetryAfter {
		return 0
	}
	if b.sites.Back != nil { // along the way on which a site comes back
		return min(b.sites.Back(r.class), r.terms.maxRetryAfter)
	}
	room := max(b.classes[r.class].latency, adviceLeast*float64(r.terms.Aim))
	return min(time.Duration(room*(0.5+b.advice.Float64())), r.terms.maxRetryAfter)
}

// close forgets a request once it has ended and its attempts are in.
func (b *Balancer) close(r *request) {
	r.ended = true
	if r.holding {
		b.unhold(r)
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}
