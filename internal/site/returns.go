package site

import (
	"math"
	"time"

	"lemonrail/internal/storm"
)

// returnSchedule decides when clients that are refused while a site is lost should come back, so that they follow the
// site's ramp. It is a storm.Calendar whose capacity is the part of the request rate that the ramps of returning sites
// open. Each agent books its own clients only, against its own request rate, so that all agents' bookings fit together.
type returnSchedule struct {
	controller  *Controller
	calendar    *storm.Calendar
	requestRate float64       // running mean of first requests (not repeats) a second at this agent
	arrivedAt   time.Duration // when the last of them arrived
}

const (
	rateWindow  = 2 * time.Second // time constant of the running mean requestRate
	adviceSlots = 8               // slots of the calendar: few, so that an agent with few requests a second has capacity for a whole request in each
)

func newReturnSchedule(s *Controller, seed uint64) (*returnSchedule, error) {
	r := &returnSchedule{controller: s, arrivedAt: s.now}
	var err error
	r.calendar, err = storm.New(storm.Config{Slot: max(s.cfg.MaxAdvice/adviceSlots, time.Millisecond), Slots: adviceSlots, Tenants: 1, Reserve: 0.25}, seed, r.capacity)
	return r, err
}

// Arrived counts a request; repeat: the client says that it has sent the request before.
func (s *Controller) Arrived(now time.Duration, repeat bool) {
	r := s.returns
	s.now = max(now, s.now)
	if repeat {
		r.calendar.RecordReturn(s.now)
		return
	}
	span := (s.now - r.arrivedAt).Seconds()
	fade := math.Exp(-span / rateWindow.Seconds())
	r.requestRate = r.requestRate*fade + 1/rateWindow.Seconds()
	r.arrivedAt = s.now
}

// ReturnAfter returns after how long a client that is refused now because a site is lost should come back. The client
// is booked with the worth of its class as a share of the greatest worth of all classes, as Calendar.Book requires.
func (s *Controller) ReturnAfter(now time.Duration, class int) time.Duration {
	s.now = max(now, s.now)
	top := 0.0
	for _, c := range s.cfg.Classes {
		top = max(top, c.Worth)
	}
	worth := 0.0
	if class >= 0 && class < len(s.cfg.Classes) && top > 0 {
		worth = s.cfg.Classes[class].Worth / top
	}
	return s.returns.calendar.Book(s.now, 0, worth)
}

// capacity returns how many clients may return from one time to another: the part of this agent's request rate that
// the ramps of the returning sites open between now and from. Without a returning site it is 0, and the calendar
// then spreads refused clients evenly.
func (r *returnSchedule) capacity(from, to time.Duration) float64 {
	opened := 0.0
	for i := range r.controller.sites {
		if r.controller.watch.State(i) != Returning {
			continue
		}
		losses, since := r.controller.watch.recentLosses(i), r.controller.watch.sites[i].since
		now, then := r.controller.cfg.Ramp.Share(r.controller.now-since, losses), r.controller.cfg.Ramp.Share(from-since, losses)
		opened += (then - now) / float64(len(r.controller.sites))
	}
	return opened * r.requestRate * (to - from).Seconds()
}
