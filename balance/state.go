package balance

import "time"

// State that a Balancer keeps for classes, backends, attempts and requests.

// terms are the settings by which a request is served: those that applied when it came. They never change.
type terms struct {
	Class
	maxAttempts   int
	secondCopies  bool
	maxRetryAfter time.Duration
}

// classState is what a Balancer has learned about one class.
type classState struct {
	*terms                      // for requests that come from now on
	meanLatency   float64       // running mean of the latency of served attempts, ns
	usualTimeLeft time.Duration // running median of Request.TimeLeft over clients' first tries
	meanWork      float64       // running mean of Request.Work, ns
}

// backend is a listed backend and what this agent knows about it.
type backend struct {
	Backend
	inFlight []*attempt // this agent's attempts there, oldest first
	answered bool       // it has served an attempt of this agent since it started
	hash     uint64     // of its ID
	keys     []keyUse   // keys sent to it, the latest last
	slowness
	otherLoad     float64          // attempts of other agents there, by its last load report
	reportedAt    time.Duration    // when that report came; 0: never
	errorShare    float64          // running share of errors among its answers
	excessErrors  float64          // recent errors beyond the usual share
	strikes       float64          // grows with each ejection and falls with each served attempt
	ejectedUntil  time.Duration    // end of its last ejection
	ejectedAt     time.Duration    // when it was last ejected
	rejections    []rejectionState // by class
	servedAt      time.Duration    // when it last served an attempt
	connUsedAt    time.Duration    // when an attempt last ended and left its connection open; 0: never
	down          bool             // its process looks gone: connections failed or broke since its last answer
	downSince     time.Duration    // when its process was last found to look gone
	connectFailed bool             // the last attempt there could not connect
	startedAt     time.Duration    // when its process last started, as listed or as noticed
	cold          bool             // it started lately and may have less than its full capacity (see warmth)
	coldWork      float64          // work that it may be sent now while it is cold, ns
	coldRequests  float64          // requests that it may be sent now while it is cold
	coldBudgetAt  time.Duration    // when coldWork and coldRequests were last topped up
}

// rejectionState is the time until which a backend gets no requests of a class that it has rejected (see
// Full).
type rejectionState struct {
	until  time.Duration
	streak float64 // rejections in a row, at most maxRejectionStreak
}

// rejection returns the rejection state for a class.
func (t *backend) rejection(class int) *rejectionState {
	for len(t.rejections) <= class {
		t.rejections = append(t.rejections, rejectionState{})
	}
	return &t.rejections[class]
}

// slowness is a running mean of latency over the mean latency of all backends, and its number of samples.
type slowness struct{ slowRatio, samples float64 }

// attempt is one attempt of a request, sent and perhaps ended.
type attempt struct {
	backend         *backend
	zone, cell      int // of the backend when it was sent; a later process of the same name may have others
	sentAt          time.Duration
	expectedLatency float64 // expected latency, ns
	open            bool    // its outcome has not come yet

	// Estimate, from this agent's attempts, of all agents' attempts in flight per backend when it was sent.
	concurrency float64
}

// request is a request that still needs a final answer or has open attempts.
type request struct {
	id              string
	class           int
	terms           *terms // settings that applied when it came
	arrivedAt       time.Duration
	aimAt           time.Duration // answers after this time earn less
	deadline        time.Duration // when its client stops waiting
	work            float64       // expected work by Request.Work, ns; 0: unknown
	key             uint64        // hash of Request.Key; 0: it has none
	keyHome         *backend      // the home of its key while a backend is picked
	onlyBackend     string        // ID of the only backend that may get it; empty: any
	minWorkLeft     float64       // minimum over the backends of the share of its work that is left there
	attempts        []*attempt
	openAttempts    int      // attempts without an outcome
	mayHaveRun      int      // attempts that may have run, open ones included
	anchor          *attempt // the first of those: it sets the group and the window of further attempts
	retries         int      // retries made after a backoff, whose bound doubles with each
	lastFailed      *backend // the backend of the last failed attempt
	timerToken      int64    // token of its latest timer, the only one that is valid
	repeat          bool     // a client's repeat: part of its aim has passed
	backingOff      bool     // waits for the backoff before its next attempt
	unplaced        bool     // found no backend in the current step
	held            bool     // waits in Balancer.held
	shedWithoutRoom bool     // refused if there is no room at once, as Sites.AdmitShares does not admit it
	streaming       bool     // its answer has begun to reach the client
	ended           bool     // it has its final answer, or its client left
}
