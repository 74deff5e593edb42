package site

import "time"

// Outcome takes how an attempt at a backend of a site ended, and how long it took. Unknown sites are passed over.
func (w *Watch) Outcome(now time.Duration, site int, backend string, k Kind, latency time.Duration) {
	w.now = max(w.now, now)
	if site < 0 || site >= len(w.sites) || k >= kinds {
		return
	}
	s := &w.sites[site]
	at := w.now - w.now%w.cfg.Slot
	sl := &s.slots[int(at/w.cfg.Slot)%slotsMost]
	if sl.at != at {
		*sl = slot{at: at}
	}
	sl.counts[k]++
	t := s.tried[backend]
	if t == nil {
		if len(s.tried) >= triedMost {
			w.prune(s)
		}
		if len(s.tried) >= triedMost {
			return
		}
		t = &tried{-1, -1}
		s.tried[backend] = t
	}
	switch k {
	case OK, Errored: // its process lives
		t.served, s.okAt, s.row = w.now, w.now, 0
		if k == OK {
			w.usual += usualWeight * (float64(latency) - w.usual)
			s.trials++
			s.failed = 0
		}
	default:
		t.failed = w.now
		s.row++
		s.failed++
	}
}

const (
	usualWeight = 0.05
	lateMost    = 128
)

// Late is an attempt that is out for long.
type Late struct {
	Backend string
	Sent    time.Duration
}

// IsLate reports whether an attempt that was sent at a time, and has no answer, speaks of silence.
func (w *Watch) IsLate(now, sent time.Duration) bool {
	return now-sent > max(w.cfg.LateLeast, time.Duration(w.cfg.Late*w.usual))
}

// Pending takes the attempts at a site's backends that are late now, in place of those told before. Guards against
// a silent site that shows only once the first clients have given up.
func (w *Watch) Pending(now time.Duration, site int, late []Late) {
	w.now = max(w.now, now)
	if site >= 0 && site < len(w.sites) {
		w.sites[site].late = late[:min(len(late), lateMost)]
	}
}

// prune forgets backends that were not tried for the span that counts.
func (w *Watch) prune(s *siteState) {
	for id, t := range s.tried {
		if w.now-max(t.served, t.failed) > 2*w.cfg.Doubt {
			delete(s.tried, id)
		}
	}
}

// seen sums up the span that counts.
type seen struct {
	counts         [kinds]int
	tried, failing int
	row            int // failures, late attempts among them, since the last answer
}

func (w *Watch) look(site int) (v seen) {
	s := &w.sites[site]
	for i := range s.slots {
		if sl := &s.slots[i]; sl.at >= 0 && w.now-sl.at < w.cfg.Doubt {
			for k, n := range sl.counts {
				v.counts[k] += n
			}
		}
	}
	silent := map[string]bool{}
	v.row = s.row
	for _, l := range s.late {
		v.counts[Silent]++
		if t := s.tried[l.Backend]; t == nil || t.served < l.Sent {
			silent[l.Backend] = true
		}
		if s.okAt < l.Sent {
			v.row++
		}
	}
	for id, t := range s.tried {
		if w.now-max(t.served, t.failed) >= w.cfg.Doubt {
			continue
		}
		v.tried++
		if silent[id] || t.failed >= 0 && w.now-t.failed < w.cfg.Doubt && t.served < t.failed {
			v.failing++
			delete(silent, id)
		}
	}
	v.tried += len(silent)
	v.failing += len(silent)
	return v
}

func (v *seen) all() (n int) {
	for _, c := range v.counts {
		n += c
	}
	return n
}

// share is that of attempts that neither a backend answered nor a process that lives returned as an error.
func (v *seen) share() float64 {
	if n := v.all(); n > 0 {
		return float64(v.counts[Reset]+v.counts[Refused]+v.counts[Silent]) / float64(n)
	}
	return 0
}

// elsewhere is the share that fails in the other sites, but for those that are lost or cut.
func (w *Watch) elsewhere(site int) float64 {
	var all seen
	for i := range w.sites {
		if i == site || w.sites[i].state == Lost || w.sites[i].state == Cut {
			continue
		}
		for k, n := range w.sites[i].seen.counts {
			all.counts[k] += n
		}
	}
	return all.share()
}

// losses counts those that still slow a return down.
func (w *Watch) losses(site int) (n int) {
	for _, at := range w.sites[site].losses {
		if w.now-at < lossesFor {
			n++
		}
	}
	return n
}

const (
	lossesMost = 8
	lossesFor  = 5 * time.Minute
)
