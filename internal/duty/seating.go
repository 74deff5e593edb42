package duty

import (
	"fmt"
	"slices"
	"time"
)

// Seating decides how a seat begins: whether what its disk holds may be voted by. A disk that said yes and kept nothing,
// an old copy of the folder that was put back, and a folder that is gone all look well from within; the other seats know
// what they were promised. So a seat asks them first, and says nothing in the agreement before it has heard.
type Seating struct {
	cfg   SeatingConfig
	heard map[string]CheckIn // of the other seats, the latest
	since time.Duration
}

// SeatingConfig is what a seat begins with.
type SeatingConfig struct {
	Name   string
	Seats  []string // all that may sit, this one among them; the first Voters begin
	Voters int
	ID     uint64  // of the store
	Empty  bool    // nothing was promised by it
	Has    Promise // what the disk holds; Voted is the term of Vote
	Vote   uint64  // the identity that it voted for
}

// Promise is what a seat has let another have of its log: the term and index that it said were kept, and the term in
// which it last voted for the other one.
type Promise struct{ Term, Index, Voted uint64 }

// over reports whether more was promised than there is.
func (p Promise) over(has Promise) bool {
	return has.Term < p.Term || has.Term == p.Term && has.Index < p.Index
}

// CheckIn is what a seat answers to one that begins.
type CheckIn struct {
	Seat     string
	ID       uint64
	Empty    bool              // it has promised nothing itself
	Sits     bool              // it takes part
	Seats    map[uint64]string // that sit, as it knows: by identity
	Initial  map[uint64]string // those that began, where it has begun with them
	Promised Promise           // by the one that asks, under the identity that it told, to this one
}

// Start is what a seat is to do.
type Start uint8

const (
	Wait   Start = iota // not enough is known
	Sit                 // take part with what is kept
	Begin               // be one of those that begin, with Decision.Initial
	Join                // take part with nothing, and ask to be let in as a new voter
	Forget              // what is kept can't be trusted: put it away, take another identity, and ask again
)

var startNames = [...]string{"wait", "sit", "begin", "join", "forget"}

func (s Start) String() string {
	if int(s) < len(startNames) {
		return startNames[s]
	}
	return fmt.Sprintf("start %d", uint8(s))
}

// Decision is what to do, and why.
type Decision struct {
	Start   Start
	Why     string
	Initial map[uint64]string
}

// NewSeating has heard nobody.
func NewSeating(c SeatingConfig, now time.Duration) *Seating {
	return &Seating{cfg: c, heard: map[string]CheckIn{}, since: now}
}

// Heard takes what a seat answered.
func (s *Seating) Heard(c CheckIn) {
	if c.Seat != s.cfg.Name && slices.Contains(s.cfg.Seats, c.Seat) {
		s.heard[c.Seat] = c
	}
}

// Decide says what to do by what has been heard.
func (s *Seating) Decide(now time.Duration) Decision {
	// Whoever says that more was promised than there is, is right.
	for _, name := range s.cfg.Seats {
		c, ok := s.heard[name]
		if ok && (c.Promised.Voted > s.cfg.Has.Term || c.Promised.Voted != 0 && c.Promised.Voted == s.cfg.Has.Term && s.cfg.Vote != c.ID) {
			return Decision{Start: Forget, Why: fmt.Sprintf("seat %s had its vote in term %d; the disk holds term %d, and a vote for %x",
				name, c.Promised.Voted, s.cfg.Has.Term, s.cfg.Vote)}
		}
		if ok && c.Promised.over(s.cfg.Has) {
			return Decision{Start: Forget, Why: fmt.Sprintf("seat %s was promised term %d, entry %d; the disk holds term %d, entry %d",
				name, c.Promised.Term, c.Promised.Index, s.cfg.Has.Term, s.cfg.Has.Index)}
		}
	}
	if !s.cfg.Empty {
		return s.sit(now)
	}
	return s.begin()
}

// allFor is how long a seat waits for all others: only those that it promised something know of it, and one that led may
// be the only one. After it a majority is enough: a disk that forgets while the one that led is away is not found out.
const allFor = 3 * time.Second

// sit is for a seat that holds something: all that sit, or after a while a majority of them, have to have been heard.
func (s *Seating) sit(now time.Duration) Decision {
	seats := map[uint64]string{}
	for _, c := range s.heard {
		if c.Sits && len(c.Seats) > 0 {
			seats = c.Seats
		}
	}
	of := s.cfg.Voters
	if len(seats) > 0 {
		if of = len(seats); seats[s.cfg.ID] == "" {
			return Decision{Start: Join, Why: "it no longer sits"}
		}
	}
	n := 1
	for _, c := range s.heard {
		if len(seats) == 0 || seats[c.ID] != "" {
			n++
		}
	}
	if 2*n <= of {
		return Decision{Start: Wait, Why: fmt.Sprintf("%d of %d seats were heard, itself among them", n, of)}
	}
	if n < of && now-s.since < allFor {
		return Decision{Start: Wait, Why: fmt.Sprintf("%d of %d seats were heard; for the rest it waits %v", n, of, allFor)}
	}
	return Decision{Start: Sit, Why: fmt.Sprintf("%d of %d seats know of nothing that is missing", n, of)}
}

// begin is for a seat that holds nothing: it may be the first time, or the folder is gone.
func (s *Seating) begin() Decision {
	for _, name := range s.cfg.Seats {
		c, ok := s.heard[name]
		switch {
		case !ok || c.Empty && !c.Sits:
		case c.Initial[s.cfg.ID] != "" && c.Seats[s.cfg.ID] != "": // the others have just begun with it
			return Decision{Start: Begin, Why: "seat " + name + " has begun with it", Initial: c.Initial}
		default:
			return Decision{Start: Join, Why: "seat " + name + " holds an agreement in which this one has no part"}
		}
	}
	initial := map[uint64]string{}
	first := s.cfg.Seats[:min(s.cfg.Voters, len(s.cfg.Seats))]
	for _, name := range first {
		if name == s.cfg.Name {
			initial[s.cfg.ID] = name
			continue
		}
		c, ok := s.heard[name]
		if !ok {
			return Decision{Start: Wait, Why: "seat " + name + " was not heard, and all that begin have to be there the first time"}
		}
		initial[c.ID] = name
	}
	switch {
	case !slices.Contains(first, s.cfg.Name):
		return Decision{Start: Wait, Why: "it is a spare seat, and nobody has begun"}
	case len(initial) != len(first):
		return Decision{Start: Wait, Why: "two seats have one identity"}
	}
	return Decision{Start: Begin, Why: "all seats are empty", Initial: initial}
}

// Replace says which seat is to go and which to come, at the seat that leads: one at a time, and only while the rest is a
// majority without it. dead says for how long the fleet's members have held a seat for dead, and which seats live; a seat
// under a new identity comes first.
func Replace(seats map[uint64]string, all []string, came map[string]uint64, dead map[string]time.Duration, lives map[string]bool, after time.Duration) (out uint64, in uint64, name string) {
	living := 0
	for _, n := range seats {
		if _, gone := dead[n]; !gone {
			living++
		}
	}
	sits := map[string]uint64{}
	for id, n := range seats {
		sits[n] = id
	}
	if 2*living <= len(seats) {
		return 0, 0, ""
	}
	for _, n := range all { // its folder is gone: it has come back as another
		if id, old := came[n], sits[n]; id != 0 && old != 0 && id != old {
			return old, id, n
		}
	}
	for _, n := range all {
		old := sits[n]
		if old == 0 || dead[n] < after || dead[n] == 0 {
			continue
		}
		for _, spare := range all {
			if id := came[spare]; id != 0 && sits[spare] == 0 && lives[spare] {
				return old, id, spare
			}
		}
	}
	return 0, 0, ""
}
