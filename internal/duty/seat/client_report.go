package seat

import (
	"context"
	"slices"
	"time"

	"lemonrail/internal/duty"
)

// Event is something that the agent's duties came to.
type Event struct {
	At     time.Time  `json:"at"`
	Duty   string     `json:"duty"`
	What   string     `json:"what"` // began, ended
	Epoch  duty.Epoch `json:"epoch"`
	Reason string     `json:"reason,omitempty"`
}

// Report is how an agent's duties stand.
type Report struct {
	Agent   string      `json:"agent"`
	At      time.Time   `json:"at"`
	Seat    *SeatReport `json:"seat,omitempty"` // where the agent has one
	From    string      `json:"from"`           // seat that showed the table
	AgeS    float64     `json:"age_s"`          // of it; negative: none was ever shown
	Duties  []Row       `json:"duties"`
	History []Event     `json:"history,omitempty"`
}

// Row is one duty.
type Row struct {
	Duty    string     `json:"duty"`
	Holder  string     `json:"holder"` // empty: nobody
	Epoch   duty.Epoch `json:"epoch"`
	LeaseMs int64      `json:"lease_ms"`
	Zone    string     `json:"zone,omitempty"`
	Next    string     `json:"next,omitempty"` // who was named to take over
	Ready   bool       `json:"ready,omitempty"`
	Acts    uint64     `json:"acts"`
	State   string     `json:"state,omitempty"`
	Mine    string     `json:"mine"` // this agent's stage: idle, asking, holding, handing on, releasing
	LeftMs  int64      `json:"left_ms,omitempty"`
}

// SeatReport is how a seat stands.
type SeatReport struct {
	Name     string            `json:"name"`
	Identity string            `json:"identity"`
	Votes    bool              `json:"votes"`
	Leads    bool              `json:"leads"`
	Leader   string            `json:"leader"`
	Start    string            `json:"start"`
	Why      string            `json:"why"` // why it doesn't vote, or how it began
	Seats    map[string]string `json:"seats"`
	Term     uint64            `json:"term"`
	Applied  uint64            `json:"applied"`
	Written  uint64            `json:"bytes_written"`
	Syncs    uint64            `json:"syncs"`
	Garbled  int64             `json:"garbled"`
}

// Report returns how things stand.
func (c *Client) Report(ctx context.Context) (r *Report, err error) {
	return r, c.ask(ctx, func() { r = c.report() })
}

func (c *Client) report() *Report {
	now := c.now()
	r := &Report{Agent: c.o.Name, At: time.Now(), From: c.from, AgeS: -1, History: slices.Clone(c.history)}
	if c.seen > 0 {
		r.AgeS = (now - c.seen).Seconds()
	}
	for _, d := range c.table {
		row := Row{Duty: d.Name, Holder: d.Holder, Epoch: d.Epoch, LeaseMs: d.Lease.Milliseconds(), Zone: d.Zone, Next: d.Next, Ready: d.Ready, Acts: d.Acts,
			State: string(d.State), Mine: duty.Idle.String()}
		if h := c.holders[d.Name]; h != nil {
			if row.Mine = h.Stage().String(); h.Stage() == duty.Holding {
				row.LeftMs = (h.Until() - now).Milliseconds()
			}
		}
		r.Duties = append(r.Duties, row)
	}
	return r
}
