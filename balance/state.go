package balance

import "time"

// What a balancer knows of classes, backends, attempts and requests. What is made of it stands in the files that decide.

// terms are the settings that a request is served by. They never change: a request keeps those in force when it came.
type terms struct {
	Class
	maxAttempts   int
	secondCopies  bool
	maxRetryAfter time.Duration
}

type classState struct {
	*terms                 // of requests that come now
	latency  float64       // running mean of served latency, ns
	patience time.Duration // the usual patience of a client's try
	work     float64       // running mean of the expected work told with requests, ns
}

type backend struct {
	Backend
	out  []*attempt // oldest first
	seen bool       // has answered this balancer since it started
	hash uint64     // of its id
	keys []met      // sent lately, the latest last
	speed
	crowd    float64       // attempts of other agents there, by its last report
	heard    time.Duration // when that came; 0: never
	errors   float64       // running share of errors among its answers
	excess   float64       // errors that it returned beyond what is usual, lately
	strikes  float64
	ejected  time.Duration // no traffic before this time
	struckAt time.Duration
	full     []fullness // by class
	lastOK   time.Duration
	usedAt   time.Duration // when an attempt last left a connection behind
	down     bool          // looks gone since the last answer: connections fail, or broke
	downAt   time.Duration // since when
	refused  bool          // the last attempt could not connect
	warmFrom time.Duration // when its latest start became known or seen
	cold     bool
	budget   float64 // work that may be sent while it is cold
	turns    float64 // and in how many requests
	budgetAt time.Duration
}

// fullness is what a backend's turning away of a class comes to: it gets none of it before a time.
type fullness struct {
	till time.Duration
	row  float64 // times in a row
}

// turned is the fullness for a class.
func (t *backend) turned(class int) *fullness {
	for len(t.full) <= class {
		t.full = append(t.full, fullness{})
	}
	return &t.full[class]
}

// speed is a running mean of latency over the mean of all, and the answers that it rests on.
type speed struct{ slow, samples float64 }

type attempt struct {
	b    *backend
	sent time.Duration
	cost float64
	open bool

	beside float64 // attempts out when it was sent, itself included, in the limit's measure
}

type request struct {
	id       string
	class    int
	terms    *terms // in force when it came
	came     time.Duration
	aim      time.Duration // answers after this time earn less
	deadline time.Duration
	work     float64  // expected work as told, ns; 0: unknown
	key      uint64   // hash of what it is about; 0: nothing
	home     *backend // of the key, for now
	only     string   // the backend that alone may get it; empty: any
	left     float64  // least share of its work that is left at a backend
	attempts []*attempt
	open     int      // attempts out
	risky    int      // attempts that may have run, those out included
	anchor   *attempt // the first of these: sets the group and the window
	retries  int
	failed   *backend // the backend that failed it last
	timer    int64    // the token of its latest timer; earlier ones are void
	repeat   bool     // a later try of the client: part of its aim has passed
	waiting  bool     // for its backoff
	passed   bool     // found no backend in this step
	holding  bool
	spill    bool // refused where there is no room at once: a site is lost, and not all can be borne
	stream   bool
	ended    bool
}
