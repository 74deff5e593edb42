package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lemonrail/internal/control"
	"lemonrail/internal/core"
	"lemonrail/internal/site"
)

// Report is how the sites stand, as it is shown.
type Report struct {
	Own      string     `json:"own"`
	At       time.Time  `json:"at"`
	Number   uint64     `json:"order"` // of orders so far
	Basis    string     `json:"basis"` // ordinary, leaning, planned, stand-in, unplanned
	Admit    []Admitted `json:"admit,omitempty"`
	Plans    int        `json:"plans"` // worked out
	Failed   int        `json:"plans_failed,omitempty"`
	Sites    []Row      `json:"sites"`
	Happened []Happened `json:"happened,omitempty"`
}

// Admitted is the share of a class that waits for room.
type Admitted struct {
	Class string  `json:"class"`
	Share float64 `json:"share"`
}

// Row is one site.
type Row struct {
	Site      string         `json:"site"`
	State     string         `json:"state"`
	Since     time.Time      `json:"since"`
	Cause     string         `json:"cause,omitempty"`
	ByHand    bool           `json:"by_hand,omitempty"`
	Remain    float64        `json:"remain"`          // that plans reckon with
	Share     float64        `json:"share"`           // what a backend of it counts for in picks
	FullIn    float64        `json:"full_in_s"`       // until a returning one may have all
	Losses    int            `json:"losses"`          // that still slow its return
	Backends  int            `json:"backends"`        // listed
	Attempts  uint64         `json:"attempts"`        // of this process that ended, since its start
	Tried     int            `json:"tried"`           // different backends, lately
	Failing   int            `json:"failing"`         // of these
	FailShare float64        `json:"fail_share"`      // of attempts
	Elsewhere float64        `json:"elsewhere_share"` // the same in the other sites
	Row       int            `json:"row"`             // failures since the last answer
	Kinds     map[string]int `json:"kinds,omitempty"` // attempts lately, by how they ended
	Reach     int            `json:"reach,omitempty"` // members elsewhere that are answered there ...
	Asked     int            `json:"asked,omitempty"` // ... of those that say anything
}

// Report returns how things stand.
func (p *Driver) Report(ctx context.Context) (r *Report, err error) {
	err = p.ask(ctx, func() { r = p.report() })
	return r, err
}

func (p *Driver) ask(ctx context.Context, do func()) error {
	done := make(chan struct{})
	go p.loop.Post(func() { do(); close(done) }) // Post waits where the loop is behind
	select {
	case <-done:
		return nil
	case <-p.loop.Dead:
		return core.ErrEnded
	case <-ctx.Done():
		return fmt.Errorf("the loop is busy: %w", ctx.Err())
	}
}

func (p *Driver) report() *Report {
	now, s := time.Now(), p.controller.Report()
	r := &Report{At: now, Number: s.Order.Number, Basis: s.Order.Basis.String(), Plans: s.Plans, Failed: s.Fails, Happened: slices.Clone(p.log)}
	if p.o.Own >= 0 {
		r.Own = p.o.Controller.Watch.Sites[p.o.Own]
	}
	for i, a := range s.Order.Admit {
		r.Admit = append(r.Admit, Admitted{p.o.Controller.Classes[i].Name, a})
	}
	for i := range s.Evidence {
		e := &s.Evidence[i]
		row := Row{Site: e.Site, State: e.State.String(), Since: now.Add(e.Since - p.loop.At(now)), Cause: e.Cause.String(), ByHand: e.ByHand,
			Remain: s.Ramp[i], Share: 1, FullIn: s.Full[i].Seconds(), Losses: e.Losses, Backends: e.Listed, Attempts: p.ended[i], Tried: e.Tried, Failing: e.Failing,
			FailShare: e.Share, Elsewhere: e.Elsewhere, Row: e.Row, Reach: e.Reach, Asked: e.Asked, Kinds: map[string]int{}}
		if i < len(s.Order.Share) {
			row.Share = s.Order.Share[i]
		}
		for k, n := range e.Counts {
			if n > 0 {
				row.Kinds[site.Kind(k).String()] = n
			}
		}
		r.Sites = append(r.Sites, row)
	}
	return r
}

// Routes are the calls at the control listener.
func (p *Driver) Routes() []control.Route {
	return []control.Route{
		control.Text("GET /api/sites", "application/json", func(ctx context.Context) ([]byte, error) {
			r, err := p.Report(ctx)
			if err != nil {
				return nil, err
			}
			return json.Marshal(r)
		}),
		{Pattern: "PUT /api/sites/{name}/lost", Answer: p.byHandAnswer(true)},
		{Pattern: "PUT /api/sites/{name}/well", Answer: p.byHandAnswer(false)},
	}
}

// byHandAnswer takes a site out as a whole, or puts it back.
func (p *Driver) byHandAnswer(lost bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		i := slices.Index(p.o.Controller.Watch.Sites, name)
		if i < 0 {
			http.Error(w, fmt.Sprintf("%q is no site; there are %v", name, p.o.Controller.Watch.Sites), http.StatusNotFound)
			return
		}
		last := false
		if err := p.ask(r.Context(), func() { last = lost && p.controller.Watch().Last(i) }); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if last {
			http.Error(w, fmt.Sprintf("%s is the last site in use: nobody would be served", name), http.StatusConflict)
			return
		}
		if err := p.o.Hand(r.Context(), i, lost); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err := p.ask(r.Context(), func() {
			p.hands(p.loop.Now())
			if !lost { // one that evidence holds for lost comes back on staff's word too
				p.controller.Watch().ByHand(p.loop.Now(), i, false)
			}
			p.turn()
		}); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		p.o.Log.Info("by hand", "site", name, "lost", lost)
		fmt.Fprintln(w, "ok")
	}
}
