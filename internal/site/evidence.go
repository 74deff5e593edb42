package site

import "time"

// RecordOutcome counts an attempt at a backend of a site that has ended: how it ended and how long it took. Unknown
// sites are ignored.
func (w *Watch) RecordOutcome(now time.Duration, site int, backend string, k Outcome, latency time.Duration) {
	w.now = max(w.now, now)
	if site < 0 || site >= len(w.sites) || k >= numOutcomes {
		return
	}
	s := &w.sites[site]
	at := w.now - w.now%w.cfg.Slot
	sl := &s.slots[int(at/w.cfg.Slot)%maxSlots]
	if sl.start != at {
		*sl = slot{start: at}
	}
	sl.counts[k]++
	t := s.backends[backend]
	if t == nil {
		if len(s.backends) >= maxTried {
			w.prune(s)
		}
		if len(s.backends) >= maxTried {
			return
		}
		t = &backendTimes{-1, -1}
		s.backends[backend] = t
	}
	switch k {
	case OK, Errored: // the process is alive
		t.served, s.answeredAt, s.failuresInRow = w.now, w.now, 0
		if k == OK {
			w.meanLatency += latencyWeight * (float64(latency) - w.meanLatency)
			s.served++
			s.failedSinceServed = 0
		}
	default:
		t.failed = w.now
		s.failuresInRow++
		s.failedSinceServed++
	}
}

const (
	latencyWeight = 0.05 // weight of a newly served attempt in the running mean of latency
	maxLate       = 128  // maximum number of late attempts kept per site
)

// LateAttempt is an attempt that has been without an answer for so long that it counts as Silent (see IsLate).
type LateAttempt struct {
	Backend string
	Sent    time.Duration
}

// IsLate reports whether an attempt that was sent at the given time and is still without an answer counts as Silent: it
// has waited for longer than Config.LateFactor mean latencies and than Config.MinLate.
func (w *Watch) IsLate(now, sent time.Duration) bool {
	return now-sent > max(w.cfg.MinLate, time.Duration(w.cfg.LateFactor*w.meanLatency))
}

// SetLate replaces the late attempts of a site by those that are late now, at most maxLate of them. Without them a
// silent site would only be noticed once the first clients' attempts time out.
func (w *Watch) SetLate(now time.Duration, site int, late []LateAttempt) {
	w.now = max(w.now, now)
	if site >= 0 && site < len(w.sites) {
		w.sites[site].late = late[:min(len(late), maxLate)]
	}
}

// prune removes from s the backends that were not tried within twice the doubt window, to make room for others.
func (w *Watch) prune(s *siteState) {
	for id, t := range s.backends {
		if w.now-max(t.served, t.failed) > 2*w.cfg.DoubtWindow {
			delete(s.backends, id)
		}
	}
}

// windowSummary sums up the attempts of one site within Config.DoubtWindow.
type windowSummary struct {
	counts         [numOutcomes]int // attempts by outcome, late attempts included as Silent
	tried, failing int              // backends that were tried; number of those that served nothing since their last failure
	failuresInRow  int              // consecutive failures since the last answer, late attempts included
}

// summarize computes the summary of a site's last doubt window.
func (w *Watch) summarize(site int) (v windowSummary) {
	s := &w.sites[site]
	for i := range s.slots {
		if sl := &s.slots[i]; sl.start >= 0 && w.now-sl.start < w.cfg.DoubtWindow {
			for k, n := range sl.counts {
				v.counts[k] += n
			}
		}
	}
	silent := map[string]bool{}
	v.failuresInRow = s.failuresInRow
	for _, l := range s.late {
		v.counts[Silent]++
		if t := s.backends[l.Backend]; t == nil || t.served < l.Sent {
			silent[l.Backend] = true
		}
		if s.answeredAt < l.Sent {
			v.failuresInRow++
		}
	}
	for id, t := range s.backends {
		if w.now-max(t.served, t.failed) >= w.cfg.DoubtWindow {
			continue
		}
		v.tried++
		if silent[id] || t.failed >= 0 && w.now-t.failed < w.cfg.DoubtWindow && t.served < t.failed {
			v.failing++
			delete(silent, id)
		}
	}
	v.tried += len(silent)
	v.failing += len(silent)
	return v
}

// total returns the number of attempts of any outcome.
func (v *windowSummary) total() (n int) {
	for _, c := range v.counts {
		n += c
	}
	return n
}

// failShare returns the share of attempts that got no answer from a live process; error responses are answers. It is 0
// without attempts.
func (v *windowSummary) failShare() float64 {
	if n := v.total(); n > 0 {
		return float64(v.counts[Reset]+v.counts[Refused]+v.counts[Silent]) / float64(n)
	}
	return 0
}

// failShareElsewhere returns the failShare of all other sites together that are neither lost nor cut.
func (w *Watch) failShareElsewhere(site int) float64 {
	var all windowSummary
	for i := range w.sites {
		if i == site || w.sites[i].state == Lost || w.sites[i].state == Cut {
			continue
		}
		for k, n := range w.sites[i].recentSummary.counts {
			all.counts[k] += n
		}
	}
	return all.failShare()
}

// recentLosses returns how often a site became lost within lossMemory; each of these losses after the first slows down its return.
func (w *Watch) recentLosses(site int) (n int) {
	for _, at := range w.sites[site].lossTimes {
		if w.now-at < lossMemory {
			n++
		}
	}
	return n
}

const (
	maxLosses  = 8               // number of latest losses kept per site
	lossMemory = 5 * time.Minute // time for which a loss slows down the site's later returns
)
