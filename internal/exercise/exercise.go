// Package exercise sends Diameter requests to a relay or a server as many clients do, and tells what came back:
// each request's Result-Code and latency, what was never answered, and what was answered twice.
//
// Of each client one goroutine owns the connection's state (requests out, when each is sent again or given up);
// a reader of the connection hands it the answers. Bounded are clients, requests out on each, and the time for one
// request; of a request that has ended nothing is kept but its End-to-End id, for the rest of the run, so that a
// second answer is known for one.
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

// Config says what is sent.
type Config struct {
	Target      string        // address and port
	Identity    string        // of the clients: %d in it is each one's number from 1
	Realm       string        // Destination-Realm
	Host        string        // Destination-Host; empty: any server
	Application uint32        // of the requests
	Command     uint32        // of the requests
	Type        uint32        // CC-Request-Type; 0: none
	Action      int64         // Requested-Action; under 0: none
	Clients     int           // connections
	Each        int           // requests of each client
	Out         int           // of these, at a time
	Patience    time.Duration // for an answer, before a request is sent again under the T flag, or given up
	Resends     int           // of a request
	Heed        bool          // announce that reports of overload are taken (RFC 7683); what they say is counted, not done
}

func (c *Config) check() error {
	for _, f := range []struct {
		name     string
		v, least int
	}{{"clients", c.Clients, 1}, {"each", c.Each, 1}, {"out", c.Out, 1}, {"resends", c.Resends, 0}} {
		if f.v < f.least {
			return fmt.Errorf("%s: %d makes no sense", f.name, f.v)
		}
	}
	if c.Patience <= 0 {
		return fmt.Errorf("patience: %v makes no sense", c.Patience)
	}
	return nil
}

// Report is what came of it. Times are in milliseconds.
type Report struct {
	Requests   int            `json:"requests"`
	Answered   int            `json:"answered"`
	Unanswered int            `json:"unanswered"` // after all resends
	Resent     int            `json:"resent"`
	Twice      int            `json:"twice"`     // further answers to what had been answered
	Strangers  int            `json:"strangers"` // answers to what was never asked
	Overload   int            `json:"overload_reports"`
	Results    map[uint32]int `json:"results"` // by Result-Code; 0: an answer without one
	P50        float64        `json:"p50_ms"`
	P99        float64        `json:"p99_ms"`
	Max        float64        `json:"max_ms"`
	Seconds    float64        `json:"seconds"`

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // microseconds
}

// Run sends all that is to be sent and returns once each request has an answer or has been given up, or ctx ends.
// progress, which may be nil, is told now and then how many have ended.
func Run(ctx context.Context, cfg Config, progress func(ended, all int)) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Report{Results: map[uint32]int{}, latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	var all []*client
	defer func() {
		for _, c := range all {
			c.conn.Close()
			for range c.conn.Got { // its reader ends with the connection
			}
		}
	}()
	for n := range cfg.Clients {
		name := strings.ReplaceAll(cfg.Identity, "%d", strconv.Itoa(n+1))
		conn, err := standin.DialDiameter(cfg.Target, name, cfg.Application)
		if err != nil {
			return nil, fmt.Errorf("client %d: %w", n+1, err)
		}
		c := &client{cfg: &cfg, report: r, conn: conn, name: name, first: uint32(n*cfg.Each) + 1, out: map[uint32]*request{}, ended: map[uint32]bool{}}
		all = append(all, c)
		if err := c.hello(ctx); err != nil {
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
	for over := false; !over; {
		select {
		case <-tick.C:
			if progress != nil {
				r.mu.Lock()
				ended := r.Answered + r.Unanswered
				r.mu.Unlock()
				progress(ended, cfg.Clients*cfg.Each)
			}
		case <-done:
			over = true
		}
	}
	r.Seconds = time.Since(began).Seconds()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r.P50, r.P99, r.Max = ms(r.latency.ValueAtQuantile(50)), ms(r.latency.ValueAtQuantile(99)), ms(r.latency.Max())
	return r, ctx.Err()
}

// client is one connection.
type client struct {
	cfg    *Config
	report *Report
	conn   *standin.DiameterConn
	name   string
	first  uint32 // its requests' ids begin here
	out    map[uint32]*request
	ended  map[uint32]bool
}

type request struct {
	message *diameter.Message
	began   time.Time
	due     time.Time // to be sent again or given up
	resends int
}

// hello waits for the answer to the CER.
func (c *client) hello(ctx context.Context) error {
	wait := time.NewTimer(c.cfg.Patience)
	defer wait.Stop()
	select {
	case m, open := <-c.conn.Got:
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

func (c *client) run(ctx context.Context) {
	sent := 0
	for {
		for sent < c.cfg.Each && len(c.out) < c.cfg.Out {
			c.send(c.first + uint32(sent))
			sent++
		}
		if len(c.out) == 0 {
			return
		}
		next := time.Time{}
		for _, q := range c.out {
			if next.IsZero() || q.due.Before(next) {
				next = q.due
			}
		}
		wait := time.NewTimer(time.Until(next))
		select {
		case m, open := <-c.conn.Got:
			if !open { // the rest is not answered any more
				c.count(func(r *Report) { r.Requests += c.cfg.Each - sent; r.Unanswered += len(c.out) + c.cfg.Each - sent })
				wait.Stop()
				return
			}
			c.take(m)
		case <-wait.C:
			c.overdue(time.Now())
		case <-ctx.Done():
			c.count(func(r *Report) { r.Unanswered += len(c.out) })
			wait.Stop()
			return
		}
		wait.Stop()
	}
}

func (c *client) count(f func(*Report)) {
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	f(c.report)
}

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
	if c.cfg.Heed {
		add(diameter.Optional(diameter.Group(diameter.CodeOCSupportedFeatures)))
	}
	now := time.Now()
	c.out[id] = &request{message: m, began: now, due: now.Add(c.cfg.Patience)}
	c.count(func(r *Report) { r.Requests++ })
	c.conn.Send(m)
}

func (c *client) take(m *diameter.Message) {
	if m.Request() {
		return // nothing is asked of clients here
	}
	id := m.EndToEnd
	q := c.out[id]
	c.count(func(r *Report) {
		switch {
		case q == nil && c.ended[id]:
			r.Twice++
		case q == nil:
			r.Strangers++
		default:
			r.Answered++
			r.Results[m.Result()]++
			r.latency.RecordValue(max(1, time.Since(q.began).Microseconds()))
			if diameter.Find(m.AVPs, diameter.CodeOCOLR, 0) != nil {
				r.Overload++
			}
		}
	})
	delete(c.out, id)
	c.ended[id] = true
}

// overdue sends again, or gives up, what has waited for too long.
func (c *client) overdue(now time.Time) {
	for id, q := range c.out {
		switch {
		case now.Before(q.due):
		case q.resends < c.cfg.Resends:
			q.resends++
			q.due = now.Add(c.cfg.Patience)
			q.message.Flags |= diameter.FlagRetransmitted
			c.count(func(r *Report) { r.Resent++ })
			c.conn.Send(q.message)
		default:
			delete(c.out, id)
			c.ended[id] = true
			c.count(func(r *Report) { r.Unanswered++ })
		}
	}
}
