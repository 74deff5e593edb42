package core

import (
	"sync"
	"time"
)

// Permit says whether an attempt may still be written. The loop revokes it when the client has left or has
// its answer, and when the backend no longer accepts requests; a Backend checks it before writing the first
// byte. Without it, an attempt that waited for a connection, or was moved from a stale kept-alive connection
// to another one, would be written although nobody waits for the answer any more or the backend drains.
//
// A nil Permit is never revoked.
type Permit struct {
	mu            sync.Mutex
	stage         stage
	revoked       bool
	clientLeft    bool        // revoked because the client has left
	writeDeadline time.Time   // when the last byte must have been written; zero: no limit
	hasClientLeft func() bool // reports whether the client has left; nil: not known
	interrupt     func()      // ends what the attempt waits for now; must not block
	interrupted   bool        // interrupt was called
}

// stage is how far the writing of an attempt has come.
type stage uint8

const (
	stageWaiting stage = iota // nothing has been written
	stageWriting              // the first byte may have been written
	stageWritten              // the last byte has been written
)

// NewPermit returns a permit for an attempt whose last byte must be written by writeDeadline; zero: no limit.
func NewPermit(writeDeadline time.Time) *Permit { return &Permit{writeDeadline: writeDeadline} }

// RevokeIf makes Begin revoke the permit if hasClientLeft reports true. Without this check, an attempt is
// written before the loop knows that the client has left: when the process was stopped or short of processor
// time, the timer of a retry may run before the end of the connection is read.
func (p *Permit) RevokeIf(hasClientLeft func() bool) *Permit {
	p.hasClientLeft = hasClientLeft
	return p
}

// BeginWait records that the attempt waits, and the function that ends the wait. It returns false if the attempt
// must not be written.
func (p *Permit) BeginWait(interrupt func()) bool { return p.advance(stageWaiting, interrupt) }

// BeginWrite records that the first byte is about to be written, and the function that interrupts the writing. It
// returns false if the attempt must not be written.
func (p *Permit) BeginWrite(interrupt func()) bool { return p.advance(stageWriting, interrupt) }

// advance moves the attempt to stage s, with the function that interrupts it, unless the permit is revoked.
func (p *Permit) advance(s stage, interrupt func()) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expire(); p.revoked {
		return false
	}
	if s == stageWriting && p.hasClientLeft != nil && p.hasClientLeft() {
		p.revoked, p.clientLeft = true, true
		return false
	}
	p.stage, p.interrupt = s, interrupt
	return true
}

// EndWrite records that the last byte has been written, after which nothing is interrupted any more. It reports
// whether the writing was interrupted before; the caller then undoes the effects of the interruption.
func (p *Permit) EndWrite() (interrupted bool) {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.interrupt = stageWritten, nil
	return p.interrupted
}

// Revoked reports whether the permit has been revoked.
func (p *Permit) Revoked() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return p.revoked
}

// ClientLeft reports whether the permit was revoked because the client has left.
func (p *Permit) ClientLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clientLeft
}

// WriteDeadline returns the time by which the last byte must have been written; zero: no limit. Without this limit, the
// repeat of a keyed request could be written, after waiting for its connection, when backends no longer know
// the key.
func (p *Permit) WriteDeadline() time.Time {
	if p == nil {
		return time.Time{}
	}
	return p.writeDeadline
}

// expire revokes the permit once its write deadline has passed. The caller holds the lock.
func (p *Permit) expire() {
	if p.stage != stageWritten && !p.writeDeadline.IsZero() && !time.Now().Before(p.writeDeadline) {
		p.revoked = true
	}
}

// Withdraw revokes the permit of an attempt that has not begun. It doesn't interrupt an attempt that is being
// written, because a backend counts an attempt from its first byte.
func (p *Permit) Withdraw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revoked = true
	if p.stage == stageWaiting {
		p.interruptAttempt()
	}
}

// Abort revokes the permit and also interrupts an attempt that is being written, since a request is not sent
// before its last byte. It reports whether nothing of it has been or will be written.
func (p *Permit) Abort() (unsent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revoked = true
	if p.stage != stageWritten {
		p.interruptAttempt()
	}
	return p.stage == stageWaiting
}

// interruptAttempt calls interrupt, at most once per stage. The caller holds the lock.
func (p *Permit) interruptAttempt() {
	if p.interrupt != nil {
		p.interrupt()
		p.interrupt, p.interrupted = nil, true
	}
}
