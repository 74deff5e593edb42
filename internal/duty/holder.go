package duty

import (
	"math/rand/v2"
	"time"
)

// HolderConfig is an agent's side of a duty.
type HolderConfig struct {
	Agent  string
	Zone   string // of this agent
	Spec   Spec
	Clocks Clocks
	Act    time.Duration // that one act may take at the most; it doesn't begin later than this before the lease's end
	Round  time.Duration // within which an ask is answered as a rule; asked again after it
	Seed   uint64
}

// Stage is where an agent stands with a duty.
type Stage uint8

const (
	Idle      Stage = iota // it doesn't want it, or somebody else has it
	Asking                 // it has asked for it
	Holding                // it holds it, by its own clock
	Handing                // it gives it to another, and acts no more
	Releasing              // it lets go, and acts no more
	stages
)

var stageNames = [stages]string{"idle", "asking", "holding", "handing on", "releasing"}

func (s Stage) String() string {
	if s < stages {
		return stageNames[s]
	}
	return "stage ?"
}

// Holder decides for one agent and one duty. It asks, renews and lets go by the commands it returns; whoever drives it
// brings them to the seats and hands in what came back. It never believes that it holds the duty past its lease, by
// its own clock from before it asked.
type Holder struct {
	cfg   HolderConfig
	rng   *rand.Rand
	now   time.Duration
	want  bool
	stage Stage
	epoch Epoch
	until time.Duration // by its own clock; it may not act from then on
	state []byte
	acts  uint64
	said  bool   // that it can begin at once, in this life
	renew bool   // it asks to go on in its epoch, which the seats still hold for its own
	next  string // who was named to take over, and whether that one is ready
	ready bool

	askAt  time.Duration // when it asks next
	sent   map[uint64]sentAsk
	lastID uint64
	fails  int
	news   []Change
}

// sentAsk is a command on its way.
type sentAsk struct {
	kind Kind
	at   time.Duration // before it was sent
}

const sentMost = 16

// Change is something that the agent has to act upon.
type Change struct {
	Began  bool // it holds the duty, in Epoch; State is what was done so far
	Ended  bool // it doesn't any more
	Epoch  Epoch
	State  []byte
	Reason string
}

// NewHolder is that of an agent that doesn't want the duty yet. firstID is drawn anew for each life.
func NewHolder(cfg HolderConfig, firstID uint64, now time.Duration) *Holder {
	return &Holder{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 33)), now: now, sent: map[uint64]sentAsk{}, lastID: firstID}
}

// Want says whether the agent is there for the duty.
func (h *Holder) Want(now time.Duration, want bool) {
	h.now = max(h.now, now)
	if h.want = want; want && h.askAt == 0 {
		h.askAt = h.now + h.wait(0)
	}
}

// wait is before a claim: agents that hold little and are where the duty is wanted come first, and not all at once.
func (h *Holder) wait(holds int) time.Duration {
	rank := float64(holds)
	if h.cfg.Spec.Zone != "" && h.cfg.Zone != h.cfg.Spec.Zone {
		rank++
	}
	return time.Duration((rank + h.rng.Float64()) * float64(h.cfg.Round))
}

// command makes one, and remembers when.
func (h *Holder) command(k Kind) Command {
	if len(h.sent) >= sentMost {
		oldest := uint64(0)
		for id := range h.sent {
			if oldest == 0 || id < oldest {
				oldest = id
			}
		}
		delete(h.sent, oldest)
	}
	h.lastID++
	h.sent[h.lastID] = sentAsk{k, h.now}
	return Command{ID: h.lastID, Kind: k, Duty: h.cfg.Spec.Name, Agent: h.cfg.Agent, Epoch: h.epoch}
}

// Seen takes how the duty stands, as some answer told it: who holds it, who is named next, and how many duties this
// agent holds beside it.
func (h *Holder) Seen(now time.Duration, a *Answer, holds int) (out []Command) {
	h.now = max(h.now, now)
	h.check()
	if a.Epoch < h.epoch {
		return nil // of before
	}
	h.next, h.ready = a.Next, a.Ready
	if a.Next != h.cfg.Agent && a.Holder != h.cfg.Agent {
		h.said = false
	}
	switch {
	case h.stage == Holding && (a.Holder != h.cfg.Agent || a.Epoch != h.epoch):
		h.end("another holds it")
	case h.stage == Holding && a.Next != "" && a.Ready:
		out = append(out, h.handOn())
	case h.stage == Idle && h.want && a.Next == h.cfg.Agent && !a.Ready:
		h.said = true
		out = append(out, h.command(Prepare))
	case h.stage == Idle && h.want && h.said && a.Holder == h.cfg.Agent && a.Epoch > h.epoch:
		// It was handed on to this agent, which can't know since when: it renews before it acts. What an earlier life
		// of it held runs out: its acts may still be on their way.
		h.said = false
		h.epoch, h.state, h.acts = a.Epoch, a.State, a.Acts
		h.stage, h.renew = Asking, true
		out = append(out, h.command(Renew))
	case h.stage == Idle && h.want && a.Holder == h.cfg.Agent && a.Epoch == h.epoch:
		// Its lease ran out here, and nobody has ended it there: nobody else has held it, and it may go on.
		h.stage, h.renew = Asking, true
		out = append(out, h.command(Renew))
		h.again()
	case h.stage == Idle && h.want && a.Holder == "" && h.askAt == 0:
		h.askAt = h.now + h.wait(holds)
	case h.stage == Idle && a.Holder != "":
		h.askAt = 0 // until it is seen to be free
	}
	return out
}

// handOn gives the duty to the one that is ready: from here on this agent acts no more.
func (h *Holder) handOn() Command {
	c := h.command(HandOn)
	h.stage = Handing
	h.news = append(h.news, Change{Ended: true, Epoch: h.epoch, Reason: "handed on"})
	return c
}

// Tick returns what is to be asked now.
func (h *Holder) Tick(now time.Duration) (out []Command) {
	h.now = max(h.now, now)
	h.check()
	if h.askAt == 0 || h.now < h.askAt {
		return nil
	}
	switch h.stage {
	case Idle, Asking:
		if !h.want {
			h.askAt = 0
			return nil
		}
		kind := Claim
		if h.stage == Asking && h.renew {
			kind = Renew
		}
		h.stage = Asking
		out = append(out, h.command(kind))
		h.again()
	case Holding:
		out = append(out, h.command(Renew))
		h.askAt = h.now + h.cfg.Clocks.mine(h.cfg.Spec.Lease)/3
	case Handing:
		out = append(out, h.command(HandOn))
		h.again()
	case Releasing:
		out = append(out, h.command(Release))
		h.again()
	}
	return out
}

// again is when to ask once more, after an exponential, jittered wait.
func (h *Holder) again() {
	h.fails = min(h.fails+1, 5)
	h.askAt = h.now + time.Duration((0.5+h.rng.Float64())*float64(h.cfg.Round)*float64(int(1)<<h.fails)/2)
}

// check ends what has run out. Whoever was stopped finds that out here, before it does anything more.
func (h *Holder) check() {
	if (h.stage == Holding || h.stage == Handing || h.stage == Releasing) && h.now >= h.until {
		was := h.stage
		h.stage, h.until, h.askAt, h.fails = Idle, 0, 0, 0
		if was == Holding {
			h.news = append(h.news, Change{Ended: true, Epoch: h.epoch, Reason: "its lease has run out"})
		}
		if h.want {
			h.askAt = h.now + h.wait(1)
		}
	}
}

func (h *Holder) end(reason string) {
	h.news = append(h.news, Change{Ended: true, Epoch: h.epoch, Reason: reason})
	h.stage, h.until, h.askAt, h.fails = Idle, 0, 0, 0
	if h.want {
		h.askAt = h.now + h.wait(1)
	}
}

// Answer takes what came of a command of this agent.
func (h *Holder) Answer(now time.Duration, a *Answer) {
	h.now = max(h.now, now)
	h.check()
	ask, known := h.sent[a.ID]
	if !known {
		return
	}
	delete(h.sent, a.ID)
	if a.Epoch < h.epoch {
		return
	}
	mine := a.Holder == h.cfg.Agent && a.Why == Done
	h.next, h.ready = a.Next, a.Ready
	switch ask.kind {
	case Claim, Renew, Tell:
		if a.Why == Stale { // the state is another's by now, or the command came after a later one
			h.state, h.acts = a.State, a.Acts
			return
		}
		if !mine {
			h.lost(a)
			return
		}
		until := ask.at + h.cfg.Clocks.mine(a.Lease)
		switch h.stage {
		case Asking, Idle:
			if until <= h.now || !h.want && ask.kind == Claim {
				// Too late to be of use, or no longer wanted: let go at the next turn.
				h.epoch, h.until, h.stage, h.askAt = a.Epoch, max(until, h.now+1), Releasing, h.now
				return
			}
			h.stage, h.epoch, h.until, h.fails, h.renew = Holding, a.Epoch, until, 0, false
			h.state, h.acts = a.State, a.Acts
			h.askAt = ask.at + h.cfg.Clocks.mine(a.Lease)/3
			h.news = append(h.news, Change{Began: true, Epoch: a.Epoch, State: a.State})
		case Holding:
			if a.Epoch == h.epoch {
				h.until, h.fails = max(h.until, until), 0
				if a.Acts >= h.acts {
					h.state, h.acts = a.State, a.Acts
				}
			}
		}
	case HandOn:
		switch {
		case a.Why == Done:
			h.stage, h.until, h.askAt, h.fails = Idle, 0, 0, 0
		case a.Why == NotReady || a.Why == NotNamed: // it can't be given: it runs out by itself, or is let go
			h.stage, h.askAt = Releasing, h.now
		default:
			h.lost(a)
		}
	case Release:
		h.stage, h.until, h.askAt, h.fails = Idle, 0, 0, 0
		if h.want {
			h.askAt = h.now + h.wait(2)
		}
	}
}

// lost takes that the duty is not this agent's.
func (h *Holder) lost(a *Answer) {
	switch h.stage {
	case Holding:
		h.end("the seats say so: " + a.Why.String())
	case Asking, Handing, Releasing:
		h.stage, h.until, h.askAt, h.fails, h.renew = Idle, 0, 0, 0, false
	}
}

// Release has the agent let go, at once.
func (h *Holder) Release(now time.Duration) {
	h.now = max(h.now, now)
	h.check()
	if h.stage == Holding {
		h.news = append(h.news, Change{Ended: true, Epoch: h.epoch, Reason: "released"})
		h.stage, h.askAt = Releasing, h.now
	}
}

// Permit lets one act go ahead.
type Permit struct {
	Epoch Epoch
	Till  time.Duration // by the holder's clock: past it the act must not go on
}

// May is asked right before each act. It is a no from Act before the lease's end on.
func (h *Holder) May(now time.Duration) (Permit, bool) {
	h.now = max(h.now, now)
	h.check()
	if h.stage != Holding || h.now+h.cfg.Act >= h.until {
		return Permit{}, false
	}
	return Permit{h.epoch, h.now + h.cfg.Act}, true
}

// Tell is the command that has the seats keep what was done so far; false: it doesn't hold the duty.
func (h *Holder) Tell(now time.Duration, state []byte) (Command, bool) {
	if _, ok := h.May(now); !ok || len(state) > StateMost {
		return Command{}, false
	}
	c := h.command(Tell)
	c.State, c.Acts = state, h.acts
	return c, true
}

// Changes hands over what the agent has to act upon.
func (h *Holder) Changes() []Change {
	c := h.news
	h.news = nil
	return c
}

// Expects reports whether the duty is about to be handed on to this agent: it had best look often.
func (h *Holder) Expects() bool { return h.said && h.stage == Idle }

// Stage is where it stands; Epoch of its last holding.
func (h *Holder) Stage() Stage { return h.stage }

// Epoch is that of its last holding.
func (h *Holder) Epoch() Epoch { return h.epoch }

// Until is when it may act no more.
func (h *Holder) Until() time.Duration { return h.until }

// Wake is when Tick wants to be called; 0: not by time.
func (h *Holder) Wake() time.Duration {
	at := h.askAt
	if h.until > 0 && (at == 0 || h.until < at) {
		at = h.until
	}
	return at
}

// State is what was done so far, as the seats last said that they keep it.
func (h *Holder) State() []byte { return h.state }
