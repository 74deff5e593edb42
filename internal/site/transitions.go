package site

import "time"

const (
	trialsWell  = 3  // attempts served by a lost site that bring it back; one where others reach it already
	trialsCut   = 2  // that fail while others are served, by which it is cut from this agent rather than lost
	rowDoubt    = 2  // times Config.Least failures in a row, with no answer between them, that are a doubt
	rowLost     = 4  // and that may be a loss
	loseSooner  = 3  // of Config.Lose that it takes where the fleet's members say the same
	forgetAfter = 10 // Config.Doubt after which what failed in a row says nothing any more
)

// Tick works out the states.
func (w *Watch) Tick(now time.Duration) {
	w.now = max(w.now, now)
	for i := range w.sites {
		w.sites[i].seen = w.look(i)
	}
	for i := range w.sites {
		w.judge(i)
	}
}

// fails sums up what a site's attempts say.
type fails struct {
	doubt bool // most fail, at several of its backends
	bad   bool // nearly all do
}

func (w *Watch) fails(s *siteState) (f fails) {
	v := &s.seen
	enough := v.failing >= w.cfg.Least || v.failing > 0 && v.failing >= s.listed.Backends && s.listed.Backends > 0
	gone := s.listed.Backends == 0 && s.state != Lost && v.tried > 0 && v.share() >= w.cfg.LostShare
	f.doubt = gone || enough && (v.share() >= w.cfg.FailShare || v.row >= rowDoubt*w.cfg.Least)
	f.bad = gone || enough && (v.share() >= w.cfg.LostShare || v.row >= rowLost*w.cfg.Least)
	return f
}

// told is what members elsewhere say of a site.
type told uint8

const (
	nothing told = iota
	answers      // enough of them are answered there
	silent       // none is
)

func (w *Watch) told(i int) told {
	f := &w.fleet
	switch {
	case !f.Known || i >= len(f.Reach) || i >= len(f.Asked) || f.Asked[i] == 0:
		return nothing
	case float64(f.Reach[i]) > w.cfg.Reached*float64(f.Asked[i]):
		return answers
	case f.Reach[i] == 0:
		return silent
	}
	return nothing
}

func (w *Watch) judge(i int) {
	s := &w.sites[i]
	if len(s.late) == 0 && s.row > 0 && w.now-s.since > forgetAfter*w.cfg.Doubt && s.seen.all() == 0 {
		s.row = 0 // of long ago
	}
	f := w.fails(s)
	s.cause = None
	if f.doubt {
		s.cause = w.explain(i)
	}
	if s.state == Cut {
		s.cause = Mine
	}
	theirs := s.cause == None || s.cause == Mine // it is about that site, and not about all
	switch s.state {
	case Well:
		// One that tries it seldom meets few failures; that all say the same makes up for it.
		hearsay := w.told(i) == silent && w.fleet.Asked[i] >= w.cfg.Least && s.row > 0 && w.another(i)
		if f.doubt && theirs || hearsay {
			w.become(i, Doubted)
			s.failing = w.now
		}
	case Doubted:
		if bad := f.bad && theirs; !bad {
			s.failing = -1
		} else if s.failing < 0 {
			s.failing = w.now
		}
		answered := s.okAt >= s.since || w.now-s.since > forgetAfter*w.cfg.Doubt
		if f.doubt && theirs || !answered { // that nobody tries it says nothing
			s.serving = -1
		} else if s.serving < 0 {
			s.serving = w.now
		}
		lose := w.cfg.Lose
		if w.told(i) == silent && w.fleet.Asked[i] >= w.cfg.Least {
			lose /= loseSooner
		}
		switch {
		case w.told(i) == silent && w.fleet.Asked[i] >= w.cfg.Least && s.okAt < s.since && w.now-s.since >= w.cfg.Lose:
			w.become(i, Lost) // what few attempts it makes there bring nothing, and the others' neither
		case s.failing >= 0 && w.now-s.failing >= lose && s.cause == Mine:
			w.become(i, Cut)
		case s.failing >= 0 && w.now-s.failing >= lose:
			w.become(i, Lost)
		case s.serving >= 0 && w.now-s.serving >= w.cfg.Clear:
			w.become(i, Well)
		}
	case Cut:
		switch {
		case s.trials >= trialsWell && !f.doubt || s.trials > 0 && w.told(i) == answers:
			if s.wasLost { // others were just sooner to see it return
				w.become(i, Returning)
			} else {
				w.become(i, Well)
			}
		case s.failed > 0 && w.told(i) == silent && w.fleet.Majority:
			w.become(i, Lost)
		case s.failed > 0 && w.told(i) == nothing && !w.apart(i) && w.now-s.since > w.cfg.Clear:
			w.become(i, Lost)
		}
	case Lost:
		if s.byHand {
			return
		}
		anew := s.listed.Up > 0 && 2*s.listed.Started >= s.listed.Up
		switch {
		case s.trials >= trialsWell || s.trials > 0 && w.told(i) == answers || anew && s.failed == 0:
			w.become(i, Returning)
		case s.failed >= trialsCut && w.told(i) == answers:
			w.become(i, Cut)
		}
	case Returning: // a second loss goes back at once
		if f.doubt && f.bad && theirs {
			w.become(i, Lost)
		}
	}
}

// apart reports whether this agent sees few of a site's members, and is in a minority itself.
func (w *Watch) apart(i int) bool {
	f := &w.fleet
	return f.Known && i != w.own && !f.Majority && i < len(f.Alive) && i < len(f.Expected) && 2*f.Alive[i] <= f.Expected[i]
}

// explain says why failures of a site are no loss of it.
func (w *Watch) explain(i int) Cause {
	v := &w.sites[i].seen
	if !w.another(i) {
		return Everyone // nothing would be left
	}
	if len(w.sites) > 1 && v.share()-w.elsewhere(i) < w.cfg.Contrast && !(v.row >= rowDoubt*w.cfg.Least && w.served(i)) {
		if w.now-w.listAt >= w.cfg.Stale {
			return Stale
		}
		return Everyone
	}
	if v.tried > v.failing && 2*v.failing <= v.tried {
		return Release
	}
	if w.told(i) == answers || w.apart(i) {
		return Mine
	}
	return None
}

// another reports whether there is a site besides that may be used.
func (w *Watch) another(i int) bool {
	for k := range w.sites {
		if s := &w.sites[k]; k != i && s.state != Lost && s.state != Cut {
			return true
		}
	}
	return false
}

// served reports whether another site has just answered, and not one in a row failed there.
func (w *Watch) served(i int) bool {
	for k := range w.sites {
		s := &w.sites[k]
		if k != i && s.state == Well && s.okAt >= 0 && w.now-s.okAt < w.cfg.Doubt/2 && s.seen.row < w.cfg.Least {
			return true
		}
	}
	return false
}
