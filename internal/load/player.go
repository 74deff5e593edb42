package load

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Outcome is how a request ended for the client.
type Outcome string

const (
	Served   Outcome = "served"    // answered with 200
	Refused  Outcome = "refused"   // answered with 429 or 503; a retry is harmless
	Failed   Outcome = "failed"    // answered with any other status
	Broken   Outcome = "broken"    // the connection ended without a complete answer
	TimedOut Outcome = "timed out" // the client gave up at the end of its time
	Unsent   Outcome = "unsent"    // not sent: MaxInFlight requests were open, or connecting failed
)

// Sample is one request of a play and its outcome.
type Sample struct {
	Request       *Request
	ID            string    // correlation id
	Target        string    // address of the agent
	Due           time.Time // when it was scheduled to be sent
	Sent          time.Time // when its last byte was written; zero if never
	Ended         time.Time // when its outcome was known
	Outcome       Outcome
	Status        int           // 0 if there was no complete answer
	Body          []byte        // body of a 200
	AnswerBegun   bool          // with Broken: part of an answer was received
	NewConnection bool          // it was the first request on its connection
	RetryAfter    time.Duration // Retry-After of the answer; 0 if none
}

// Observer is called as the player's clients send requests and get answers, from many goroutines at once.
type Observer interface {
	Sent(s *Sample)  // the last byte was written
	Ended(s *Sample) // the outcome is known
}

// PlayOptions define how a plan is played.
type PlayOptions struct {
	Targets     []netip.AddrPort // loopback addresses; requests are spread over them, those of one client go to the same
	Speed       float64          // factor on the recorded speed; 2 is twice as fast; 0 for 1
	MaxRequests int64            // maximum number of requests; 0 for all
	MaxDuration time.Duration    // maximum duration; 0 for no bound
	MaxInFlight int              // maximum number of open requests; 0 for DefaultMaxInFlight
	Seed        uint64           // seed of the correlation ids
	MarkRepeats bool             // repeats carry X-Repeat: 1
	Observer    Observer         // may be nil
	Done        func(*Sample)    // called for each request that has ended, never concurrently; may be nil
}

// DefaultMaxInFlight is the default maximum number of open requests.
const DefaultMaxInFlight = 4096

const (
	maxIdleConns   = 1024                   // maximum number of idle connections per target
	maxAnswerBytes = 1 << 20                // maximum size of an answer
	answerGrace    = 500 * time.Millisecond // a client waits this long after its time has passed, to record a late answer
)

// Totals summarise a play for its Report.
type Totals struct {
	Played   int64 // requests of the plan that have an outcome
	Unsent   int64 // requests not sent because MaxInFlight requests were open
	Stopped  bool  // the caller's context ended the play
	Started  time.Time
	Finished time.Time
}

// Play sends a plan's requests at their times, without waiting for earlier answers: an open loop. It returns
// when every request has its outcome. When ctx ends, Play sends nothing more and waits for the open requests.
func Play(ctx context.Context, next func() (*Request, error), o PlayOptions) (Totals, error) {
	p, err := newPlayer(&o)
	if err != nil {
		return Totals{}, err
	}
	var all sync.WaitGroup
	totals := Totals{Started: time.Now()}
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	<-sleep.C
	// An idle worker goroutine takes the next request, so that goroutines are reused; a new one starts only if all are busy.
	work := make(chan *Sample)
	workers := 0
	var idle atomic.Int64
	defer func() {
		for _, pool := range p.pools {
			pool.close()
		}
	}()
	var failure error
loop:
	for o.MaxRequests == 0 || totals.Played < o.MaxRequests {
		q, err := next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			failure = err
			break
		}
		at := time.Duration(float64(q.Offset) / o.Speed)
		if o.MaxDuration > 0 && at >= o.MaxDuration {
			break
		}
		due := totals.Started.Add(at)
		if wait := time.Until(due); wait > 0 {
			sleep.Reset(wait)
			select {
			case <-sleep.C:
			case <-ctx.Done():
				totals.Stopped = true
				break loop
			}
		} else if ctx.Err() != nil {
			totals.Stopped = true
			break
		}
		totals.Played++
		s := &Sample{Request: q, ID: p.correlationID(totals.Played), Due: due}
		if idle.Load() == 0 && workers >= o.MaxInFlight {
			totals.Unsent++
			s.Outcome, s.Ended = Unsent, time.Now()
			p.reportDone(s)
			continue
		}
		if idle.Add(-1) < 0 {
			idle.Add(1)
			workers++
			all.Go(func() {
				p.play(s)
				idle.Add(1)
				for s := range work {
					p.play(s)
					idle.Add(1)
				}
			})
			continue
		}
		work <- s
	}
	close(work)
	all.Wait()
	totals.Finished = time.Now()
	return totals, failure
}

// PlayClosed runs a number of clients that each send the plan's next request as soon as the previous one is
// answered: a closed loop. It ignores the plan's times; PlayOptions.MaxDuration still applies. A closed loop sends less when answers
// are slow, so latency has to be measured with Play.
func PlayClosed(ctx context.Context, clients int, next func() (*Request, error), o PlayOptions) (Totals, error) {
	p, err := newPlayer(&o)
	if err != nil {
		return Totals{}, err
	}
	if clients < 1 || clients > DefaultMaxInFlight {
		return Totals{}, fmt.Errorf("%d clients are not within 1 and the limit of open requests", clients)
	}
	totals := Totals{Started: time.Now()}
	var mu sync.Mutex // guards totals, failure and next
	var failure error
	nextSample := func() *Sample {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case failure != nil || o.MaxRequests > 0 && totals.Played >= o.MaxRequests || o.MaxDuration > 0 && time.Since(totals.Started) >= o.MaxDuration:
			return nil
		case ctx.Err() != nil:
			totals.Stopped = true
			return nil
		}
		q, err := next()
		if err != nil {
			failure = err
			return nil
		}
		totals.Played++
		return &Sample{Request: q, ID: p.correlationID(totals.Played), Due: time.Now()}
	}
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for s := nextSample(); s != nil; s = nextSample() {
				p.play(s)
			}
		})
	}
	all.Wait()
	for _, pool := range p.pools {
		pool.close()
	}
	totals.Finished = time.Now()
	if errors.Is(failure, io.EOF) {
		failure = nil
	}
	return totals, failure
}

// newPlayer checks the options and sets the defaults.
func newPlayer(o *PlayOptions) (*player, error) {
	if len(o.Targets) == 0 {
		return nil, errors.New("no target")
	}
	for _, t := range o.Targets {
		if !t.Addr().IsLoopback() {
			return nil, fmt.Errorf("target %v: load is sent to loopback addresses only", t)
		}
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	if !(o.Speed > 0) {
		return nil, fmt.Errorf("speed %v is not above 0", o.Speed)
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	p := &player{options: *o}
	for _, t := range o.Targets {
		p.pools = append(p.pools, &connPool{addr: t.String()})
	}
	return p, nil
}

// player sends requests to the targets of its options.
type player struct {
	options PlayOptions
	pools   []*connPool // connections to each target
	mu      sync.Mutex  // serialises calls of options.Done
}

// reportDone passes a request that has ended to options.Done, one at a time.
func (p *player) reportDone(s *Sample) {
	if p.options.Done != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.options.Done(s)
	}
}

// correlationID returns the id of the nth request. Every request has its own, repeats included; the same seed
// gives the same ids.
func (p *player) correlationID(n int64) string {
	h := fnv.New64a()
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], p.options.Seed)
	binary.BigEndian.PutUint64(b[8:], uint64(n))
	h.Write(b[:])
	return hex.EncodeToString(h.Sum(nil))
}

// poolFor chooses the target of a request by a hash of its client: all requests of a client go to the same target.
func (p *player) poolFor(q *Request) *connPool {
	if len(p.pools) == 1 {
		return p.pools[0]
	}
	if q.Client == "" {
		return p.pools[int(q.Origin)%len(p.pools)]
	}
	h := fnv.New32a()
	io.WriteString(h, q.Client)
	return p.pools[int(h.Sum32())%len(p.pools)]
}

// play sends one request and waits for its outcome.
func (p *player) play(s *Sample) {
	pool := p.poolFor(s.Request)
	s.Target = pool.addr
	text := encodeRequest(s, pool.addr, p.options.MarkRepeats)
	for attempt := 0; ; attempt++ {
		c, reused, err := pool.get(attempt > 0)
		if err != nil {
			s.Outcome = Unsent
			break
		}
		s.NewConnection = !reused
		retry := s.exchange(c, text, p.options.Observer)
		if retry && reused && attempt == 0 {
			// The server closed the idle connection before it read the request: retry once on a new connection.
			c.Close()
			pool.closeIdle()
			continue
		}
		if s.Outcome == Served || s.Outcome == Refused || s.Outcome == Failed {
			if !c.closing {
				pool.put(c)
				break
			}
		}
		c.Close()
		break
	}
	s.Ended = time.Now()
	if p.options.Observer != nil && !s.Sent.IsZero() {
		p.options.Observer.Ended(s)
	}
	p.reportDone(s)
}

// encodeRequest encodes a request for HTTP/1.1 as PROTOCOL defines it. The Mapper has checked all values.
func encodeRequest(s *Sample, host string, marks bool) []byte {
	q := s.Request
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left: %du\r\n", q.Method, q.Target, host, s.ID, q.TimeLeft.Microseconds())
	if q.Tenant != "" {
		fmt.Fprintf(&b, "X-Account: %s\r\n", q.Tenant)
	}
	if q.IdempotencyKey != "" && q.Method == http.MethodPost {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.IdempotencyKey)
	}
	if q.Repeat && marks {
		b.WriteString("X-Repeat: 1\r\n")
	}
	if q.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return []byte(b.String())
}

// exchange writes the request and reads the answer. retry reports whether the connection ended before any byte
// of an answer; on a reused connection this may mean that the server never read the request.
func (s *Sample) exchange(c *conn, text []byte, observer Observer) (retry bool) {
	c.SetDeadline(time.Now().Add(s.Request.TimeLeft + answerGrace))
	if _, err := c.Write(text); err != nil {
		s.Outcome = Broken
		return true
	}
	s.Sent = time.Now()
	if observer != nil {
		observer.Sent(s)
	}
	if _, err := c.r.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.Outcome = TimedOut
			return false
		}
		s.Outcome = Broken
		return true
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: s.Request.Method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		resp.Body.Close()
	}
	if err != nil {
		s.Outcome, s.AnswerBegun = Broken, true
		return false
	}
	c.closing = resp.Close
	s.Status = resp.StatusCode
	if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && v >= 0 && v < 1e6 {
		s.RetryAfter = time.Duration(v * float64(time.Second))
	}
	switch s.Status {
	case http.StatusOK:
		s.Outcome, s.Body = Served, body
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.Outcome = Refused
	default:
		s.Outcome = Failed
	}
	return false
}

// connPool keeps idle connections to one target for reuse.
type connPool struct {
	addr string
	mu   sync.Mutex
	idle []*conn
}

// conn is a connection to a target.
type conn struct {
	net.Conn
	r       *bufio.Reader
	closing bool // the answer had "Connection: close"
}

const dialTimeout = 2 * time.Second

// get returns an idle connection, or a new one if there is none or fresh is set.
func (p *connPool) get(fresh bool) (c *conn, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !fresh {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	nc, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: nc, r: bufio.NewReader(nc)}, false, nil
}

// put keeps an idle connection for reuse, or closes it if maxIdleConns are kept already.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConns {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// closeIdle closes the idle connections, once the server has closed one of them.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

func (p *connPool) close() { p.closeIdle() }
