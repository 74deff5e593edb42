package core

import (
	"sync"
	"time"
)

// Permit says whether an attempt may still be written. The loop takes it back where the client has left or has
// had its answer, and where the backend takes nothing new by now; a Backend asks for it before the first byte.
// Guards against requests that go out after a wait, for a connection or behind a kept one that had gone stale,
// though nobody waits for them any more or their backend drains.
//
// A nil one is never taken back.
type Permit struct {
	mu    sync.Mutex
	stage stage
	taken bool
	gone  bool        // since the client has left
	by    time.Time   // it can't be begun later; zero: whenever
	left  func() bool // whether the client has left; nil: not known
	cut   func()      // ends what the attempt waits for now; must not wait
	cuts  bool        // it was called
}

type stage uint8

const (
	waiting stage = iota // nothing has been written
	begun                // the first byte may have been
	whole                // the last one has been
)

// NewPermit is one for an attempt whose last byte must have been written by a time; zero: whenever.
func NewPermit(by time.Time) *Permit { return &Permit{by: by} }

// Unless has the permit taken back where the client has left by the time the attempt is to be written. Guards against an
// attempt that is written before the loop has heard of the leave: the process was stopped or short of processor time, and
// the timer of a retry runs before the end of the connection is read.
func (p *Permit) Unless(left func() bool) *Permit {
	p.left = left
	return p
}

// Await notes that the attempt waits, and what ends the wait. false: it may not be written.
func (p *Permit) Await(cut func()) bool { return p.enter(waiting, cut) }

// Begin notes that the first byte is about to be written, and what ends the writing. false: it may not be.
func (p *Permit) Begin(cut func()) bool { return p.enter(begun, cut) }

func (p *Permit) enter(s stage, cut func()) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.late(); p.taken {
		return false
	}
	if s == begun && p.left != nil && p.left() {
		p.taken, p.gone = true, true
		return false
	}
	p.stage, p.cut = s, cut
	return true
}

// Whole notes that the last byte has been written: nothing is cut off any more. It reports whether that crossed
// with a cut, whose traces are then to be removed.
func (p *Permit) Whole() (cut bool) {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.cut = whole, nil
	return p.cuts
}

// Taken reports whether the permit has been taken back.
func (p *Permit) Taken() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late()
	return p.taken
}

// ClientLeft reports whether the permit was taken back since the client was found to have left.
func (p *Permit) ClientLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone
}

// By is when the last byte must have been written; zero: whenever. Guards against the repeat of a keyed request that
// is written, after a wait for its connection, when backends no longer know the key.
func (p *Permit) By() time.Time {
	if p == nil {
		return time.Time{}
	}
	return p.by
}

// late takes the permit back once it is too late. The lock is held.
func (p *Permit) late() {
	if p.stage != whole && !p.by.IsZero() && !time.Now().Before(p.by) {
		p.taken = true
	}
}

// Withdraw keeps an attempt from being begun. One that has been is left alone: for its backend it counts from its
// first byte.
func (p *Permit) Withdraw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = true
	if p.stage == waiting {
		p.end()
	}
}

// Drop does the same, and cuts short one that is being written: until its last byte it has not been sent. It
// reports whether nothing of it has been or will be written.
func (p *Permit) Drop() (unsent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = true
	if p.stage != whole {
		p.end()
	}
	return p.stage == waiting
}

func (p *Permit) end() {
	if p.cut != nil {
		p.cut()
		p.cut, p.cuts = nil, true
	}
}
