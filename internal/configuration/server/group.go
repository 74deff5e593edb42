package server

import (
	"context"
	"log/slog"
	"sync"

	"lemonrail/internal/configuration"
	"lemonrail/internal/replica"
)

// consensus is the part of a replica that a group uses.
type consensus interface {
	Run(ctx context.Context) error
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Read(ctx context.Context) error
	Status(ctx context.Context) (replica.Status, error)
}

// group is this machine's member of a group: its replica, and the registry of the commands that the replica
// has applied. The registry can be read even when the replica has failed, so that agents are served without a
// majority and without a disk.
type group struct {
	name    string // such as fleet or region-a
	replica consensus
	history *history // of the machine, shared by all groups
	log     *slog.Logger

	mu          sync.Mutex
	registry    *configuration.Registry
	applied     []configuration.Revision // revisions made by the command that is being applied
	subscribers map[chan struct{}]bool   // to be signaled when the registry may have changed
}

func newGroup(name string, history *history, log *slog.Logger) *group {
	g := &group{
		name:        name,
		history:     history,
		log:         log.With("group", name),
		registry:    configuration.NewRegistry(name),
		subscribers: map[chan struct{}]bool{},
	}
	g.registry.OnRevision = func(revision configuration.Revision) { g.applied = append(g.applied, revision) }
	return g
}

// Apply is called by the replica with each committed command, in log order.
func (g *group) Apply(epoch uint64, command []byte) []byte {
	result, made := g.apply(epoch, command)
	g.record(made) // without g.mu, so that watches are served while a disk hangs
	return result
}

// apply applies a command to the registry and returns its result and the revisions that it has made.
func (g *group) apply(epoch uint64, command []byte) (result []byte, made []configuration.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	result = g.registry.Apply(epoch, command)
	made, g.applied = g.applied, nil
	g.notify()
	return result, made
}

// record writes revisions to the history.
func (g *group) record(revisions []configuration.Revision) {
	for _, revision := range revisions {
		if err := g.history.add(revision); err != nil {
			g.log.Error("history not written", "scope", revision.Scope.String(), "revision", revision.Revision, "err", err)
		}
	}
}

// Snapshot returns the state that the replica stores in place of the commands applied so far.
func (g *group) Snapshot() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Snapshot()
}

// Restore is called by the replica with a snapshot, either its own or one received from the leader.
func (g *group) Restore(snapshot []byte) error {
	latest, err := g.restore(snapshot)
	g.record(latest)
	return err
}

// restore replaces the registry's state by that of a snapshot and returns the latest revision of each scope.
func (g *group) restore(snapshot []byte) (latest []configuration.Revision, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.registry.Restore(snapshot); err != nil {
		return nil, err
	}
	for _, scope := range g.registry.Scopes() {
		if revision, ok := g.registry.Latest(scope); ok {
			latest = append(latest, revision)
		}
	}
	g.notify()
	return latest, nil
}

// votes reports whether this machine is currently a voter of the group.
func (g *group) votes(ctx context.Context) bool {
	status, err := g.replica.Status(ctx)
	return err == nil && status.Voting
}

// subscribe makes the group send to a channel of capacity 1 whenever the registry may have changed. The
// signal carries no data, so nothing queues for a slow reader.
func (g *group) subscribe(changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers[changed] = true
}

// unsubscribe ends subscribe for a channel.
func (g *group) unsubscribe(changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.subscribers, changed)
}

// notify signals all subscribers. The caller holds g.mu.
func (g *group) notify() {
	for changed := range g.subscribers {
		select {
		case changed <- struct{}{}:
		default: // a signal is pending already
		}
	}
}

// revision returns a scope's latest revision that this machine has applied.
func (g *group) revision(scope configuration.Scope) (configuration.Revision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Latest(scope)
}

// updatesSince returns the updates that an agent at the given position of a scope has not received yet.
func (g *group) updatesSince(scope configuration.Scope, have configuration.Position) []configuration.Update {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Updates(scope, have)
}

// check returns an error if a change cannot become a revision.
func (g *group) check(change configuration.Change) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Check(change)
}

// positions returns the position of each scope that has a document.
func (g *group) positions() map[configuration.Scope]configuration.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	positions := map[configuration.Scope]configuration.Position{}
	for _, scope := range g.registry.Scopes() {
		if revision, ok := g.registry.Latest(scope); ok {
			positions[scope] = revision.Position
		}
	}
	return positions
}
