package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
)

const (
	waitingLimit  = 1024 // requests that wait for the majority to be confirmed
	proposedLimit = 4096 // commands whose results are owed
	confirmRounds = 2    // election timeouts within which the majority has to be confirmed

	// CommandLimit bounds a command's bytes.
	CommandLimit = 1 << 20
)

// Errors after which surely nothing was or will be proposed.
var (
	ErrNoQuorum = errors.New("no majority of the group was confirmed")
	ErrBusy     = errors.New("too many requests wait at this member")
	ErrTooLong  = fmt.Errorf("a command of more than %d bytes", CommandLimit)
	ErrStopped  = errors.New("this member has stopped")
)

// ErrOutcomeUnknown says that a command was proposed and may or may not be carried out, also later.
var ErrOutcomeUnknown = errors.New("it is unknown whether the command was or will be carried out")

// NotLeaderError says that another member has to be asked. Nothing was or will be proposed.
type NotLeaderError struct {
	Leader string // empty: unknown
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this member doesn't lead, and no leader is known"
	}
	return fmt.Sprintf("this member doesn't lead: %q does", e.Leader)
}

// stage is how far a request is. It leaves waiting once: whoever takes it out of there decides.
type stage = int32

const (
	stageWaiting stage = iota
	stageProposed
	stageWithdrawn // nothing will be proposed
)

// request is a command, or a read, that is under way.
type request struct {
	command  []byte
	read     bool
	deadline time.Duration // by which the majority has to be confirmed
	index    uint64        // of a read: to be applied first
	stage    atomic.Int32
	done     chan outcome // of one
}

type outcome struct {
	result []byte
	err    error
}

func newRequest(command []byte, read bool) *request {
	return &request{command: command, read: read, done: make(chan outcome, 1)}
}

// withdraw reports whether the request had not been proposed, and now never will be.
func (q *request) withdraw() bool { return q.stage.CompareAndSwap(stageWaiting, stageWithdrawn) }

// claim reports whether the request may be proposed.
func (q *request) claim() bool { return q.stage.CompareAndSwap(stageWaiting, stageProposed) }

// finish hands the outcome over; only the first one counts.
func (q *request) finish(result []byte, err error) {
	select {
	case q.done <- outcome{result, err}:
	default:
	}
}

// requests are those under way at this member.
type requests struct {
	waiting   []*request // for the next confirmation
	confirm   []*request // for the confirmation that is under way
	confirmID uint64     // of it; 0: none is
	lastID    uint64
	reads     []*request // confirmed, waiting for their index to be applied
	proposed  map[uint64]*request
	lastEntry uint64
}

func newRequests() requests { return requests{proposed: map[uint64]*request{}} }

// Propose has a command agreed on and carried out, and returns its result. Errors: *NotLeaderError, ErrNoQuorum, ErrBusy, ErrTooLong and
// ErrStopped say that surely nothing was or will be proposed; ErrOutcomeUnknown says that it may be. The end of ctx gives one that wraps
// ErrNoQuorum or ErrOutcomeUnknown.
func (r *Replica) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	if len(command) > CommandLimit {
		return nil, ErrTooLong
	}
	return r.do(ctx, newRequest(command, false))
}

// Read returns nil once what this member has applied is at least all that was agreed on when the call began. It needs the leader, and
// fails like Propose.
func (r *Replica) Read(ctx context.Context) error {
	_, err := r.do(ctx, newRequest(nil, true))
	return err
}

// do has the replica's goroutine take a request, and waits for its outcome.
func (r *Replica) do(ctx context.Context, q *request) ([]byte, error) {
	select {
	case r.inbox <- func() { r.submit(q) }:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoQuorum, context.Cause(ctx))
	case <-r.stopped:
		return nil, ErrStopped
	}
	select {
	case out := <-q.done:
		return out.result, out.err
	case <-ctx.Done():
		out := q.abandon(context.Cause(ctx))
		return out.result, out.err
	case <-r.stopped:
		out := q.abandon(ErrStopped)
		return out.result, out.err
	}
}

// abandon gives a request up, and says how it stands.
func (q *request) abandon(reason error) outcome {
	q.withdraw()
	select {
	case out := <-q.done: // it came in the same moment
		return out
	default:
	}
	if q.stage.Load() == stageWithdrawn {
		return outcome{err: fmt.Errorf("%w: %w", ErrNoQuorum, reason)}
	}
	return outcome{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, reason)}
}

// submit takes a request, at the leader.
func (r *Replica) submit(q *request) {
	switch {
	case !r.voter.Leads():
		q.finish(nil, r.notLeader())
	case len(r.requests.waiting) >= waitingLimit || len(r.requests.reads) >= waitingLimit:
		q.finish(nil, ErrBusy)
	default:
		q.deadline = r.now() + confirmRounds*r.electionTimeout()
		r.requests.waiting = append(r.requests.waiting, q)
	}
}

func (r *Replica) notLeader() error {
	leader := r.voter.Leader()
	if leader == r.options.Name {
		leader = ""
	}
	return &NotLeaderError{Leader: leader}
}

// confirmWaiting begins a read index for all that wait, one at a time. A leader can't confirm before an entry of its own term was applied:
// until then it may not know of all that was agreed on.
func (r *Replica) confirmWaiting() {
	if !r.voter.Established() || r.requests.confirmID != 0 || len(r.requests.waiting) == 0 {
		return
	}
	r.requests.lastID++
	r.requests.confirmID = r.requests.lastID
	r.requests.confirm, r.requests.waiting = r.requests.waiting, nil
	r.voter.ReadIndex(binary.BigEndian.AppendUint64(nil, r.requests.confirmID))
}

// confirmed takes that a majority followed this leader after a read index was asked for.
func (r *Replica) confirmed(read raft.ReadState) {
	if len(read.RequestCtx) != 8 || binary.BigEndian.Uint64(read.RequestCtx) != r.requests.confirmID || !r.voter.Leads() {
		return // it was given up
	}
	now, confirmed := r.now(), r.requests.confirm
	r.requests.confirmID, r.requests.confirm = 0, nil
	for _, q := range confirmed {
		switch {
		case now > q.deadline: // this process was stopped: another may lead by now
			q.refuse()
		case q.read:
			q.index = read.Index
			r.requests.reads = append(r.requests.reads, q)
		default:
			r.propose(q)
		}
	}
}

// refuse says that the majority was not confirmed in time.
func (q *request) refuse() {
	if q.withdraw() {
		q.finish(nil, ErrNoQuorum)
	}
}

// propose puts a confirmed command into the log.
func (r *Replica) propose(q *request) {
	if len(r.requests.proposed) >= proposedLimit {
		if q.withdraw() {
			q.finish(nil, ErrBusy)
		}
		return
	}
	if !q.claim() {
		return
	}
	r.requests.lastEntry++
	id := entryID{r.life, r.requests.lastEntry}
	if err := r.voter.Propose(encodeEntry(id, q.command)); err != nil { // raft has dropped it
		q.finish(nil, fmt.Errorf("%w: %w", ErrBusy, err))
		return
	}
	r.requests.proposed[id.Sequence] = q
}

// answer hands over the result of an entry, where this process proposed it in this leadership.
func (r *Replica) answer(id entryID, result []byte) {
	if id.Life != r.life {
		return
	}
	if q := r.requests.proposed[id.Sequence]; q != nil {
		delete(r.requests.proposed, id.Sequence)
		q.finish(result, nil)
	}
}

// finishReads answers reads whose index is applied.
func (r *Replica) finishReads() {
	kept := r.requests.reads[:0]
	for _, q := range r.requests.reads {
		if q.index > r.voter.Applied() {
			kept = append(kept, q)
			continue
		}
		q.finish(nil, nil)
	}
	clear(r.requests.reads[len(kept):])
	r.requests.reads = kept
}

// expireRequests refuses requests whose majority was not confirmed in time.
func (r *Replica) expireRequests(now time.Duration) {
	r.requests.waiting = refuseOverdue(r.requests.waiting, now)
	r.requests.confirm = refuseOverdue(r.requests.confirm, now)
	if len(r.requests.confirm) == 0 {
		r.requests.confirmID = 0
	}
}

// refuseOverdue returns those that are not overdue.
func refuseOverdue(all []*request, now time.Duration) []*request {
	kept := all[:0]
	for _, q := range all {
		if now <= q.deadline {
			kept = append(kept, q)
			continue
		}
		q.refuse()
	}
	clear(all[len(kept):])
	return kept
}

// loseLeadership ends all that is under way: what was proposed may still be carried out, the rest never will be.
func (r *Replica) loseLeadership() {
	err := r.notLeader()
	for _, q := range r.requests.proposed {
		q.finish(nil, ErrOutcomeUnknown)
	}
	for _, all := range [][]*request{r.requests.waiting, r.requests.confirm, r.requests.reads} {
		for _, q := range all {
			if q.read || q.withdraw() {
				q.finish(nil, err)
			}
		}
	}
	r.requests = requests{proposed: map[uint64]*request{}, lastID: r.requests.lastID, lastEntry: r.requests.lastEntry}
}

// entryID tells an entry's proposer.
type entryID struct{ Life, Sequence uint64 }

const entryHead = 16

var errEntry = errors.New("an entry without its head")

func encodeEntry(id entryID, command []byte) []byte {
	raw := make([]byte, 0, entryHead+len(command))
	raw = binary.BigEndian.AppendUint64(raw, id.Life)
	raw = binary.BigEndian.AppendUint64(raw, id.Sequence)
	return append(raw, command...)
}

func decodeEntry(raw []byte) (id entryID, command []byte, err error) {
	if len(raw) < entryHead {
		return entryID{}, nil, errEntry
	}
	return entryID{binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])}, raw[entryHead:], nil
}
