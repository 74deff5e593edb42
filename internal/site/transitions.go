package site

import "time"

const (
	trialsToReturn       = 3  // attempts that a lost site must serve to return; 1 if other members reach it
	trialsToCut          = 2  // failed attempts after which a lost site that other members reach is cut
	doubtRowFactor       = 2  // multiple of Config.MinFailing: consecutive failures that raise a doubt
	lostRowFactor        = 4  // multiple of Config.MinFailing: consecutive failures that count as nearly all attempts failing
	confirmedLossDivisor = 3  // Config.LoseAfter is divided by this if no reporting member in another site reaches the site
	rowMemory            = 10 // multiple of Config.DoubtWindow without any attempt after which consecutive failures no longer count
)

// Tick summarizes the recent attempts at each site and moves sites to their next states. The caller calls it several
// times a second.
func (w *Watch) Tick(now time.Duration) {
	w.now = max(w.now, now)
	for i := range w.sites {
		w.sites[i].recentSummary = w.summarize(i)
	}
	for i := range w.sites {
		w.updateState(i)
	}
}

// failureLevel is how badly the recent attempts at a site fail.
type failureLevel struct {
	mostFail      bool // at least Config.FailShare of the attempts fail, at Config.MinFailing backends or more
	nearlyAllFail bool // at least Config.LostShare of the attempts fail, at Config.MinFailing backends or more
}

// failureLevel derives the failure level of a site from its latest summary and its backend list.
func (w *Watch) failureLevel(s *siteState) (f failureLevel) {
	v := &s.recentSummary
	// Enough backends fail: MinFailing, or all listed ones if the site has fewer.
	enough := v.failing >= w.cfg.MinFailing || v.failing > 0 && v.failing >= s.listed.Backends && s.listed.Backends > 0
	// The site was removed from the backend list while nearly all of its attempts fail.
	delisted := s.listed.Backends == 0 && s.state != Lost && v.tried > 0 && v.failShare() >= w.cfg.LostShare
	f.mostFail = delisted || enough && (v.failShare() >= w.cfg.FailShare || v.failuresInRow >= doubtRowFactor*w.cfg.MinFailing)
	f.nearlyAllFail = delisted || enough && (v.failShare() >= w.cfg.LostShare || v.failuresInRow >= lostRowFactor*w.cfg.MinFailing)
	return f
}

// reachability is what the members in other sites report of a site.
type reachability uint8

const (
	reachUnknown reachability = iota // no reports, or only a few of the members reach the site
	reachable                        // more than Config.ReachedShare of them reach the site
	unreachable                      // none of them reaches it
)

// reachedByOthers sums up what the members in other sites report of site i.
func (w *Watch) reachedByOthers(i int) reachability {
	f := &w.fleet
	switch {
	case !f.Known || i >= len(f.Reaching) || i >= len(f.Reporting) || f.Reporting[i] == 0:
		return reachUnknown
	case float64(f.Reaching[i]) > w.cfg.ReachedShare*float64(f.Reporting[i]):
		return reachable
	case f.Reaching[i] == 0:
		return unreachable
	}
	return reachUnknown
}

// updateState moves site i to its next state, if its evidence calls for a change.
func (w *Watch) updateState(i int) {
	s := &w.sites[i]
	if len(s.late) == 0 && s.failuresInRow > 0 && w.now-s.since > rowMemory*w.cfg.DoubtWindow && s.recentSummary.total() == 0 {
		s.failuresInRow = 0 // the failures are too old to count
	}
	f := w.failureLevel(s)
	s.cause = NoCause
	if f.mostFail {
		s.cause = w.failureCause(i)
	}
	if s.state == Cut {
		s.cause = CauseThisAgent
	}
	siteAtFault := s.cause == NoCause || s.cause == CauseThisAgent // the fault is with this site, not with all sites
	switch s.state {
	case Well:
		// An agent that seldom tries a site meets few failures there; unanimous reports of the other members
		// make up for it.
		// At least MinFailing members report, none of them reaches the site, and this agent's last attempt failed.
		reportedLost := w.reachedByOthers(i) == unreachable && w.fleet.Reporting[i] >= w.cfg.MinFailing && s.failuresInRow > 0 && w.otherSiteInUse(i)
		if f.mostFail && siteAtFault || reportedLost {
			w.setState(i, Doubted)
			s.failingSince = w.now
		}
	case Doubted:
		if bad := f.nearlyAllFail && siteAtFault; !bad {
			s.failingSince = -1
		} else if s.failingSince < 0 {
			s.failingSince = w.now
		}
		// The doubt isn't cleared before the site has answered since the doubt began. If it has been doubted for longer
		// than rowMemory doubt windows, it may be cleared without an answer, provided that most attempts don't fail.
		answered := s.answeredAt >= s.since || w.now-s.since > rowMemory*w.cfg.DoubtWindow
		if f.mostFail && siteAtFault || !answered {
			s.servingSince = -1
		} else if s.servingSince < 0 {
			s.servingSince = w.now
		}
		loseAfter := w.cfg.LoseAfter
		if w.reachedByOthers(i) == unreachable && w.fleet.Reporting[i] >= w.cfg.MinFailing {
			loseAfter /= confirmedLossDivisor
		}
		switch {
		case w.reachedByOthers(i) == unreachable && w.fleet.Reporting[i] >= w.cfg.MinFailing && s.answeredAt < s.since && w.now-s.since >= w.cfg.LoseAfter:
			w.setState(i, Lost) // neither this agent's few attempts nor the other members reach the site
		case s.failingSince >= 0 && w.now-s.failingSince >= loseAfter && s.cause == CauseThisAgent:
			w.setState(i, Cut)
		case s.failingSince >= 0 && w.now-s.failingSince >= loseAfter:
			w.setState(i, Lost)
		case s.servingSince >= 0 && w.now-s.servingSince >= w.cfg.ClearAfter:
			w.setState(i, Well)
		}
	case Cut:
		switch {
		case s.served >= trialsToReturn && !f.mostFail || s.served > 0 && w.reachedByOthers(i) == reachable:
			if s.wasLost { // the site was lost for the other agents too: its load returns on the ramp
				w.setState(i, Returning)
			} else {
				w.setState(i, Well)
			}
		case s.failedSinceServed > 0 && w.reachedByOthers(i) == unreachable && w.fleet.Majority:
			w.setState(i, Lost)
		case s.failedSinceServed > 0 && w.reachedByOthers(i) == reachUnknown && !w.isolatedFrom(i) && w.now-s.since > w.cfg.ClearAfter:
			w.setState(i, Lost)
		}
	case Lost:
		if s.manual {
			return
		}
		restarted := s.listed.Up > 0 && 2*s.listed.Started >= s.listed.Up // at least half of its backends that are up started after the loss
		switch {
		case s.served >= trialsToReturn || s.served > 0 && w.reachedByOthers(i) == reachable || restarted && s.failedSinceServed == 0:
			w.setState(i, Returning)
		case s.failedSinceServed >= trialsToCut && w.reachedByOthers(i) == reachable:
			w.setState(i, Cut)
		}
	case Returning: // a repeated loss skips the doubted state
		if f.mostFail && f.nearlyAllFail && siteAtFault {
			w.setState(i, Lost)
		}
	}
}

// isolatedFrom reports whether this agent is in a minority of the fleet and sees at most half of the members of site i
// alive; then its failing attempts say more about itself than about the site.
func (w *Watch) isolatedFrom(i int) bool {
	f := &w.fleet
	return f.Known && i != w.ownSite && !f.Majority && i < len(f.Alive) && i < len(f.Expected) && 2*f.Alive[i] <= f.Expected[i]
}

// failureCause returns why the failures of site i don't mean its loss, or NoCause if they do.
func (w *Watch) failureCause(i int) Cause {
	v := &w.sites[i].recentSummary
	if !w.otherSiteInUse(i) {
		return CauseAllSites // no other site would be left in use
	}
	if len(w.sites) > 1 && v.failShare()-w.failShareElsewhere(i) < w.cfg.Contrast && !(v.failuresInRow >= doubtRowFactor*w.cfg.MinFailing && w.otherSiteAnswers(i)) {
		if w.now-w.listedAt >= w.cfg.StaleAfter {
			return CauseStaleList
		}
		return CauseAllSites
	}
	if v.tried > v.failing && 2*v.failing <= v.tried {
		return CauseRelease
	}
	if w.reachedByOthers(i) == reachable || w.isolatedFrom(i) {
		return CauseThisAgent
	}
	return NoCause
}

// otherSiteInUse reports whether any site but i is neither lost nor cut.
func (w *Watch) otherSiteInUse(i int) bool {
	for k := range w.sites {
		if s := &w.sites[k]; k != i && s.state != Lost && s.state != Cut {
			return true
		}
	}
	return false
}

// otherSiteAnswers reports whether any well site but i has answered within half a doubt window and has fewer than
// Config.MinFailing consecutive failures.
func (w *Watch) otherSiteAnswers(i int) bool {
	for k := range w.sites {
		s := &w.sites[k]
		if k != i && s.state == Well && s.answeredAt >= 0 && w.now-s.answeredAt < w.cfg.DoubtWindow/2 && s.recentSummary.failuresInRow < w.cfg.MinFailing {
			return true
		}
	}
	return false
}
