package calltree

import (
	"time"

	"lemonrail/balance"
)

// answerMarginHops is the time between the deadline of a backend's child calls and its own deadline, in one-way network
// delays.
const answerMarginHops = 4

// receive handles an attempt that reaches its backend: it is rejected as full, executed or queued.
func (s *simulation) receive(a *attempt) {
	t := a.server
	if a.closed && s.config.Cancel { // withdrawn in transit
		return
	}
	if len(t.waiting) >= s.config.Queue && t.busy >= s.config.Cores {
		s.reject(a, outcome{result: balance.Full, load: t.load()})
		return
	}
	run := &execution{attempt: a, server: t, work: s.drawWork()}
	a.run = run
	t.outstanding++
	n := a.call.node
	run.repeated = n.executions > 0
	n.executions++
	s.statistics.countExecution(run)
	if s.leafFails(n) {
		s.answer(run, outcome{result: balance.Errored})
		return
	}
	if t.busy < s.config.Cores {
		s.startWork(run)
		return
	}
	t.waiting = append(t.waiting, run)
}

// drawWork draws the core time of an execution.
func (s *simulation) drawWork() time.Duration {
	return max(1, time.Duration(s.work.ExpFloat64()*float64(s.config.Work)))
}

// leafFails reports whether an execution fails immediately because of a leaf fault.
func (s *simulation) leafFails(n *node) bool {
	if len(n.children) > 0 || !s.faultsActive() {
		return false
	}
	switch s.config.Fault {
	case FaultLeafAttempts:
		return s.faults.Float64() < s.config.FailShare
	case FaultLeafCalls:
		return n.alwaysFails
	}
	return false
}

// startWork starts an execution on a core.
func (s *simulation) startWork(run *execution) {
	run.server.busy++
	s.schedule(run.work, event{kind: eventWorkDone, run: run})
}

// finishWork ends the core time of an execution, starts the next queued one and makes the child calls.
func (s *simulation) finishWork(run *execution) {
	t := run.server
	t.busy--
	s.statistics.countCoreTime(run, s.now)
	s.startNext(t)
	if run.cancelled || run.answered {
		return
	}
	if s.faultActiveAt(t) && s.config.Fault == FaultSlow {
		late := max(0, run.attempt.call.deadline+slowAnswerDelay-s.now)
		s.answerAfter(run, outcome{result: balance.OK}, late)
		return
	}
	s.callChildren(run)
}

// startNext starts the first queued execution that is neither cancelled nor past its deadline, and drops those before it.
func (s *simulation) startNext(t *server) {
	for len(t.waiting) > 0 {
		run := t.waiting[0]
		t.waiting = t.waiting[1:]
		switch {
		case run.cancelled:
		case s.now >= run.attempt.call.deadline:
			s.answer(run, outcome{result: balance.Errored})
		default:
			s.startWork(run)
			return
		}
	}
}

// callChildren starts all child calls of an execution, with a deadline that leaves the backend time to answer.
func (s *simulation) callChildren(run *execution) {
	c := run.attempt.call
	n := c.node
	deadline := c.deadline - answerMarginHops*s.config.Network
	if len(n.children) == 0 {
		s.answer(run, s.servedOutcome())
		return
	}
	if s.now >= deadline {
		s.answer(run, outcome{result: balance.Errored})
		return
	}
	run.pending = len(n.children)
	for _, child := range n.children {
		a := run.server.agents[s.agentIndex(run.server.service, child.service)]
		run.children = append(run.children, s.startCall(a, child, c.try, run, deadline))
	}
}

// childEnded handles the end of a child call. It answers the execution when all children were served or one was not.
func (s *simulation) childEnded(run *execution, child *call) {
	run.pending--
	if run.answered || run.cancelled {
		return
	}
	if child.ending != endedServed {
		s.answer(run, outcome{result: balance.Errored, marked: s.config.DontRetryMark})
		if s.config.Cancel {
			s.abandonChildren(run)
		}
		return
	}
	if run.pending == 0 {
		s.answer(run, s.servedOutcome())
	}
}

// servedOutcome returns the outcome of an execution whose work and children are done; under FaultAnswers it may be an error.
func (s *simulation) servedOutcome() outcome {
	if s.config.Fault == FaultAnswers && s.faultsActive() && s.faults.Float64() < s.config.FailShare {
		return outcome{result: balance.Errored}
	}
	return outcome{result: balance.OK}
}

// answer sends the outcome of an execution back to its agent.
func (s *simulation) answer(run *execution, o outcome) { s.answerAfter(run, o, 0) }

// answerAfter sends the outcome of an execution back after a wait.
func (s *simulation) answerAfter(run *execution, o outcome, wait time.Duration) {
	run.answered = true
	o.load = run.server.load()
	run.server.outstanding--
	s.schedule(wait+s.config.Network, event{kind: eventOutcome, attempt: run.attempt, outcome: o})
}

// reject sends the outcome of an attempt that the backend rejected.
func (s *simulation) reject(a *attempt, o outcome) {
	s.schedule(s.config.Network, event{kind: eventOutcome, attempt: a, outcome: o})
}

// cancelExecution stops an execution whose caller no longer waits for it.
func (s *simulation) cancelExecution(run *execution) {
	if run.answered || run.cancelled {
		return
	}
	run.cancelled = true
	run.server.outstanding--
	s.abandonChildren(run)
}

// abandonChildren abandons the open child calls of an execution.
func (s *simulation) abandonChildren(run *execution) {
	for _, c := range run.children {
		if c.ended {
			continue
		}
		s.step(c.agent, balance.Abandoned{Request: c.id})
		s.endCall(c, endedAbandoned)
		s.endOpenAttempts(c, balance.Cancelled)
		s.forget(c)
	}
}

// load returns the load report of a backend.
func (t *server) load() balance.Load {
	l := balance.NoLoad()
	l.Valid = true
	l.Outstanding = float64(t.outstanding)
	l.Queue = float64(len(t.waiting))
	return l
}
