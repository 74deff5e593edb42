package duty

import (
	"math/rand/v2"
	"time"
)

// HolderConfig configures an agent's side of one duty.
type HolderConfig struct {
	Agent      string        // name of this agent
	Zone       string        // zone of this agent
	Spec       Spec          // the duty's definition
	Clocks     Clocks        // bound of the clocks' drift
	MaxActTime time.Duration // maximum duration of one action; none starts within this time of the lease's end
	RoundTrip  time.Duration // usual time from a command to its answer; a command is retried after it
	Seed       uint64        // for the jitter of delays
}

// Stage is an agent's state with regard to a duty.
type Stage uint8

const (
	Idle      Stage = iota // the agent doesn't want the duty, or another agent holds it
	Asking                 // a claim or a renewal has been sent
	Holding                // the agent holds the duty, by its own clock
	HandingOn              // the agent is handing the duty on, and performs no more actions
	Releasing              // the agent is releasing the duty, and performs no more actions
	stageCount
)

var stageNames = [stageCount]string{"idle", "asking", "holding", "handing on", "releasing"}

func (s Stage) String() string {
	if s < stageCount {
		return stageNames[s]
	}
	return "stage ?"
}

// Holder makes the decisions of one agent about one duty. It returns the commands that claim, renew and
// release the duty; the caller delivers them to the voters and passes in the answers. By its own clock, and
// counted from before it sent the command, it never considers the duty held past the end of its lease.
type Holder struct {
	cfg            HolderConfig
	rng            *rand.Rand
	now            time.Duration // the latest time passed in
	wanted         bool          // the agent is available for the duty
	stage          Stage
	epoch          Epoch         // epoch of the agent's current or last holding
	leaseEnd       time.Duration // on the agent's clock; no action is allowed from then on; 0: no lease
	state          []byte        // the duty's state as the voters last confirmed that they store it
	acts           uint64        // Duty.Acts of that state: number of saves over all holders
	prepared       bool          // a Prepare command was sent since this holder was created
	renewing       bool          // the pending request renews the current epoch, which the voters still assign to this agent
	successor      string        // agent that is named to take over; empty: none
	successorReady bool          // that agent can begin at once

	nextSendAt time.Duration             // when the next command is due; 0: none is
	pending    map[uint64]pendingCommand // commands without an answer yet, by command ID
	lastID     uint64                    // ID of the last command sent
	failures   int                       // retries scheduled since the last success, at most 5: each doubles the next delay
	changes    []Change                  // beginnings and ends of holdings, not taken by TakeChanges yet
}

// pendingCommand is a command whose answer has not arrived yet.
type pendingCommand struct {
	kind   Kind
	sentAt time.Duration // the time before the command was sent
}

const maxPending = 16 // bound of Holder.pending

// Change is a beginning or an end of holding a duty, which the agent has to react to.
type Change struct {
	Began  bool // the agent holds the duty in Epoch
	Ended  bool // the agent no longer holds the duty
	Epoch  Epoch
	State  []byte // for Began: what earlier holders saved
	Reason string // for Ended: why
}

// NewHolder returns the holder of an agent that doesn't want the duty yet. firstID is drawn at random each
// time an agent starts, so that its command IDs don't repeat.
func NewHolder(cfg HolderConfig, firstID uint64, now time.Duration) *Holder {
	return &Holder{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 33)), now: now, pending: map[uint64]pendingCommand{}, lastID: firstID}
}

// SetWanted sets whether the agent is available for the duty.
func (h *Holder) SetWanted(now time.Duration, want bool) {
	h.now = max(h.now, now)
	if h.wanted = want; want && h.nextSendAt == 0 {
		h.nextSendAt = h.now + h.claimDelay(0)
	}
}

// claimDelay returns the delay before a claim: a random part of RoundTrip, one RoundTrip more for each duty
// that the agent holds, and one more if it isn't in the duty's preferred zone. So agents with few duties
// claim first, and not all at once.
func (h *Holder) claimDelay(holds int) time.Duration {
	rank := float64(holds)
	if h.cfg.Spec.Zone != "" && h.cfg.Zone != h.cfg.Spec.Zone {
		rank++
	}
	return time.Duration((rank + h.rng.Float64()) * float64(h.cfg.RoundTrip))
}

// newCommand creates a command and records when it was sent. It drops the oldest pending command beyond
// maxPending.
func (h *Holder) newCommand(k Kind) Command {
	if len(h.pending) >= maxPending {
		oldest := uint64(0)
		for id := range h.pending {
			if oldest == 0 || id < oldest {
				oldest = id
			}
		}
		delete(h.pending, oldest)
	}
	h.lastID++
	h.pending[h.lastID] = pendingCommand{k, h.now}
	return Command{ID: h.lastID, Kind: k, Duty: h.cfg.Spec.Name, Agent: h.cfg.Agent, Epoch: h.epoch}
}

// Observe handles the state of the duty as a voter's table reports it (its holder, its named successor), and
// returns the commands that follow from it. holds is the number of duties that this agent holds.
func (h *Holder) Observe(now time.Duration, a *Answer, holds int) (out []Command) {
	h.now = max(h.now, now)
	h.checkLease()
	if a.Epoch < h.epoch {
		return nil // the table is older than what this agent knows
	}
	h.successor, h.successorReady = a.Next, a.Ready
	if a.Next != h.cfg.Agent && a.Holder != h.cfg.Agent {
		h.prepared = false
	}
	switch {
	case h.stage == Holding && (a.Holder != h.cfg.Agent || a.Epoch != h.epoch):
		h.endHolding("another holds it")
	case h.stage == Holding && a.Next != "" && a.Ready:
		out = append(out, h.handOn())
	case h.stage == Idle && h.wanted && a.Next == h.cfg.Agent && !a.Ready:
		h.prepared = true
		out = append(out, h.newCommand(Prepare))
	case h.stage == Idle && h.wanted && h.prepared && a.Holder == h.cfg.Agent && a.Epoch > h.epoch:
		// The duty was handed on to this agent, which can't know when the lease began: it renews the lease
		// before it acts. A holding of this agent from before a restart is left to expire, since its actions
		// may still be on their way.
		h.prepared = false
		h.epoch, h.state, h.acts = a.Epoch, a.State, a.Acts
		h.stage, h.renewing = Asking, true
		out = append(out, h.newCommand(Renew))
	case h.stage == Idle && h.wanted && a.Holder == h.cfg.Agent && a.Epoch == h.epoch:
		// The lease ran out on this agent's clock, but the voters have not ended it: nobody else has held the
		// duty since, and the agent may continue in the same epoch.
		h.stage, h.renewing = Asking, true
		out = append(out, h.newCommand(Renew))
		h.scheduleRetry()
	case h.stage == Idle && h.wanted && a.Holder == "" && h.nextSendAt == 0:
		h.nextSendAt = h.now + h.claimDelay(holds)
	case h.stage == Idle && a.Holder != "":
		h.nextSendAt = 0 // no claim until the duty is seen to be free
	}
	return out
}

// handOn hands the duty on to the successor that is ready; this agent performs no more actions from here on.
func (h *Holder) handOn() Command {
	c := h.newCommand(HandOn)
	h.stage = HandingOn
	h.changes = append(h.changes, Change{Ended: true, Epoch: h.epoch, Reason: "handed on"})
	return c
}

// Tick returns the commands that are due now.
func (h *Holder) Tick(now time.Duration) (out []Command) {
	h.now = max(h.now, now)
	h.checkLease()
	if h.nextSendAt == 0 || h.now < h.nextSendAt {
		return nil
	}
	switch h.stage {
	case Idle, Asking:
		if !h.wanted {
			h.nextSendAt = 0
			return nil
		}
		kind := Claim
		if h.stage == Asking && h.renewing {
			kind = Renew
		}
		h.stage = Asking
		out = append(out, h.newCommand(kind))
		h.scheduleRetry()
	case Holding:
		out = append(out, h.newCommand(Renew))
		h.nextSendAt = h.now + h.cfg.Clocks.lowerBound(h.cfg.Spec.Lease)/3 // the lease is renewed at each third
	case HandingOn:
		out = append(out, h.newCommand(HandOn))
		h.scheduleRetry()
	case Releasing:
		out = append(out, h.newCommand(Release))
		h.scheduleRetry()
	}
	return out
}

// scheduleRetry sets the time of the next attempt: after RoundTrip times a random factor of 0.5 to 1.5, doubled
// with each further retry since the last success, four times at most.
func (h *Holder) scheduleRetry() {
	h.failures = min(h.failures+1, 5)
	h.nextSendAt = h.now + time.Duration((0.5+h.rng.Float64())*float64(h.cfg.RoundTrip)*float64(int(1)<<h.failures)/2)
}

// checkLease ends a holding whose lease has run out. An agent whose process was paused notices the expiry
// here, before it does anything else.
func (h *Holder) checkLease() {
	if (h.stage == Holding || h.stage == HandingOn || h.stage == Releasing) && h.now >= h.leaseEnd {
		previous := h.stage
		h.stage, h.leaseEnd, h.nextSendAt, h.failures = Idle, 0, 0, 0
		if previous == Holding {
			h.changes = append(h.changes, Change{Ended: true, Epoch: h.epoch, Reason: "its lease has run out"})
		}
		if h.wanted {
			h.nextSendAt = h.now + h.claimDelay(1) // 1: as if it held a duty, so that other agents claim first
		}
	}
}

// endHolding ends a holding at once, since the agent may no longer act, and schedules a claim if the duty is
// wanted.
func (h *Holder) endHolding(reason string) {
	h.changes = append(h.changes, Change{Ended: true, Epoch: h.epoch, Reason: reason})
	h.stage, h.leaseEnd, h.nextSendAt, h.failures = Idle, 0, 0, 0
	if h.wanted {
		h.nextSendAt = h.now + h.claimDelay(1)
	}
}

// HandleAnswer handles the answer to a command of this agent.
func (h *Holder) HandleAnswer(now time.Duration, a *Answer) {
	h.now = max(h.now, now)
	h.checkLease()
	command, known := h.pending[a.ID]
	if !known {
		return
	}
	delete(h.pending, a.ID)
	if a.Epoch < h.epoch {
		return
	}
	holds := a.Holder == h.cfg.Agent && a.Why == Done
	h.successor, h.successorReady = a.Next, a.Ready
	switch command.kind {
	case Claim, Renew, SaveState:
		if a.Why == Stale { // another agent holds the state by now, or the command arrived after a later one
			h.state, h.acts = a.State, a.Acts
			return
		}
		if !holds {
			h.loseDuty(a)
			return
		}
		leaseEnd := command.sentAt + h.cfg.Clocks.lowerBound(a.Lease)
		switch h.stage {
		case Asking, Idle:
			if leaseEnd <= h.now || !h.wanted && command.kind == Claim {
				// Too late to be of use, or no longer wanted: release the duty at the next tick.
				h.epoch, h.leaseEnd, h.stage, h.nextSendAt = a.Epoch, max(leaseEnd, h.now+1), Releasing, h.now
				return
			}
			h.stage, h.epoch, h.leaseEnd, h.failures, h.renewing = Holding, a.Epoch, leaseEnd, 0, false
			h.state, h.acts = a.State, a.Acts
			h.nextSendAt = command.sentAt + h.cfg.Clocks.lowerBound(a.Lease)/3
			h.changes = append(h.changes, Change{Began: true, Epoch: a.Epoch, State: a.State})
		case Holding:
			if a.Epoch == h.epoch {
				h.leaseEnd, h.failures = max(h.leaseEnd, leaseEnd), 0
				if a.Acts >= h.acts {
					h.state, h.acts = a.State, a.Acts
				}
			}
		}
	case HandOn:
		switch {
		case a.Why == Done:
			h.stage, h.leaseEnd, h.nextSendAt, h.failures = Idle, 0, 0, 0
		case a.Why == NotReady || a.Why == NotNamed: // the duty can't be handed on: it is released, or expires
			h.stage, h.nextSendAt = Releasing, h.now
		default:
			h.loseDuty(a)
		}
	case Release:
		h.stage, h.leaseEnd, h.nextSendAt, h.failures = Idle, 0, 0, 0
		if h.wanted {
			h.nextSendAt = h.now + h.claimDelay(2)
		}
	}
}

// loseDuty ends the holding, or the attempt to get or give up the duty, after an answer by which this agent is
// not the holder.
func (h *Holder) loseDuty(a *Answer) {
	switch h.stage {
	case Holding:
		h.endHolding("the seats say so: " + a.Why.String())
	case Asking, HandingOn, Releasing:
		h.stage, h.leaseEnd, h.nextSendAt, h.failures, h.renewing = Idle, 0, 0, 0, false
	}
}

// Release ends the agent's actions at once and makes the next Tick send the command that gives the duty up.
func (h *Holder) Release(now time.Duration) {
	h.now = max(h.now, now)
	h.checkLease()
	if h.stage == Holding {
		h.changes = append(h.changes, Change{Ended: true, Epoch: h.epoch, Reason: "released"})
		h.stage, h.nextSendAt = Releasing, h.now
	}
}

// Permit allows one action of the duty's holder.
type Permit struct {
	Epoch Epoch         // to be passed to the Fence of the action's target
	Until time.Duration // on the holder's clock; the action must not continue past it
}

// MayAct reports whether an action may start now, and is called right before each action. It reports false
// once less than HolderConfig.MaxActTime of the lease remains.
func (h *Holder) MayAct(now time.Duration) (Permit, bool) {
	h.now = max(h.now, now)
	h.checkLease()
	if h.stage != Holding || h.now+h.cfg.MaxActTime >= h.leaseEnd {
		return Permit{}, false
	}
	return Permit{h.epoch, h.now + h.cfg.MaxActTime}, true
}

// SaveState returns the command that makes the voters store the duty's state; false: the agent doesn't hold
// the duty, or the state is too large.
func (h *Holder) SaveState(now time.Duration, state []byte) (Command, bool) {
	if _, ok := h.MayAct(now); !ok || len(state) > MaxStateBytes {
		return Command{}, false
	}
	c := h.newCommand(SaveState)
	c.State, c.Acts = state, h.acts
	return c, true
}

// TakeChanges returns the changes since the last call.
func (h *Holder) TakeChanges() []Change {
	c := h.changes
	h.changes = nil
	return c
}

// ExpectsHandOn reports whether the duty is about to be handed on to this agent, in which case its state
// should be polled often.
func (h *Holder) ExpectsHandOn() bool { return h.prepared && h.stage == Idle }

// Stage returns the agent's current stage.
func (h *Holder) Stage() Stage { return h.stage }

// Epoch returns the epoch of the agent's current or last holding.
func (h *Holder) Epoch() Epoch { return h.epoch }

// LeaseEnd returns the time on the agent's clock from which it may not act.
func (h *Holder) LeaseEnd() time.Duration { return h.leaseEnd }

// NextTick returns the time at which Tick should be called next; 0 means that no call is due.
func (h *Holder) NextTick() time.Duration {
	at := h.nextSendAt
	if h.leaseEnd > 0 && (at == 0 || h.leaseEnd < at) {
		at = h.leaseEnd
	}
	return at
}

// State returns the duty's state as the voters last confirmed that they store it.
func (h *Holder) State() []byte { return h.state }
