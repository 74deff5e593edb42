// Package storm holds decisions for the time after an outage, when all clients come back together. It has no I/O, no
// clock and no goroutine; whoever holds a Calendar calls it from one goroutine.
//
// A Calendar says to clients that are refused when to come back, so that what returns in any moment stays within what
// there is room for then. It keeps slots of time, not clients: what is booked in each, by tenant. Bounds: Slots times
// Tenants counts, whatever the number of clients.
//
// What is expected to return is less than what was told to: some give up. Share learns it from those that come, so
// that slots are neither empty nor overrun.
package storm

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Config says how a Calendar is cut.
type Config struct {
	Slot    time.Duration // width of one
	Slots   int           // how many are open: Slot times Slots is the longest advice
	Tenants int           // who share the room; at least 1
	Reserve float64       // share of each slot that is kept for those of full worth
}

// DefaultConfig is for a longest advice; 32 slots, of 1 ms at the least.
func DefaultConfig(longest time.Duration, tenants int) Config {
	const slots = 32
	return Config{Slot: max(longest/slots, time.Millisecond), Slots: slots, Tenants: max(1, tenants), Reserve: 0.25}
}

const (
	mostSlots   = 1024
	mostTenants = 1024
	learnRate   = 0.25 // weight of a passed slot in what share comes back
	leastShare  = 0.1  // that is expected to: a calendar that expects nobody would book without end
	leastBooked = 8    // in a slot, under which it teaches nothing
)

func (c Config) check() error {
	switch {
	case c.Slot <= 0:
		return fmt.Errorf("storm: Slot: %v makes no sense", c.Slot)
	case c.Slots < 2 || c.Slots > mostSlots:
		return fmt.Errorf("storm: Slots: %d is not between 2 and %d", c.Slots, mostSlots)
	case c.Tenants < 1 || c.Tenants > mostTenants:
		return fmt.Errorf("storm: Tenants: %d is not between 1 and %d", c.Tenants, mostTenants)
	case !(c.Reserve >= 0 && c.Reserve < 1):
		return fmt.Errorf("storm: Reserve: %v is no share", c.Reserve)
	}
	return nil
}

// slot is a span of time.
type slot struct {
	booked int // told to come then
	came   int // and did
	by     []int
}

// Calendar books returns.
type Calendar struct {
	cfg   Config
	rng   *rand.Rand
	room  func(from, to time.Duration) float64 // returns that there is room for in a span
	slots []slot                               // a ring; the slot of number n is slots[n%Slots]
	first int64                                // number of the first open one
	begun bool
	share float64 // of those told that come back
}

// New returns an empty Calendar. Room says for how many returns there is room in a span of time to come, beside work
// that is new: what is warm by then and what is not, this agent's part of it alone. All random choices come from seed.
func New(cfg Config, seed uint64, room func(from, to time.Duration) float64) (*Calendar, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Calendar{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2)), room: room, slots: make([]slot, cfg.Slots), share: 1}
	for i := range c.slots {
		c.slots[i].by = make([]int, cfg.Tenants)
	}
	return c, nil
}

func (c *Calendar) at(n int64) *slot { return &c.slots[n%int64(c.cfg.Slots)] }

// turn closes the slots that have passed and opens as many.
func (c *Calendar) turn(now time.Duration) {
	n := int64(now / c.cfg.Slot)
	if !c.begun {
		c.begun, c.first = true, n
	}
	for passed := 0; c.first < n && passed < c.cfg.Slots; c.first, passed = c.first+1, passed+1 {
		s := c.at(c.first)
		if s.booked >= leastBooked {
			c.share += learnRate * (min(float64(s.came)/float64(s.booked), 1) - c.share)
			c.share = max(c.share, leastShare)
		}
		s.booked, s.came = 0, 0
		clear(s.by)
	}
	c.first = n
}

// expected is how many are taken to come in a slot, as far as it is told.
func (c *Calendar) expected(s *slot) float64 { return float64(s.booked) * c.share }

// Book says after how long a client that is refused now is to come back. Full worth may take all of a slot, less worth
// leaves the reserve. A tenant takes no more than its even part while others have booked in the slot too. Where all
// slots are full one is drawn, by its room: a late storm is spread over all of the time that advice may span.
func (c *Calendar) Book(now time.Duration, tenant int, worth float64) time.Duration {
	c.turn(now)
	tenant = min(max(tenant, 0), c.cfg.Tenants-1)
	total, pick := 0.0, int64(-1)
	for n := c.first + 1; n < c.first+int64(c.cfg.Slots); n++ {
		s, from := c.at(n), time.Duration(n)*c.cfg.Slot
		room := max(0, c.room(from, from+c.cfg.Slot))
		usable := room * (1 - c.cfg.Reserve*(1-min(max(worth, 0), 1)))
		if c.expected(s)+c.share <= usable && c.fair(s, tenant, usable) {
			return c.take(n, tenant, now)
		}
		if total += room; room > 0 && c.rng.Float64()*total < room {
			pick = n
		}
	}
	if pick < 0 { // there is room at no time: as late as may be told, and not all at once
		pick = c.first + 1 + c.rng.Int64N(int64(c.cfg.Slots)-1)
	}
	return c.take(pick, tenant, now)
}

// fair reports whether a tenant may have another place in a slot.
func (c *Calendar) fair(s *slot, tenant int, usable float64) bool {
	others := 0
	for t, n := range s.by {
		if n > 0 && t != tenant {
			others++
		}
	}
	return others == 0 || float64(s.by[tenant]+1)*c.share <= max(usable/float64(others+1), 1)
}

func (c *Calendar) take(n int64, tenant int, now time.Duration) time.Duration {
	s := c.at(n)
	s.booked++
	s.by[tenant]++
	at := time.Duration(n)*c.cfg.Slot + time.Duration(c.rng.Float64()*float64(c.cfg.Slot))
	return at - now
}

// Came notes that a client has come back that was told to come about now, as far as it can be told.
func (c *Calendar) Came(now time.Duration) {
	c.turn(now)
	c.at(c.first).came++
}

// Open reports whether clients who do as told are expected yet: while it is so, they come before others.
func (c *Calendar) Open(now time.Duration) bool {
	c.turn(now)
	for i := range c.slots {
		if c.slots[i].booked > 0 {
			return true
		}
	}
	return false
}

// Share is the part of those told that is taken to come back.
func (c *Calendar) Share() float64 { return c.share }
