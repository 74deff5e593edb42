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

// Report is the state of the sites as the control API shows it.
type Report struct {
	Own     string          `json:"own"`
	At      time.Time       `json:"at"`
	Order   uint64          `json:"order"` // number of orders so far
	Basis   string          `json:"basis"` // ordinary, leaning, planned, stand-in, unplanned
	Admit   []AdmittedShare `json:"admit,omitempty"`
	Plans   int             `json:"plans"`                  // plans that are computed and in the cache
	Failed  int             `json:"plans_failed,omitempty"` // plans that could not be computed
	Sites   []SiteReport    `json:"sites"`
	Changes []StateChange   `json:"happened,omitempty"`
}

// AdmittedShare is the share of a class's requests that is admitted.
type AdmittedShare struct {
	Class string  `json:"class"`
	Share float64 `json:"share"`
}

// SiteReport is the state of one site.
type SiteReport struct {
	Site          string         `json:"site"`
	State         string         `json:"state"`
	Since         time.Time      `json:"since"`
	Cause         string         `json:"cause,omitempty"`
	Manual        bool           `json:"by_hand,omitempty"` // an operator holds the site for lost
	Remain        float64        `json:"remain"`            // share of its capacity that plans may use
	Share         float64        `json:"share"`             // weight of its backends when a backend is picked
	FullInSeconds float64        `json:"full_in_s"`         // time until a returning site may have all of its load
	Losses        int            `json:"losses"`            // times that it was lost within the last 5 minutes, which slow down its return
	Backends      int            `json:"backends"`          // backends of the site in the backend list
	Attempts      uint64         `json:"attempts"`          // attempts of this process that ended, since its start
	Tried         int            `json:"tried"`             // distinct backends tried recently
	Failing       int            `json:"failing"`           // backends, of those tried, that served nothing since their last failure
	FailShare     float64        `json:"fail_share"`        // share of the attempts that failed
	Elsewhere     float64        `json:"elsewhere_share"`   // the same share at all other sites that are neither lost nor cut
	FailuresInRow int            `json:"row"`               // consecutive failures since the last answer
	Kinds         map[string]int `json:"kinds,omitempty"`   // number of recent attempts, by name of their outcome (site.Outcome)
	Reaching      int            `json:"reach,omitempty"`   // members in other sites that report that they reach the site ...
	Reporting     int            `json:"asked,omitempty"`   // ... of this many that report on it
}

// Report returns the present state of the sites.
func (d *Driver) Report(ctx context.Context) (r *Report, err error) {
	err = d.runOnLoop(ctx, func() { r = d.report() })
	return r, err
}

// runOnLoop runs do on the loop's goroutine and waits until it is done.
func (d *Driver) runOnLoop(ctx context.Context, do func()) error {
	done := make(chan struct{})
	go d.loop.Post(func() { do(); close(done) }) // Post blocks while the loop is behind
	select {
	case <-done:
		return nil
	case <-d.loop.Done:
		return core.ErrEnded
	case <-ctx.Done():
		return fmt.Errorf("the loop is busy: %w", ctx.Err())
	}
}

// report builds the report; it must run on the loop.
func (d *Driver) report() *Report {
	now, s := time.Now(), d.controller.Report()
	r := &Report{At: now, Order: s.Order.Number, Basis: s.Order.Basis.String(), Plans: s.Plans, Failed: s.PlansFailed, Changes: slices.Clone(d.changes)}
	if d.options.OwnSite >= 0 {
		r.Own = d.options.Controller.Watch.Sites[d.options.OwnSite]
	}
	for i, a := range s.Order.AdmitShares {
		r.Admit = append(r.Admit, AdmittedShare{d.options.Controller.Classes[i].Name, a})
	}
	for i := range s.Evidence {
		e := &s.Evidence[i]
		row := SiteReport{Site: e.Site, State: e.State.String(), Since: now.Add(e.Since - d.loop.At(now)), Cause: e.Cause.String(), Manual: e.Manual,
			Remain: s.Remain[i], Share: 1, FullInSeconds: s.FullIn[i].Seconds(), Losses: e.Losses, Backends: e.Listed, Attempts: d.endedAttempts[i], Tried: e.TriedBackends, Failing: e.FailingBackends,
			FailShare: e.FailShare, Elsewhere: e.FailShareElsewhere, FailuresInRow: e.FailuresInRow, Reaching: e.Reaching, Reporting: e.Reporting, Kinds: map[string]int{}}
		if i < len(s.Order.BackendWeights) {
			row.Share = s.Order.BackendWeights[i]
		}
		for k, n := range e.Counts {
			if n > 0 {
				row.Kinds[site.Outcome(k).String()] = n
			}
		}
		r.Sites = append(r.Sites, row)
	}
	return r
}

// Routes returns the routes of the control listener: one reads the report, two take a site out of use and back.
func (d *Driver) Routes() []control.Route {
	return []control.Route{
		control.TextRoute("GET /api/sites", "application/json", func(ctx context.Context) ([]byte, error) {
			r, err := d.Report(ctx)
			if err != nil {
				return nil, err
			}
			return json.Marshal(r)
		}),
		{Pattern: "PUT /api/sites/{name}/lost", Handle: d.setLostHandler(true)},
		{Pattern: "PUT /api/sites/{name}/well", Handle: d.setLostHandler(false)},
	}
}

// setLostHandler handles an operator's call that takes a whole site out of use (lost) or back into use. It refuses to
// take out the last site in use.
func (d *Driver) setLostHandler(lost bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		i := slices.Index(d.options.Controller.Watch.Sites, name)
		if i < 0 {
			http.Error(w, fmt.Sprintf("%q is no site; there are %v", name, d.options.Controller.Watch.Sites), http.StatusNotFound)
			return
		}
		last := false
		if err := d.runOnLoop(r.Context(), func() { last = lost && d.controller.Watch().IsLastInUse(i) }); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if last {
			http.Error(w, fmt.Sprintf("%s is the last site in use: nobody would be served", name), http.StatusConflict)
			return
		}
		if err := d.options.ExcludeZone(r.Context(), i, lost); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err := d.runOnLoop(r.Context(), func() {
			d.syncExclusions(d.loop.Now())
			if !lost { // a site that the evidence holds for lost also comes back when an operator says so
				d.controller.Watch().SetManual(d.loop.Now(), i, false)
			}
			d.tick()
		}); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		d.options.Log.Info("site set manually", "site", name, "lost", lost)
		fmt.Fprintln(w, "ok")
	}
}
