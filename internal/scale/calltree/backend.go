package calltree

import (
	"time"

	"lemonrail/balance"
)

// answerMargin is how many network ways before its own deadline a backend has its children end.
const answerMargin = 4

// receive takes an attempt at its backend.
func (s *simulation) receive(a *attempt) {
	t := a.server
	if a.closed && s.c.Cancel { // withdrawn on its way
		return
	}
	if len(t.waiting) >= s.c.Queue && t.busy >= s.c.Cores {
		s.reply(a, outcome{result: balance.Full, load: t.load()})
		return
	}
	run := &execution{attempt: a, server: t, work: s.draw()}
	a.run = run
	t.held++
	n := a.call.node
	run.repeated = n.runs > 0
	n.runs++
	s.counting.executed(run)
	if s.leafFails(n) {
		s.answer(run, outcome{result: balance.Errored})
		return
	}
	if t.busy < s.c.Cores {
		s.workOn(run)
		return
	}
	t.waiting = append(t.waiting, run)
}

// draw is the work of an execution.
func (s *simulation) draw() time.Duration {
	return max(1, time.Duration(s.work.ExpFloat64()*float64(s.c.Work)))
}

// leafFails reports whether an execution fails at once.
func (s *simulation) leafFails(n *node) bool {
	if len(n.children) > 0 || !s.faulty() {
		return false
	}
	switch s.c.Fault {
	case FaultLeafAttempts:
		return s.faults.Float64() < s.c.FailShare
	case FaultLeafCalls:
		return n.poisoned
	}
	return false
}

// workOn puts an execution on a core.
func (s *simulation) workOn(run *execution) {
	run.server.busy++
	s.schedule(run.work, event{kind: eventDone, run: run})
}

// worked takes an execution off its core, has the next one begin, and goes on to the children.
func (s *simulation) worked(run *execution) {
	t := run.server
	t.busy--
	s.counting.worked(run, s.now)
	s.next(t)
	if run.gone || run.answered {
		return
	}
	if s.struck(t) && s.c.Fault == FaultSlow {
		late := max(0, run.attempt.call.deadline+pastDeadline-s.now)
		s.answerAfter(run, outcome{result: balance.OK}, late)
		return
	}
	s.callChildren(run)
}

// next takes the next execution that somebody may still wait for onto a core. What is past its deadline is dropped.
func (s *simulation) next(t *server) {
	for len(t.waiting) > 0 {
		run := t.waiting[0]
		t.waiting = t.waiting[1:]
		switch {
		case run.gone:
		case s.now >= run.attempt.call.deadline:
			s.answer(run, outcome{result: balance.Errored})
		default:
			s.workOn(run)
			return
		}
	}
}

// callChildren begins all the children of an execution. A backend leaves the time to answer in.
func (s *simulation) callChildren(run *execution) {
	c := run.attempt.call
	n := c.node
	deadline := c.deadline - answerMargin*s.c.Network
	if len(n.children) == 0 {
		s.answer(run, s.served())
		return
	}
	if s.now >= deadline {
		s.answer(run, outcome{result: balance.Errored})
		return
	}
	run.pending = len(n.children)
	for _, child := range n.children {
		a := run.server.agents[s.place(run.server.service, child.service)]
		run.children = append(run.children, s.begin(a, child, c.try, run, deadline))
	}
}

// childEnded answers an execution once its children have ended, or one has failed.
func (s *simulation) childEnded(run *execution, child *call) {
	run.pending--
	if run.answered || run.gone {
		return
	}
	if child.ending != endedServed {
		s.answer(run, outcome{result: balance.Errored, marked: s.c.DontRetryMark})
		if s.c.Cancel {
			s.abandonChildren(run)
		}
		return
	}
	if run.pending == 0 {
		s.answer(run, s.served())
	}
}

// served is the outcome of an execution whose work and children are done: an error where answers fail.
func (s *simulation) served() outcome {
	if s.c.Fault == FaultAnswers && s.faulty() && s.faults.Float64() < s.c.FailShare {
		return outcome{result: balance.Errored}
	}
	return outcome{result: balance.OK}
}

// answer sends an execution's outcome back.
func (s *simulation) answer(run *execution, o outcome) { s.answerAfter(run, o, 0) }

// answerAfter sends an execution's outcome back after a while.
func (s *simulation) answerAfter(run *execution, o outcome, wait time.Duration) {
	run.answered = true
	o.load = run.server.load()
	run.server.held--
	s.schedule(wait+s.c.Network, event{kind: eventOutcome, attempt: run.attempt, outcome: o})
}

// reply sends the outcome of an attempt that the backend did not take.
func (s *simulation) reply(a *attempt, o outcome) {
	s.schedule(s.c.Network, event{kind: eventOutcome, attempt: a, outcome: o})
}

// cancel has a backend learn that nobody waits for an execution.
func (s *simulation) cancel(run *execution) {
	if run.answered || run.gone {
		return
	}
	run.gone = true
	run.server.held--
	s.abandonChildren(run)
}

// abandonChildren gives up the calls that an execution still has out.
func (s *simulation) abandonChildren(run *execution) {
	for _, c := range run.children {
		if c.ended {
			continue
		}
		s.step(c.agent, balance.Abandoned{Request: c.id})
		s.end(c, endedGone)
		s.withdraw(c, balance.Cancelled)
		s.forget(c)
	}
}

// load is what a backend reports of itself.
func (t *server) load() balance.Load {
	l := balance.NoLoad()
	l.Valid = true
	l.Outstanding = float64(t.held)
	l.Queue = float64(len(t.waiting))
	return l
}
