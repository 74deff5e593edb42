package server

import (
	"context"
	"log/slog"
	"sync"

	"lemonrail/internal/configuration"
	"lemonrail/internal/replica"
)

// consensus is what a group needs of its replica.
type consensus interface {
	Run(ctx context.Context) error
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Read(ctx context.Context) error
	Status(ctx context.Context) (replica.Status, error)
}

// group is this machine's part in a group: its replica, and the registry of what it has applied. The registry can be
// read whatever becomes of the replica, so that agents are served without a majority and without a disk.
type group struct {
	name    string
	replica consensus
	history *history
	log     *slog.Logger

	mu          sync.Mutex
	registry    *configuration.Registry
	made        []configuration.Revision // by the command that is being applied
	subscribers map[chan struct{}]bool
}

func newGroup(name string, history *history, log *slog.Logger) *group {
	g := &group{
		name:        name,
		history:     history,
		log:         log.With("group", name),
		registry:    configuration.NewRegistry(name),
		subscribers: map[chan struct{}]bool{},
	}
	g.registry.OnRevision = func(revision configuration.Revision) { g.made = append(g.made, revision) }
	return g
}

// Apply is called by the replica with each command that the group has agreed on, in its order.
func (g *group) Apply(epoch uint64, command []byte) []byte {
	result, made := g.apply(epoch, command)
	g.record(made) // without the lock: watches are served also while a disk hangs
	return result
}

func (g *group) apply(epoch uint64, command []byte) (result []byte, made []configuration.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	result = g.registry.Apply(epoch, command)
	made, g.made = g.made, nil
	g.notify()
	return result, made
}

// record writes revisions into the history.
func (g *group) record(revisions []configuration.Revision) {
	for _, revision := range revisions {
		if err := g.history.add(revision); err != nil {
			g.log.Error("history not written", "scope", revision.Scope.String(), "revision", revision.Revision, "err", err)
		}
	}
}

// Snapshot is what the replica keeps in place of the commands before it.
func (g *group) Snapshot() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Snapshot()
}

// Restore is called by the replica with a snapshot of its own or the leader's.
func (g *group) Restore(snapshot []byte) error {
	latest, err := g.restore(snapshot)
	g.record(latest)
	return err
}

func (g *group) restore(snapshot []byte) (latest []configuration.Revision, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.registry.Restore(snapshot); err != nil {
		return nil, err
	}
	for _, scope := range g.registry.Scopes() {
		if revision, ok := g.registry.Revision(scope); ok {
			latest = append(latest, revision)
		}
	}
	g.notify()
	return latest, nil
}

// votes reports whether this machine takes part in the group now.
func (g *group) votes(ctx context.Context) bool {
	status, err := g.replica.Status(ctx)
	return err == nil && status.Votes
}

// subscribe has the channel, of room for one, hold a value after the registry may have changed. It says no more than
// that, so that nothing queues for a slow reader.
func (g *group) subscribe(changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers[changed] = true
}

func (g *group) unsubscribe(changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.subscribers, changed)
}

// notify needs g.mu.
func (g *group) notify() {
	for changed := range g.subscribers {
		select {
		case changed <- struct{}{}:
		default: // it is to look anyway
		}
	}
}

// revision is what a scope has, as far as this machine has applied.
func (g *group) revision(scope configuration.Scope) (configuration.Revision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Revision(scope)
}

// updates are what an agent at a position of a scope lacks.
func (g *group) updates(scope configuration.Scope, have configuration.Position) []configuration.Update {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Updates(scope, have)
}

// check refuses a change that can't become a revision.
func (g *group) check(change configuration.Change) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Check(change)
}

// positions are those of all scopes with a document.
func (g *group) positions() map[configuration.Scope]configuration.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	positions := map[configuration.Scope]configuration.Position{}
	for _, scope := range g.registry.Scopes() {
		if revision, ok := g.registry.Revision(scope); ok {
			positions[scope] = revision.Position
		}
	}
	return positions
}
