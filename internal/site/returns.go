package site

import (
	"math"
	"time"

	"lemonrail/internal/storm"
)

// returns has refused clients come back along the ramp, so that they don't return together: a calendar
// (internal/storm) whose room is what the ramp opens. Each agent books its own clients alone; shares add up.
type returns struct {
	s        *Controller
	calendar *storm.Calendar
	rate     float64 // running mean of first requests a second
	at       time.Duration
}

const (
	rateSpan  = 2 * time.Second
	slotCount = 8 // few: an agent with some requests a second has room for a whole one in each
)

func newReturns(s *Controller, seed uint64) (*returns, error) {
	r := &returns{s: s, at: s.now}
	var err error
	r.calendar, err = storm.New(storm.Config{Slot: max(s.cfg.Advice/slotCount, time.Millisecond), Slots: slotCount, Tenants: 1, Reserve: 0.25}, seed, r.room)
	return r, err
}

// Arrived takes that a request came, and whether it is a client's repeat.
func (s *Controller) Arrived(now time.Duration, repeat bool) {
	r := s.came
	s.now = max(now, s.now)
	if repeat {
		r.calendar.Came(s.now)
		return
	}
	span := (s.now - r.at).Seconds()
	fade := math.Exp(-span / rateSpan.Seconds())
	r.rate = r.rate*fade + 1/rateSpan.Seconds()
	r.at = s.now
}

// Back is after how long a client that is refused now, for want of a lost site, is to come again. Worth is its class's
// over the greatest.
func (s *Controller) Back(now time.Duration, class int) time.Duration {
	s.now = max(now, s.now)
	top := 0.0
	for _, c := range s.cfg.Classes {
		top = max(top, c.Worth)
	}
	worth := 0.0
	if class >= 0 && class < len(s.cfg.Classes) && top > 0 {
		worth = s.cfg.Classes[class].Worth / top
	}
	return s.came.calendar.Book(s.now, 0, worth)
}

// room is for how many returns there is room in a span to come: of this agent's own requests the part that the ramps
// will have opened by then. While nothing returns there is none, and who is refused is spread.
func (r *returns) room(from, to time.Duration) float64 {
	opened := 0.0
	for i := range r.s.sites {
		if r.s.w.State(i) != Returning {
			continue
		}
		losses, since := r.s.w.losses(i), r.s.w.sites[i].since
		now, then := r.s.cfg.Ramp.Share(r.s.now-since, losses), r.s.cfg.Ramp.Share(from-since, losses)
		opened += (then - now) / float64(len(r.s.sites))
	}
	return opened * r.rate * (to - from).Seconds()
}
