package quorum

import (
	"context"
	"slices"
	"time"

	"lemonrail/internal/duty"
)

// Event is a beginning or an end of this agent's holding of a duty.
type Event struct {
	At     time.Time  `json:"at"`
	Duty   string     `json:"duty"`
	What   string     `json:"what"` // began or ended
	Epoch  duty.Epoch `json:"epoch"`
	Reason string     `json:"reason,omitempty"`
}

// Report is an agent's view of all duties, and its own part in them.
type Report struct {
	Agent   string        `json:"agent"`
	At      time.Time     `json:"at"`
	Seat    *MemberReport `json:"seat,omitempty"`    // nil: the agent has no voter
	From    string        `json:"from"`              // voter that sent the table
	AgeS    float64       `json:"age_s"`             // age of the table in seconds; negative: none was received yet
	Duties  []Row         `json:"duties"`            // all duties of that table
	History []Event       `json:"history,omitempty"` // beginnings and ends of this agent's holdings, the oldest first
}

// Row is a duty in a Report.
type Row struct {
	Duty    string     `json:"duty"`
	Holder  string     `json:"holder"` // empty: no holder
	Epoch   duty.Epoch `json:"epoch"`
	LeaseMs int64      `json:"lease_ms"` // length of a lease in milliseconds
	Zone    string     `json:"zone,omitempty"`
	Next    string     `json:"next,omitempty"`    // agent named to take over
	Ready   bool       `json:"ready,omitempty"`   // that agent can begin at once
	Acts    uint64     `json:"acts"`              // number of times that State was saved, over all holders
	State   string     `json:"state,omitempty"`   // the duty's state, as the holders saved it
	Mine    string     `json:"mine"`              // this agent's stage: idle, asking, holding, handing on, releasing
	LeftMs  int64      `json:"left_ms,omitempty"` // rest of the lease in milliseconds, if this agent holds the duty
}

// MemberReport is the status of an agent's voter.
type MemberReport struct {
	Name     string            `json:"name"`
	Identity string            `json:"identity"`      // identity of the voter's store, in hexadecimal
	Votes    bool              `json:"votes"`         // the voter takes part in the quorum
	Leads    bool              `json:"leads"`         // the voter is the leader
	Leader   string            `json:"leader"`        // name of the leader; empty: not known
	Start    string            `json:"start"`         // duty.StartAction by its name, or "distrusted" after a fault
	Why      string            `json:"why"`           // why the voter takes no part in the quorum, or how it started
	Seats    map[string]string `json:"seats"`         // identities of the quorum's members, by name
	Term     uint64            `json:"term"`          // current raft term
	Applied  uint64            `json:"applied"`       // index of the last applied log entry
	Written  uint64            `json:"bytes_written"` // bytes that the store has written since it was opened
	Syncs    uint64            `json:"syncs"`         // syncs of the store's files since it was opened
	Garbled  int64             `json:"garbled"`       // number of invalid frames and messages received
}

// Report returns the state of the agent's duties.
func (c *Client) Report(ctx context.Context) (r *Report, err error) {
	return r, c.runOnLoop(ctx, func() { r = c.report() })
}

func (c *Client) report() *Report {
	now := c.now()
	r := &Report{Agent: c.options.Name, At: time.Now(), From: c.tableSource, AgeS: -1, History: slices.Clone(c.history)}
	if c.tableAt > 0 {
		r.AgeS = (now - c.tableAt).Seconds()
	}
	for _, d := range c.table {
		row := Row{Duty: d.Name, Holder: d.Holder, Epoch: d.Epoch, LeaseMs: d.Lease.Milliseconds(), Zone: d.Zone, Next: d.Next, Ready: d.Ready, Acts: d.Acts,
			State: string(d.State), Mine: duty.Idle.String()}
		if h := c.holders[d.Name]; h != nil {
			if row.Mine = h.Stage().String(); h.Stage() == duty.Holding {
				row.LeftMs = (h.LeaseEnd() - now).Milliseconds()
			}
		}
		r.Duties = append(r.Duties, row)
	}
	return r
}
