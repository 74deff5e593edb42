// Package exercise is a Diameter load generator: it sends requests of many clients to a relay or a server and
// reports the results: each request's Result-Code and latency, unanswered requests and duplicate answers.
//
// One goroutine per client owns the connection's state (pending requests, when each is resent or abandoned);
// a reader of the connection passes it the answers. Bounded are the number of clients, the pending requests
// of each, and the time for one request. Of a completed request only the End-to-End identifier is kept, until
// the run ends, to detect duplicate answers.
package exercise

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemonrail/internal/diameter"
	"lemonrail/internal/standin"
)

// Config describes the requests to send.
type Config struct {
	Target                string        // address and port
	Identity              string        // Origin-Host of the clients; %d is replaced with the client's number, from 1
	Realm                 string        // Destination-Realm
	Host                  string        // Destination-Host; empty: any server
	Application           uint32        // Application-Id of the requests
	Command               uint32        // Command Code of the requests
	Type                  uint32        // CC-Request-Type; 0: omitted
	Action                int64         // Requested-Action; negative: omitted
	Clients               int           // number of clients, each with one connection
	RequestsPerClient     int           // requests per client
	MaxPending            int           // maximum number of pending requests per client
	AnswerTimeout         time.Duration // wait for an answer before a request is resent with the T flag, or abandoned
	MaxResends            int           // maximum number of times that one request is resent
	AcceptOverloadReports bool          // announce support for overload reports (RFC 7683); they are counted, but not applied
}

// check returns an error that names the first invalid value.
func (c *Config) check() error {
	for _, f := range []struct {
		name       string
		v, minimum int
	}{{"clients", c.Clients, 1}, {"each", c.RequestsPerClient, 1}, {"out", c.MaxPending, 1}, {"resends", c.MaxResends, 0}} {
		if f.v < f.minimum {
			return fmt.Errorf("%s: %d is too small", f.name, f.v)
		}
	}
	if c.AnswerTimeout <= 0 {
		return fmt.Errorf("patience: %v is not positive", c.AnswerTimeout)
	}
	return nil
}

// Report holds the results of a run. Latencies are in milliseconds.
type Report struct {
	Requests        int            `json:"requests"` // requests sent, and those that weren't since their connection had ended
	Answered        int            `json:"answered"`
	Unanswered      int            `json:"unanswered"`       // requests without an answer after all resends
	Resent          int            `json:"resent"`           // number of times that a request was resent
	Duplicates      int            `json:"twice"`            // further answers to requests that were answered or abandoned
	Unsolicited     int            `json:"strangers"`        // answers to requests that were never sent
	OverloadReports int            `json:"overload_reports"` // answers with an overload report
	Results         map[uint32]int `json:"results"`          // by Result-Code; 0: an answer without one
	P50             float64        `json:"p50_ms"`           // latencies from the first sending of a request until its answer
	P99             float64        `json:"p99_ms"`
	Max             float64        `json:"max_ms"`
	Seconds         float64        `json:"seconds"`

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // of answered requests, in microseconds
}

// Run sends the requests and returns once each has been answered or abandoned, or ctx ends. progress, which
// may be nil, is called once per second with the number of completed requests.
func Run(ctx context.Context, cfg Config, progress func(ended, all int)) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Report{Results: map[uint32]int{}, latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	var all []*client
	defer func() {
		for _, c := range all {
			c.conn.Close()
			for range c.conn.Received { // until its reader has ended
			}
		}
	}()
	for n := range cfg.Clients {
		name := strings.ReplaceAll(cfg.Identity, "%d", strconv.Itoa(n+1))
		conn, err := standin.DialDiameter(cfg.Target, name, cfg.Application)
		if err != nil {
			return nil, fmt.Errorf("client %d: %w", n+1, err)
		}
		c := &client{cfg: &cfg, report: r, conn: conn, name: name, firstID: uint32(n*cfg.RequestsPerClient) + 1, pending: map[uint32]*request{}, ended: map[uint32]bool{}}
		all = append(all, c)
		if err := c.awaitCEA(ctx); err != nil {
			return nil, fmt.Errorf("client %d (%s): %w", n+1, name, err)
		}
	}
	began := time.Now()
	var wait sync.WaitGroup
	for _, c := range all {
		wait.Go(func() { c.run(ctx) })
	}
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for finished := false; !finished; {
		select {
		case <-tick.C:
			if progress != nil {
				r.mu.Lock()
				ended := r.Answered + r.Unanswered
				r.mu.Unlock()
				progress(ended, cfg.Clients*cfg.RequestsPerClient)
			}
		case <-done:
			finished = true
		}
	}
	r.Seconds = time.Since(began).Seconds()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r.P50, r.P99, r.Max = ms(r.latency.ValueAtQuantile(50)), ms(r.latency.ValueAtQuantile(99)), ms(r.latency.Max())
	return r, ctx.Err()
}

// client is one connection and the requests that it is to send.
type client struct {
	cfg     *Config
	report  *Report
	conn    *standin.DiameterConn
	name    string              // its Origin-Host
	firstID uint32              // End-to-End identifier of its first request; the next ones count up from it
	pending map[uint32]*request // requests without an answer, by End-to-End identifier
	ended   map[uint32]bool     // End-to-End identifiers of the requests that were answered or abandoned
}

// request is a request that has not been answered yet.
type request struct {
	message *diameter.Message
	began   time.Time // time of the first sending
	due     time.Time // when it is resent or abandoned
	resends int
}

// awaitCEA waits for the answer to the CER.
func (c *client) awaitCEA(ctx context.Context) error {
	wait := time.NewTimer(c.cfg.AnswerTimeout)
	defer wait.Stop()
	select {
	case m, open := <-c.conn.Received:
		if !open {
			return errors.New("the connection ended before the capabilities exchange")
		}
		if m.Result() != diameter.Success {
			return fmt.Errorf("the capabilities exchange was answered %d", m.Result())
		}
		return nil
	case <-wait.C:
		return errors.New("no answer to the capabilities exchange")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run sends the client's requests, at most Config.MaxPending at a time, until each is answered or abandoned, the connection
// ends or ctx ends.
func (c *client) run(ctx context.Context) {
	sent := 0
	for {
		for sent < c.cfg.RequestsPerClient && len(c.pending) < c.cfg.MaxPending {
			c.send(c.firstID + uint32(sent))
			sent++
		}
		if len(c.pending) == 0 {
			return
		}
		next := time.Time{}
		for _, q := range c.pending {
			if next.IsZero() || q.due.Before(next) {
				next = q.due
			}
		}
		wait := time.NewTimer(time.Until(next))
		select {
		case m, open := <-c.conn.Received:
			if !open { // the remaining requests can't be answered
				c.count(func(r *Report) {
					r.Requests += c.cfg.RequestsPerClient - sent
					r.Unanswered += len(c.pending) + c.cfg.RequestsPerClient - sent
				})
				wait.Stop()
				return
			}
			c.handle(m)
		case <-wait.C:
			c.handleOverdue(time.Now())
		case <-ctx.Done():
			c.count(func(r *Report) { r.Unanswered += len(c.pending) })
			wait.Stop()
			return
		}
		wait.Stop()
	}
}

// count changes the report with f under the report's lock.
func (c *client) count(f func(*Report)) {
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	f(c.report)
}

// send sends the request with the given identifier for the first time.
func (c *client) send(id uint32) {
	m := &diameter.Message{Flags: diameter.FlagRequest | diameter.FlagProxiable, Command: c.cfg.Command, Application: c.cfg.Application,
		HopByHop: id, EndToEnd: id, AVPs: []diameter.AVP{diameter.Str(diameter.CodeSessionID, fmt.Sprintf("%s;%d", c.name, id)),
			diameter.Str(diameter.CodeOriginHost, c.name), diameter.Str(diameter.CodeOriginRealm, c.cfg.Realm),
			diameter.Str(diameter.CodeDestinationRealm, c.cfg.Realm)}}
	add := func(a diameter.AVP) { m.AVPs = append(m.AVPs, a) }
	if c.cfg.Host != "" {
		add(diameter.Str(diameter.CodeDestinationHost, c.cfg.Host))
	}
	if c.cfg.Type > 0 {
		add(diameter.U32(diameter.CodeCCRequestType, c.cfg.Type))
		add(diameter.U32(diameter.CodeCCRequestNumber, 0))
	}
	if c.cfg.Action >= 0 {
		add(diameter.U32(diameter.CodeRequestedAction, uint32(c.cfg.Action)))
	}
	if c.cfg.AcceptOverloadReports {
		add(diameter.WithoutMandatory(diameter.Group(diameter.CodeOCSupportedFeatures)))
	}
	now := time.Now()
	c.pending[id] = &request{message: m, began: now, due: now.Add(c.cfg.AnswerTimeout)}
	c.count(func(r *Report) { r.Requests++ })
	c.conn.Send(m)
}

// handle counts an answer and ends its request.
func (c *client) handle(m *diameter.Message) {
	if m.Request() {
		return // requests to clients are ignored
	}
	id := m.EndToEnd
	q := c.pending[id]
	c.count(func(r *Report) {
		switch {
		case q == nil && c.ended[id]:
			r.Duplicates++
		case q == nil:
			r.Unsolicited++
		default:
			r.Answered++
			r.Results[m.Result()]++
			r.latency.RecordValue(max(1, time.Since(q.began).Microseconds()))
			if diameter.Find(m.AVPs, diameter.CodeOCOLR, 0) != nil {
				r.OverloadReports++
			}
		}
	})
	delete(c.pending, id)
	c.ended[id] = true
}

// handleOverdue resends the requests whose answers are overdue, or abandons those that were resent MaxResends times.
func (c *client) handleOverdue(now time.Time) {
	for id, q := range c.pending {
		switch {
		case now.Before(q.due):
		case q.resends < c.cfg.MaxResends:
			q.resends++
			q.due = now.Add(c.cfg.AnswerTimeout)
			q.message.Flags |= diameter.FlagRetransmitted
			c.count(func(r *Report) { r.Resent++ })
			c.conn.Send(q.message)
		default:
			delete(c.pending, id)
			c.ended[id] = true
			c.count(func(r *Report) { r.Unanswered++ })
		}
	}
}
