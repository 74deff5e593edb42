package storm

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// constantCapacity returns a capacity, as New takes it, of perS returning clients a second at all times.
func constantCapacity(returnsPerSecond float64) func(from, to time.Duration) float64 {
	return func(from, to time.Duration) float64 { return returnsPerSecond * (to - from).Seconds() }
}

// newCalendar returns a calendar with seed 1.
func newCalendar(t testing.TB, cfg Config, capacity func(from, to time.Duration) float64) *Calendar {
	t.Helper()
	c, err := New(cfg, 1, capacity)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestBookStaysWithinCapacity(t *testing.T) {
	cfg := Config{Slot: 100 * ms, Slots: 11, Tenants: 1}
	c := newCalendar(t, cfg, constantCapacity(100)) // 10 clients in each of the 10 future slots
	in := map[time.Duration]int{}                   // number of bookings by slot number
	for range 100 {
		in[c.Book(0, 0, 1)/cfg.Slot]++
	}
	for n := time.Duration(1); n <= 10; n++ {
		if in[n] != 10 {
			t.Errorf("%d in slot %d: %v", in[n], n, in)
		}
	}
	over := c.Book(0, 0, 1) // the 101st client, with all slots full
	if over < 100*ms || over >= 1100*ms {
		t.Errorf("full calendar: told to come back after %v", over)
	}
}

// When the capacity grows over time, as it does while backends warm up, later slots get more bookings.
func TestBookFollowsRampingCapacity(t *testing.T) {
	ramp := func(from, to time.Duration) float64 { // 200 clients a second for each second since 0
		return 100 * (from + to).Seconds() / 2 * (to - from).Seconds() * 2
	}
	cfg := Config{Slot: 100 * ms, Slots: 11, Tenants: 1}
	c := newCalendar(t, cfg, ramp)
	in := make([]int, cfg.Slots) // number of bookings by slot number
	for range 60 {
		in[c.Book(0, 0, 1)/cfg.Slot]++
	}
	for n := 2; n < 7; n++ { // the last slot used isn't full
		if in[n] <= in[n-1] {
			t.Errorf("slot %d has no more bookings than the slot before it: %v", n, in)
		}
	}
}

// Requests of no worth fill only the part of the first slot that isn't reserved, so that one of full worth still fits.
func TestLowWorthLeavesReserveFree(t *testing.T) {
	cfg := Config{Slot: 100 * ms, Slots: 3, Tenants: 1, Reserve: 0.5}
	c := newCalendar(t, cfg, constantCapacity(100))
	for range 10 {
		c.Book(0, 0, 0)
	}
	if at := c.Book(0, 0, 1); at >= 200*ms {
		t.Errorf("a request of full worth is told to come back after %v, behind requests without worth", at)
	}
}

// A tenant that sends most of the requests doesn't push the other tenant into late slots.
func TestTenantsShareSlotsFairly(t *testing.T) {
	cfg := Config{Slot: 100 * ms, Slots: 11, Tenants: 2}
	c := newCalendar(t, cfg, constantCapacity(100))
	in := [2][]int{make([]int, cfg.Slots), make([]int, cfg.Slots)} // number of bookings by tenant and slot number
	for i := range 80 {
		tenant := 0
		if i%8 == 7 {
			tenant = 1
		}
		in[tenant][c.Book(0, tenant, 1)/cfg.Slot]++
	}
	if last := 4; in[1][last+1] > 0 || in[0][1] > 10 {
		t.Errorf("the tenant with few requests got late slots: %v", in)
	}
}

// When only half of the booked clients come back, the calendar learns that share, by which it books more clients into
// a slot.
func TestLearnsReturnShare(t *testing.T) {
	cfg := Config{Slot: 100 * ms, Slots: 11, Tenants: 1}
	c := newCalendar(t, cfg, constantCapacity(200))
	for n := range 40 {
		now := time.Duration(n) * cfg.Slot
		due := c.slotAt(int64(n)).booked // clients booked in the slot that begins now
		for range due / 2 {
			c.RecordReturn(now)
		}
		for range 40 {
			c.Book(now, 0, 1)
		}
	}
	if s := c.ReturnShare(); s < 0.4 || s > 0.6 {
		t.Errorf("half of the booked clients come back, but the learned share is %v", s)
	}
}

// Bookings count until their slots have passed; an hour later there are none.
func TestBookingsExpire(t *testing.T) {
	cfg := DefaultConfig(time.Second, 1)
	c := newCalendar(t, cfg, constantCapacity(100))
	c.Book(0, 0, 1)
	if !c.HasBookings(0) || c.HasBookings(time.Hour) {
		t.Errorf("has bookings: %v, an hour later: %v", c.HasBookings(0), c.HasBookings(time.Hour))
	}
}

// Over any sequence of events: the advised time lies in the future and within the span of the calendar, the counts by
// tenant add up to the bookings of each slot, the return share stays within its bounds, and the number of slots doesn't
// grow.
func TestCalendarInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Slot: 50 * ms, Slots: rapid.IntRange(2, 20).Draw(t, "slots"), Tenants: rapid.IntRange(1, 3).Draw(t, "tenants"), Reserve: 0.25}
		returnsPerSecond := rapid.Float64Range(0, 2000).Draw(t, "room")
		c, err := New(cfg, 1, constantCapacity(returnsPerSecond))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"book": func(t *rapid.T) {
				after := c.Book(now, rapid.IntRange(-1, 4).Draw(t, "tenant"), rapid.Float64Range(-1, 2).Draw(t, "worth"))
				if after <= 0 || after > cfg.Slot*time.Duration(cfg.Slots) {
					t.Fatalf("told to come after %v", after)
				}
			},
			"come": func(*rapid.T) { c.RecordReturn(now) },
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * ms },
			"": func(t *rapid.T) {
				if len(c.slots) != cfg.Slots || c.returnShare < minReturnShare || c.returnShare > 1 {
					t.Fatalf("%d slots, share %v", len(c.slots), c.returnShare)
				}
				for _, s := range c.slots {
					sum := 0
					for _, n := range s.byTenant {
						sum += n
					}
					if sum != s.booked {
						t.Fatalf("%d booked, %d by tenant", s.booked, sum)
					}
				}
			},
		})
	})
}

func TestInvalidCalendarConfigIsRejected(t *testing.T) {
	for field, cfg := range map[string]Config{"Slot:": {Slots: 2, Tenants: 1}, "Slots": {Slot: 1, Slots: 1, Tenants: 1},
		"Tenants": {Slot: 1, Slots: 2}, "Reserve": {Slot: 1, Slots: 2, Tenants: 1, Reserve: 1}} {
		if _, err := New(cfg, 0, constantCapacity(1)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// simulateStorm lets all clients send a request at the time 0. Those that are refused for lack of capacity come back
// after the time that advice returns, until they are served; recordReturn is called for each that is served. It returns
// the greatest ratio of arrivals to capacity over all steps of 0.1 s after the first, and the time by which 95 % of the
// clients had been served (-1: not within 60 s).
func simulateStorm(clients int, capacity func(from, to time.Duration) float64, advice func(now time.Duration) time.Duration, recordReturn func(now time.Duration)) (peak float64, done time.Duration) {
	const step = 100 * ms
	due := map[int]int{0: clients} // number of clients that come in a step, by number of the step
	served := 0                    // clients served so far
	for n := 0; n < 600; n++ {
		now := time.Duration(n) * step
		arrived := due[n]
		delete(due, n)
		can := capacity(now, now+step) // clients that can be served in this step
		if n > 0 && can > 0 {
			peak = max(peak, float64(arrived)/can)
		}
		ok := min(arrived, int(can))
		for range ok {
			recordReturn(now)
		}
		if served += ok; served >= clients*95/100 {
			return peak, now
		}
		for range arrived - ok {
			at := int((now + advice(now)) / step)
			due[max(at, n+1)]++
		}
	}
	return peak, -1
}

// 5,000 clients come back at once to a site that warms up. Advised by a calendar, they don't arrive in higher peaks and
// aren't served later than with jittered advice; if they may be sent away for 10 s, a step's arrivals stay within twice
// the capacity.
func TestCalendarPeaksBelowJitter(t *testing.T) {
	ramp := func(from, to time.Duration) float64 { // 30 % of 600 a second at first, all of it after 8 s
		return 600 * min(0.3+0.7*from.Seconds()/8, 1) * (to - from).Seconds()
	}
	for _, longest := range []time.Duration{time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint(longest), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 4))
			peakJ, doneJ := simulateStorm(5000, ramp, func(time.Duration) time.Duration {
				return time.Duration(float64(longest) * (0.5 + 0.5*rng.Float64()))
			}, func(time.Duration) {})
			c := newCalendar(t, DefaultConfig(longest, 1), ramp)
			peakC, doneC := simulateStorm(5000, ramp, func(now time.Duration) time.Duration { return c.Book(now, 0, 1) }, c.RecordReturn)
			t.Logf("longest advice %v: jitter peak %.1f, done after %v; calendar peak %.1f, done after %v", longest, peakJ, doneJ, peakC, doneC)
			// If all clients have to be back within a second, far more than the capacity, no advice can spread
			// them enough.
			if peakC > 1.05*peakJ || doneC > doneJ {
				t.Errorf("jitter: peak %.1f times the capacity, done after %v; calendar: %.1f, %v", peakJ, doneJ, peakC, doneC)
			}
			if longest == 10*time.Second && peakC > 2 {
				t.Errorf("a peak of %.1f times the capacity, though there was time enough to spread all clients", peakC)
			}
		})
	}
}

func BenchmarkBook(b *testing.B) {
	for _, tenants := range []int{1, 64} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			c := newCalendar(b, DefaultConfig(time.Second, tenants), constantCapacity(1000))
			for i := range b.N {
				c.Book(time.Duration(i)*ms, i%tenants, 1)
			}
		})
	}
}
