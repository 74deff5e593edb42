// Package storm decides how an agent handles the time after an outage, when all clients come back together. It
// performs no I/O, has no clock and starts no goroutine. A Calendar and a Detector are not safe for concurrent
// use.
//
// A Calendar tells refused clients when to come back, so that the clients that return at any moment stay within
// the capacity that there is for them. It counts bookings per time slot and tenant and keeps nothing per
// client: its memory is bounded by Slots times Tenants counters.
//
// Fewer clients return than were advised to, since some give up. The calendar learns the share that does return
// (ReturnShare), so that slots are neither left empty nor overrun.
package storm

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Config sets the time slots of a Calendar and how their capacity is divided.
type Config struct {
	Slot    time.Duration // width of a slot
	Slots   int           // number of slots that can be booked: Slot times Slots is the longest time until a client is to come back
	Tenants int           // number of tenants (groups of clients that share the capacity evenly), at least 1
	Reserve float64       // share of each slot that only requests of full worth may use; the less a request's worth, the more of it is left free
}

// DefaultConfig returns the settings for a calendar that sends clients away for at most longest: 32 slots of at least 1 ms each.
func DefaultConfig(longest time.Duration, tenants int) Config {
	const slots = 32
	return Config{Slot: max(longest/slots, time.Millisecond), Slots: slots, Tenants: max(1, tenants), Reserve: 0.25}
}

const (
	maxSlots       = 1024 // upper bound of Config.Slots
	maxTenants     = 1024 // upper bound of Config.Tenants
	learnRate      = 0.25 // weight of the slot that has just passed in the learned return share (Calendar.ReturnShare)
	minReturnShare = 0.1  // lower bound of the return share: at 0 a calendar would book without end
	minBooked      = 8    // a passed slot with fewer bookings is too small a sample to learn the return share from
)

func (c Config) check() error {
	switch {
	case c.Slot <= 0:
		return fmt.Errorf("storm: Slot: %v must be greater than 0", c.Slot)
	case c.Slots < 2 || c.Slots > maxSlots:
		return fmt.Errorf("storm: Slots: %d is not between 2 and %d", c.Slots, maxSlots)
	case c.Tenants < 1 || c.Tenants > maxTenants:
		return fmt.Errorf("storm: Tenants: %d is not between 1 and %d", c.Tenants, maxTenants)
	case !(c.Reserve >= 0 && c.Reserve < 1):
		return fmt.Errorf("storm: Reserve: %v is not within [0, 1)", c.Reserve)
	}
	return nil
}

// slot counts the bookings and the returns of one time slot of a Calendar.
type slot struct {
	booked   int   // clients that were advised to come back in this slot
	returned int   // clients that came back in this slot
	byTenant []int // number of bookings of each tenant; they add up to booked
}

// Calendar books the times at which refused clients are to come back, so that no more return than can be served.
type Calendar struct {
	cfg         Config
	rng         *rand.Rand
	capacity    func(from, to time.Duration) float64 // number of returning clients that can be served within a span of time
	slots       []slot                               // a ring; the slot that begins at the time n*Config.Slot is slots[n%Slots]
	first       int64                                // number n of the oldest slot that has not passed: the one that contains the present
	started     bool                                 // advance has set first
	returnShare float64                              // learned share of the booked clients that do come back
}

// New returns an empty Calendar. capacity returns how many returning clients this agent alone can serve within
// a future span of time, besides new work and with the backends that are warm by then. All random choices
// derive from seed.
func New(cfg Config, seed uint64, capacity func(from, to time.Duration) float64) (*Calendar, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Calendar{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2)), capacity: capacity, slots: make([]slot, cfg.Slots), returnShare: 1}
	for i := range c.slots {
		c.slots[i].byTenant = make([]int, cfg.Tenants)
	}
	return c, nil
}

// slotAt returns the slot that begins at the time n*Config.Slot.
func (c *Calendar) slotAt(n int64) *slot { return &c.slots[n%int64(c.cfg.Slots)] }

// advance closes the slots that have passed, learns the return share from them, and opens as many new ones.
func (c *Calendar) advance(now time.Duration) {
	n := int64(now / c.cfg.Slot)
	if !c.started {
		c.started, c.first = true, n
	}
	for passed := 0; c.first < n && passed < c.cfg.Slots; c.first, passed = c.first+1, passed+1 {
		s := c.slotAt(c.first)
		if s.booked >= minBooked {
			c.returnShare += learnRate * (min(float64(s.returned)/float64(s.booked), 1) - c.returnShare)
			c.returnShare = max(c.returnShare, minReturnShare)
		}
		s.booked, s.returned = 0, 0
		clear(s.byTenant)
	}
	c.first = n
}

// expectedReturns returns how many of the clients booked in a slot are expected to come back, by the return share.
func (c *Calendar) expectedReturns(s *slot) float64 { return float64(s.booked) * c.returnShare }

// Book returns after how long a client that is refused now is to come back: it books the client in the first slot with
// room. A request of full worth (1) may use all of a slot; one of less worth leaves the reserve free, in proportion.
// While other tenants have bookings in a slot, a tenant gets no more than an even part of it. If all slots are full,
// one is drawn at random in proportion to its capacity, so that the excess spreads over the whole span of the calendar.
func (c *Calendar) Book(now time.Duration, tenant int, worth float64) time.Duration {
	c.advance(now)
	tenant = min(max(tenant, 0), c.cfg.Tenants-1)
	total, pick := 0.0, int64(-1)
	for n := c.first + 1; n < c.first+int64(c.cfg.Slots); n++ {
		s, from := c.slotAt(n), time.Duration(n)*c.cfg.Slot
		capacity := max(0, c.capacity(from, from+c.cfg.Slot))
		usable := capacity * (1 - c.cfg.Reserve*(1-min(max(worth, 0), 1)))
		if c.expectedReturns(s)+c.returnShare <= usable && c.withinFairShare(s, tenant, usable) {
			return c.bookSlot(n, tenant, now)
		}
		if total += capacity; capacity > 0 && c.rng.Float64()*total < capacity {
			pick = n
		}
	}
	if pick < 0 { // no slot has any capacity: spread the clients evenly over all slots
		pick = c.first + 1 + c.rng.Int64N(int64(c.cfg.Slots)-1)
	}
	return c.bookSlot(pick, tenant, now)
}

// withinFairShare reports whether a tenant may book once more in a slot whose usable capacity is given: it may if no
// other tenant has bookings there, else up to an even part of that capacity or one client, whichever is more.
func (c *Calendar) withinFairShare(s *slot, tenant int, usable float64) bool {
	others := 0
	for t, n := range s.byTenant {
		if n > 0 && t != tenant {
			others++
		}
	}
	return others == 0 || float64(s.byTenant[tenant]+1)*c.returnShare <= max(usable/float64(others+1), 1)
}

// bookSlot books a client in slot n and returns the time until a random moment of that slot.
func (c *Calendar) bookSlot(n int64, tenant int, now time.Duration) time.Duration {
	s := c.slotAt(n)
	s.booked++
	s.byTenant[tenant]++
	at := time.Duration(n)*c.cfg.Slot + time.Duration(c.rng.Float64()*float64(c.cfg.Slot))
	return at - now
}

// RecordReturn counts a returning client in the present slot, on the assumption that it was booked there.
func (c *Calendar) RecordReturn(now time.Duration) {
	c.advance(now)
	c.slotAt(c.first).returned++
}

// HasBookings reports whether clients are booked in the present slot or a later one. As long as there are any, the
// caller lets booked clients go before others.
func (c *Calendar) HasBookings(now time.Duration) bool {
	c.advance(now)
	for i := range c.slots {
		if c.slots[i].booked > 0 {
			return true
		}
	}
	return false
}

// ReturnShare returns the learned share of booked clients that come back.
func (c *Calendar) ReturnShare() float64 { return c.returnShare }
