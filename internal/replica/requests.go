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
	maxWaiting              = 1024 // bound of requests.waiting, and of requests.reads
	maxProposed             = 4096 // bound of requests.proposed
	confirmElectionTimeouts = 2    // a request is refused if its confirmation takes longer than this many election timeouts

	// MaxCommandBytes is the maximum size of a command in bytes.
	MaxCommandBytes = 1 << 20
)

// Errors after which the command was not proposed and never will be.
var (
	ErrNoQuorum       = errors.New("no majority of the group was confirmed")
	ErrBusy           = errors.New("too many requests wait at this member")
	ErrCommandTooLong = fmt.Errorf("a command of more than %d bytes", MaxCommandBytes)
	ErrStopped        = errors.New("this member has stopped")
)

// ErrOutcomeUnknown reports that a command was proposed and may or may not be executed, possibly later.
var ErrOutcomeUnknown = errors.New("it is unknown whether the command was or will be carried out")

// NotLeaderError reports that the request must go to another member. The command was not proposed and never will be.
type NotLeaderError struct {
	Leader string // name; empty: unknown
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this member doesn't lead, and no leader is known"
	}
	return fmt.Sprintf("this member doesn't lead: %q does", e.Leader)
}

// stage is the progress of a request. It changes once, by compare-and-swap: a waiting request is either
// proposed by the replica's goroutine or withdrawn by its caller, never both.
type stage = int32

const (
	stageWaiting   stage = iota // not proposed yet
	stageProposed               // given to raft: it may be executed
	stageWithdrawn              // never proposed
)

// request is a pending command or read.
type request struct {
	command  []byte        // to be executed; nil for a read
	read     bool          // true: Read, false: Propose
	deadline time.Duration // on the replica's clock: the majority must have confirmed this leader by then
	index    uint64        // for a read: it is answered once the log entry with this index is applied
	stage    atomic.Int32
	done     chan outcome // has room for one
}

// outcome is what Propose or Read returns for a request.
type outcome struct {
	result []byte
	err    error
}

// newRequest returns a waiting request.
func newRequest(command []byte, read bool) *request {
	return &request{command: command, read: read, done: make(chan outcome, 1)}
}

// withdraw ensures that a waiting request is never proposed. It returns false if the request has left that stage.
func (q *request) withdraw() bool { return q.stage.CompareAndSwap(stageWaiting, stageWithdrawn) }

// claim marks a waiting request as proposed. It returns false if the request was withdrawn.
func (q *request) claim() bool { return q.stage.CompareAndSwap(stageWaiting, stageProposed) }

// finish delivers the outcome; later calls have no effect.
func (q *request) finish(result []byte, err error) {
	select {
	case q.done <- outcome{result, err}:
	default:
	}
}

// requests are the pending requests of this member. Each waits for a confirmation: a read index, by which a
// majority shows that it still follows this leader. Requests that wait at the same time share one.
type requests struct {
	waiting        []*request          // for the confirmation after the current one
	confirming     []*request          // for the current confirmation
	confirmID      uint64              // number of the current confirmation; 0: none is under way
	lastConfirmID  uint64              // number of the last confirmation so far
	confirmedReads []*request          // confirmed reads whose index isn't applied yet
	proposed       map[uint64]*request // commands without a result, by sequence number of their log entry
	lastSequence   uint64              // of the last entry that this process proposed
}

func newRequests() requests { return requests{proposed: map[uint64]*request{}} }

// Propose has the group commit and execute a command, and returns its result. After *NotLeaderError, ErrNoQuorum, ErrBusy,
// ErrCommandTooLong or ErrStopped the command was not proposed and never will be; after ErrOutcomeUnknown it may still be
// executed. If ctx ends, the error wraps ErrNoQuorum or ErrOutcomeUnknown.
func (r *Replica) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrCommandTooLong
	}
	return r.submitAndWait(ctx, newRequest(command, false))
}

// Read returns nil once this member has applied all that was committed when the call began. Only the leader can serve it;
// it fails like Propose.
func (r *Replica) Read(ctx context.Context) error {
	_, err := r.submitAndWait(ctx, newRequest(nil, true))
	return err
}

// submitAndWait sends a request to the replica's goroutine and waits for its outcome.
func (r *Replica) submitAndWait(ctx context.Context, q *request) ([]byte, error) {
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

// abandon gives a request up for a reason, and returns its outcome as far as it is known.
func (q *request) abandon(reason error) outcome {
	q.withdraw()
	select {
	case out := <-q.done: // the outcome arrived at the same moment
		return out
	default:
	}
	if q.stage.Load() == stageWithdrawn {
		return outcome{err: fmt.Errorf("%w: %w", ErrNoQuorum, reason)}
	}
	return outcome{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, reason)}
}

// submit queues a request for the next confirmation. It refuses the request if this member doesn't lead or
// too many requests wait.
func (r *Replica) submit(q *request) {
	switch {
	case !r.voter.Leads():
		q.finish(nil, r.notLeader())
	case len(r.requests.waiting) >= maxWaiting || len(r.requests.confirmedReads) >= maxWaiting:
		q.finish(nil, ErrBusy)
	default:
		q.deadline = r.now() + confirmElectionTimeouts*r.electionTimeout()
		r.requests.waiting = append(r.requests.waiting, q)
	}
}

// notLeader returns a NotLeaderError that names the leader, unless that is unknown.
func (r *Replica) notLeader() error {
	leader := r.voter.Leader()
	if leader == r.options.Name {
		leader = ""
	}
	return &NotLeaderError{Leader: leader}
}

// confirmWaiting requests a read index for all waiting requests; one confirmation runs at a time. A leader can't confirm
// before it has applied an entry of its own term: until then it may not know of all committed entries.
func (r *Replica) confirmWaiting() {
	if !r.voter.Established() || r.requests.confirmID != 0 || len(r.requests.waiting) == 0 {
		return
	}
	r.requests.lastConfirmID++
	r.requests.confirmID = r.requests.lastConfirmID
	r.requests.confirming, r.requests.waiting = r.requests.waiting, nil
	r.voter.ReadIndex(binary.BigEndian.AppendUint64(nil, r.requests.confirmID))
}

// handleConfirmation continues the requests of the current confirmation after a majority has confirmed this leader.
func (r *Replica) handleConfirmation(read raft.ReadState) {
	if len(read.RequestCtx) != 8 || binary.BigEndian.Uint64(read.RequestCtx) != r.requests.confirmID || !r.voter.Leads() {
		return // the confirmation was given up
	}
	now, confirmed := r.now(), r.requests.confirming
	r.requests.confirmID, r.requests.confirming = 0, nil
	for _, q := range confirmed {
		switch {
		case now > q.deadline: // the process may have been suspended: another member may lead by now
			q.refuse()
		case q.read:
			q.index = read.Index
			r.requests.confirmedReads = append(r.requests.confirmedReads, q)
		default:
			r.propose(q)
		}
	}
}

// refuse ends a request whose confirmation did not arrive in time.
func (q *request) refuse() {
	if q.withdraw() {
		q.finish(nil, ErrNoQuorum)
	}
}

// propose proposes a confirmed command to raft.
func (r *Replica) propose(q *request) {
	if len(r.requests.proposed) >= maxProposed {
		if q.withdraw() {
			q.finish(nil, ErrBusy)
		}
		return
	}
	if !q.claim() {
		return
	}
	r.requests.lastSequence++
	id := entryID{r.incarnation, r.requests.lastSequence}
	if err := r.voter.Propose(encodeEntry(id, q.command)); err != nil { // raft has dropped the proposal
		q.finish(nil, fmt.Errorf("%w: %w", ErrBusy, err))
		return
	}
	r.requests.proposed[id.Sequence] = q
}

// deliverResult finishes the request of an applied entry, if this process proposed it and has led since.
func (r *Replica) deliverResult(id entryID, result []byte) {
	if id.Incarnation != r.incarnation {
		return
	}
	if q := r.requests.proposed[id.Sequence]; q != nil {
		delete(r.requests.proposed, id.Sequence)
		q.finish(result, nil)
	}
}

// finishReads finishes the reads whose index is applied.
func (r *Replica) finishReads() {
	unfinished := r.requests.confirmedReads[:0]
	for _, q := range r.requests.confirmedReads {
		if q.index > r.voter.Applied() {
			unfinished = append(unfinished, q)
			continue
		}
		q.finish(nil, nil)
	}
	clear(r.requests.confirmedReads[len(unfinished):])
	r.requests.confirmedReads = unfinished
}

// expireRequests refuses the requests whose confirmation is overdue.
func (r *Replica) expireRequests(now time.Duration) {
	r.requests.waiting = refuseOverdue(r.requests.waiting, now)
	r.requests.confirming = refuseOverdue(r.requests.confirming, now)
	if len(r.requests.confirming) == 0 {
		r.requests.confirmID = 0
	}
}

// refuseOverdue refuses the overdue requests and returns the others. It reuses the slice.
func refuseOverdue(all []*request, now time.Duration) []*request {
	remaining := all[:0]
	for _, q := range all {
		if now <= q.deadline {
			remaining = append(remaining, q)
			continue
		}
		q.refuse()
	}
	clear(all[len(remaining):])
	return remaining
}

// loseLeadership ends all pending requests: proposed commands may still be executed, the others never will be.
func (r *Replica) loseLeadership() {
	err := r.notLeader()
	for _, q := range r.requests.proposed {
		q.finish(nil, ErrOutcomeUnknown)
	}
	for _, all := range [][]*request{r.requests.waiting, r.requests.confirming, r.requests.confirmedReads} {
		for _, q := range all {
			if q.read || q.withdraw() {
				q.finish(nil, err)
			}
		}
	}
	r.requests = requests{proposed: map[uint64]*request{}, lastConfirmID: r.requests.lastConfirmID, lastSequence: r.requests.lastSequence}
}

// entryID identifies a log entry by the process that proposed it (Replica.incarnation) and its number there.
type entryID struct{ Incarnation, Sequence uint64 }

const entryHeaderBytes = 16 // the encoded entryID

// errEntryHeader reports a log entry that is shorter than its entryID.
var errEntryHeader = errors.New("an entry without its head")

// encodeEntry returns a log entry's data: the ID, then the command.
func encodeEntry(id entryID, command []byte) []byte {
	raw := make([]byte, 0, entryHeaderBytes+len(command))
	raw = binary.BigEndian.AppendUint64(raw, id.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, id.Sequence)
	return append(raw, command...)
}

// decodeEntry is the inverse of encodeEntry.
func decodeEntry(raw []byte) (id entryID, command []byte, err error) {
	if len(raw) < entryHeaderBytes {
		return entryID{}, nil, errEntryHeader
	}
	return entryID{binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])}, raw[entryHeaderBytes:], nil
}
