package replica

import (
	"context"
	"fmt"

	"lemonrail/internal/replica/voter"
)

// Status is the state of a group's member.
type Status struct {
	Group        string            `json:"group"`
	Name         string            `json:"name"`
	Identity     string            `json:"identity"`      // identity of its store, in hexadecimal
	Voting       bool              `json:"votes"`         // it takes part in elections and commits
	Reason       string            `json:"why"`           // why the member doesn't vote, or how it started
	Leads        bool              `json:"leads"`         // it believes that it is the leader
	Leader       string            `json:"leader"`        // name of the leader; empty: unknown
	Term         uint64            `json:"term"`          // current raft term
	Applied      uint64            `json:"applied"`       // index of the last applied log entry
	Members      map[string]string `json:"members"`       // raft identities by name
	BytesWritten uint64            `json:"bytes_written"` // by the store since it was opened
	Syncs        uint64            `json:"syncs"`         // of the store's files since it was opened
}

// Status returns the current state of this member.
func (r *Replica) Status(ctx context.Context) (Status, error) {
	result := make(chan Status, 1)
	if err := r.Inspect(ctx, func() { result <- r.status() }); err != nil {
		return Status{}, err
	}
	return <-result, nil
}

// Inspect runs f on the replica's goroutine, where it may look at the state machine, and returns once f has run. After an
// error f may still run later, so f must not touch anything that the caller goes on to use. Inspect must not be called from
// the replica's goroutine.
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
	status := Status{Group: r.options.Group, Name: r.options.Name, Voting: v.Voting(), Reason: v.Decision().Why, Leads: v.Leads(), Leader: v.Leader(),
		Applied: v.Applied(), Members: map[string]string{}}
	if opened := v.Store(); opened != nil {
		status.Identity, status.Term = voter.IdentityText(opened.ID()), opened.State().Term
		status.BytesWritten, status.Syncs = opened.Written, opened.Syncs
	}
	if fault := v.Fault(); fault != nil {
		status.Reason = fault.Error()
	}
	for id, name := range v.Members() {
		status.Members[name] = voter.IdentityText(id)
	}
	return status
}
