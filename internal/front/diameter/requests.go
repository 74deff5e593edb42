package diameter

import (
	"fmt"
	"strings"
	"time"

	"lemonrail/balance"
	backend "lemonrail/internal/backend/diameter"
	"lemonrail/internal/connstate"
	"lemonrail/internal/core"
	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/relay"
)

// This file passes requests to the core and their answers to clients.

// relayRequest passes a request of that many bytes, which arrived at the given time, to the core, unless it is a resend or is refused here. Whether it is a resend is checked
// first: a request that may have run must not be refused for the server that it names.
func (c *conn) relayRequest(m *diameter.Message, bytes int, arrived time.Time) {
	f := c.front
	backendID, known := f.destination(m)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed { // Serve closes this connection, so an answer could not be sent
		return
	}
	key, class := requestKey(m), f.cfg.Rules.Classify(m)
	arrival := relay.Arrival{Key: key, From: relay.Waiter{Conn: c.id, HopByHop: m.HopByHop},
		Resent: m.Flags&diameter.FlagRetransmitted != 0, Effect: f.cfg.Rules.Classes[class].Effect, Bytes: bytes}
	verdict, kept := f.table.Arrive(arrival, f.now())
	switch verdict {
	case relay.Answered:
		c.enqueueLocal(withHopByHop(kept, m.HopByHop))
	case relay.Joined:
	case relay.MayHaveRun: // 3002 or 3004 would make the client try again
		c.answer(m, &diameter.Error{Result: diameter.UnableToComply, Text: "it may have run before, and its answer is not known"})
	case relay.Busy:
		c.refuseBusy(m, "too many requests in hand")
	case relay.New:
		switch {
		case !known:
			f.table.Complete(key, nil, false, f.now())
			c.answer(m, &diameter.Error{Result: diameter.UnableToDeliver, Text: "no server of that name is known"})
		case !f.queues.accepts(c.id):
			f.table.Complete(key, nil, false, f.now())
			c.refuseBusy(m, "too many answers are unread")
		default:
			f.startCall(m, key, class, backendID, c.name, arrived)
		}
	}
}

// refuseBusy answers a request that has not been passed on with DIAMETER_TOO_BUSY. The caller holds f.mu.
func (c *conn) refuseBusy(m *diameter.Message, why string) {
	f := c.front
	f.busyCount++
	f.reporter.Record(true, f.now())
	f.pacer.recordRefusal(&c.pace, f.now())
	if raw, err := f.cfg.Rules.LocalAnswer(m, diameter.TooBusy, why).Append(nil); err == nil {
		c.writes.push(f.addReport(m, raw), true)
	}
}

// requestKey returns the identity of a request.
func requestKey(m *diameter.Message) relay.RequestKey {
	host := ""
	if a := diameter.Find(m.AVPs, diameter.CodeOriginHost, 0); a != nil {
		host, _ = a.Identity()
	}
	return relay.RequestKey{Host: strings.ToLower(host), EndToEnd: m.EndToEnd}
}

// destination returns the ID of the backend that a request is for, empty for any. known is false if it names a server that
// is not known.
func (f *Front) destination(m *diameter.Message) (backendID string, known bool) {
	name := f.cfg.Rules.DestinationHost(m)
	if name == "" {
		return "", true
	}
	return f.cfg.BackendByIdentity(name)
}

// startCall passes a new request from a client to the core, which arrived at the given time. The caller holds f.mu.
func (f *Front) startCall(m *diameter.Message, key relay.RequestKey, class int, backendID, client string, arrived time.Time) {
	f.callCount++
	call := &core.Call{
		// A new ID for each call: a client may resend a refused request with the same identifiers.
		Event:    balance.Request{ID: fmt.Sprintf("diameter-%d", f.callCount), Class: f.cfg.ClassOffset + class, OnlyBackend: backendID},
		Request:  &backend.Request{Message: m, From: client},
		Arrived:  arrived,
		Deadline: arrived.Add(f.cfg.Rules.Classes[class].Deadline),
		Reply:    make(chan core.Answer, 1),
		// Nobody waits for further attempts once the client's connection has closed. One that is out goes on: its
		// answer is kept for the client's resend.
		HasClientLeft: func() bool { return f.isAbandoned(key) },
	}
	if f.cfg.Rules.Classes[class].Effect != balance.Safe {
		call.ClaimKey = fmt.Sprintf("diameter %s %d", key.Host, key.EndToEnd)
	}
	f.wait.Go(func() {
		f.loop.Post(func() { f.loop.Arrived(call) })
		var a core.Answer
		select {
		case a = <-call.Reply:
		case <-f.loop.Done:
			select { // the loop may have answered before it ended
			case a = <-call.Reply:
			default:
				a.Kind = core.Failed
			}
		}
		f.complete(key, m, f.cfg.Rules.Classes[class].Effect, a)
	})
}

// isAbandoned reports whether nobody waits for the answer to a request any more. It must be called without f.mu.
func (f *Front) isAbandoned(key relay.RequestKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.table.Waiters(key) {
		// The end of a connection may not have been read yet if the process was short of processor time.
		if c := f.conns[w.Conn]; c != nil && !connstate.PeerClosed(c.Conn) {
			return false
		}
	}
	return true
}

// answersResends reports whether resends of a request get its final answer; otherwise they are new requests.
func answersResends(a core.Answer, effect balance.Effect) bool {
	switch a.Kind {
	case core.Refused: // nothing ran
		return false
	case core.Abandoned: // it ended since nobody waited
		return !a.NeverRan && effect != balance.Safe
	}
	return true
}

// complete sends the final answer of a request to all its waiters.
func (f *Front) complete(origin relay.RequestKey, m *diameter.Message, effect balance.Effect, a core.Answer) {
	var raw []byte
	switch a.Kind {
	case core.Served:
		raw = a.Payload.([]byte)
	case core.Refused: // nothing ran
		raw, _ = f.cfg.Rules.LocalAnswer(m, diameter.TooBusy, "no server has room").Append(nil)
	default: // the request may have run: 3002 (unable to deliver) would make the client try another agent
		raw, _ = f.cfg.Rules.LocalAnswer(m, diameter.UnableToComply, "no server has answered").Append(nil)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reporter.Record(a.Kind == core.Refused, f.now())
	raw = f.addReport(m, raw)
	for _, w := range f.table.Complete(origin, raw, answersResends(a, effect), f.now()) {
		if c := f.conns[w.Conn]; c != nil {
			if a.Kind == core.Refused {
				f.pacer.recordRefusal(&c.pace, f.now())
			}
			c.enqueue(withHopByHop(raw, w.HopByHop))
		}
	}
}

// addReport adds the current overload report, if any, to an answer for a client that accepts reports. The
// caller holds f.mu.
func (f *Front) addReport(m *diameter.Message, raw []byte) []byte {
	if r, present := f.reporter.Report(f.now()); present && relay.AcceptsOverloadReports(m) {
		return relay.AppendReport(raw, r)
	}
	return raw
}

// withHopByHop returns a copy of an encoded answer with a waiter's Hop-by-Hop identifier.
func withHopByHop(raw []byte, hop uint32) []byte {
	out := append([]byte(nil), raw...)
	diameter.SetHopByHop(out, hop)
	return out
}
