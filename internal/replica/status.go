package replica

import (
	"context"
	"fmt"

	"lemonrail/internal/replica/voter"
)

// Status is how a member stands.
type Status struct {
	Group    string            `json:"group"`
	Name     string            `json:"name"`
	Identity string            `json:"identity"`
	Votes    bool              `json:"votes"`
	Why      string            `json:"why"` // it doesn't vote, or how it began
	Leads    bool              `json:"leads"`
	Leader   string            `json:"leader"` // empty: unknown
	Term     uint64            `json:"term"`
	Applied  uint64            `json:"applied"`
	Members  map[string]string `json:"members"` // identities by name
	Written  uint64            `json:"bytes_written"`
	Syncs    uint64            `json:"syncs"`
}

// Status returns how this member stands.
func (r *Replica) Status(ctx context.Context) (Status, error) {
	taken := make(chan Status, 1)
	if err := r.Inspect(ctx, func() { taken <- r.status() }); err != nil {
		return Status{}, err
	}
	return <-taken, nil
}

// Inspect runs f on the replica's goroutine, to look at the state machine, and returns once it has run. With an error it may still run
// later: f must not touch what the caller goes on to use. It must not be called from the replica's goroutine.
func (r *Replica) Inspect(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case r.inbox <- func() { defer close(done); f() }:
	case <-ctx.Done():
		return fmt.Errorf("replica: busy: %w", context.Cause(ctx))
	case <-r.stopped:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("replica: busy: %w", context.Cause(ctx))
	case <-r.stopped:
		return ErrStopped
	}
}

func (r *Replica) status() Status {
	v := r.voter
	status := Status{Group: r.options.Group, Name: r.options.Name, Votes: v.Votes(), Why: v.Decision().Why, Leads: v.Leads(), Leader: v.Leader(),
		Applied: v.Applied(), Members: map[string]string{}}
	if kept := v.Store(); kept != nil {
		status.Identity, status.Term = voter.IdentityText(kept.ID()), kept.State().Term
		status.Written, status.Syncs = kept.Written, kept.Syncs
	}
	if fault := v.Fault(); fault != nil {
		status.Why = fault.Error()
	}
	for id, name := range v.Members() {
		status.Members[name] = voter.IdentityText(id)
	}
	return status
}
