package duty

import (
	"fmt"
	"slices"
	"time"
)

// StartupCheck decides how a voter starts: whether the votes and the log on its disk can be relied upon. A disk
// that confirmed syncs without storing the data, a restored old copy of the folder, and a lost folder all look
// valid locally; only the other voters know what they were promised. So a voter asks them first, and takes no
// part in the quorum before they have answered.
type StartupCheck struct {
	cfg       StartupConfig
	replies   map[string]CheckInReply // the latest reply of each other voter, by its name
	startedAt time.Duration           // when the check began, on the caller's clock
}

// StartupConfig is what a voter knows about itself when it starts.
type StartupConfig struct {
	Name       string   // this voter's name
	Candidates []string // all candidates, this one included; the first Voters of them form the initial quorum
	Voters     int      // size of the initial quorum
	ID         uint64   // identity of the store
	Empty      bool     // the store has promised nothing
	Stored     Promise  // term and last log entry on the disk; Voted is the term of Vote
	Vote       uint64   // identity of the voter that got this voter's vote in that term; 0: no vote
}

// Promise is what a voter has promised to another one: the term and index of the log that it confirmed as
// stored, and the term in which it last voted for the other one.
type Promise struct{ Term, Index, Voted uint64 }

// exceeds reports whether the promised term and index are beyond those that are stored.
func (p Promise) exceeds(has Promise) bool {
	return has.Term < p.Term || has.Term == p.Term && has.Index < p.Index
}

// CheckInReply is a voter's reply to a check-in: the question of a voter that starts, what it promised to the
// replying voter under its stored identity.
type CheckInReply struct {
	Seat    string            // name of the replying voter
	ID      uint64            // its identity
	Empty   bool              // the replying voter has promised nothing itself
	Sits    bool              // the replying voter takes part in the quorum
	Seats   map[uint64]string // the current members of the quorum as the replying voter knows them, by identity
	Initial map[uint64]string // the initial members, if the replying voter was one of them
	// What the voter that is starting, under the identity that it sent, promised to the replying voter.
	Promised Promise
}

// StartAction is what a starting voter has to do.
type StartAction uint8

const (
	Wait      StartAction = iota // not enough is known yet
	Resume                       // take part with the stored log and votes
	Bootstrap                    // form the initial quorum with Decision.Initial
	Join                         // start empty, and ask to be admitted as a new voter
	Discard                      // the stored data can't be trusted: set it aside, take a new identity, and ask again
)

// startNames are the actions' names in reports and logs, in the order of the constants.
var startNames = [...]string{"wait", "sit", "begin", "join", "forget"}

func (s StartAction) String() string {
	if int(s) < len(startNames) {
		return startNames[s]
	}
	return fmt.Sprintf("start %d", uint8(s))
}

// Decision is the action to take, and the reason.
type Decision struct {
	Start   StartAction
	Why     string            // why this action is taken
	Initial map[uint64]string // for Bootstrap: names of the initial quorum's members, by identity
}

// NewStartupCheck returns a StartupCheck that has received no replies.
func NewStartupCheck(c StartupConfig, now time.Duration) *StartupCheck {
	return &StartupCheck{cfg: c, replies: map[string]CheckInReply{}, startedAt: now}
}

// AddReply records the reply of another voter in place of its earlier one. A reply under a name that is no
// other candidate's is ignored.
func (s *StartupCheck) AddReply(c CheckInReply) {
	if c.Seat != s.cfg.Name && slices.Contains(s.cfg.Candidates, c.Seat) {
		s.replies[c.Seat] = c
	}
}

// Decide returns the action that follows from the replies received so far.
func (s *StartupCheck) Decide(now time.Duration) Decision {
	// A reply that claims a promise beyond the stored vote, term or last entry always leads to Discard: the
	// disk has lost what this voter promised.
	for _, name := range s.cfg.Candidates {
		c, ok := s.replies[name]
		if ok && (c.Promised.Voted > s.cfg.Stored.Term || c.Promised.Voted != 0 && c.Promised.Voted == s.cfg.Stored.Term && s.cfg.Vote != c.ID) {
			return Decision{Start: Discard, Why: fmt.Sprintf("seat %s had its vote in term %d; the disk holds term %d, and a vote for %x",
				name, c.Promised.Voted, s.cfg.Stored.Term, s.cfg.Vote)}
		}
		if ok && c.Promised.exceeds(s.cfg.Stored) {
			return Decision{Start: Discard, Why: fmt.Sprintf("seat %s was promised term %d, entry %d; the disk holds term %d, entry %d",
				name, c.Promised.Term, c.Promised.Index, s.cfg.Stored.Term, s.cfg.Stored.Index)}
		}
	}
	if !s.cfg.Empty {
		return s.resumeDecision(now)
	}
	return s.bootstrapDecision()
}

// waitForAll is how long a restarting voter waits for replies of all members: only those that it promised
// something know of the promise, and a former leader may be the only one. After it a majority is enough, at
// the risk that lost promises to a leader that is away go unnoticed.
const waitForAll = 3 * time.Second

// resumeDecision decides for a voter with a stored log: Join if it was replaced in the quorum meanwhile,
// Resume once every member has replied or, after waitForAll, a majority, otherwise Wait.
func (s *StartupCheck) resumeDecision(now time.Duration) Decision {
	seats := map[uint64]string{} // names of the quorum's members, by identity, as a replying voter knows them
	for _, c := range s.replies {
		if c.Sits && len(c.Seats) > 0 {
			seats = c.Seats
		}
	}
	size := s.cfg.Voters
	if len(seats) > 0 {
		if size = len(seats); seats[s.cfg.ID] == "" {
			return Decision{Start: Join, Why: "it no longer sits"}
		}
	}
	replies := 1 // this voter counts as one
	for _, c := range s.replies {
		if len(seats) == 0 || seats[c.ID] != "" {
			replies++
		}
	}
	if 2*replies <= size {
		return Decision{Start: Wait, Why: fmt.Sprintf("%d of %d seats were heard, itself among them", replies, size)}
	}
	if replies < size && now-s.startedAt < waitForAll {
		return Decision{Start: Wait, Why: fmt.Sprintf("%d of %d seats were heard; for the rest it waits %v", replies, size, waitForAll)}
	}
	return Decision{Start: Resume, Why: fmt.Sprintf("%d of %d seats know of nothing that is missing", replies, size)}
}

// bootstrapDecision decides for a voter with an empty store, which starts for the first time or has lost its
// folder: Bootstrap if the initial quorum has to be formed or was just formed with it, Join if another quorum
// exists, otherwise Wait.
func (s *StartupCheck) bootstrapDecision() Decision {
	for _, name := range s.cfg.Candidates {
		c, ok := s.replies[name]
		switch {
		case !ok || c.Empty && !c.Sits:
		// The others have just formed the initial quorum with this voter.
		case c.Initial[s.cfg.ID] != "" && c.Seats[s.cfg.ID] != "":
			return Decision{Start: Bootstrap, Why: "seat " + name + " has begun with it", Initial: c.Initial}
		default:
			return Decision{Start: Join, Why: "seat " + name + " holds an agreement in which this one has no part"}
		}
	}
	initial := map[uint64]string{}
	first := s.cfg.Candidates[:min(s.cfg.Voters, len(s.cfg.Candidates))]
	for _, name := range first {
		if name == s.cfg.Name {
			initial[s.cfg.ID] = name
			continue
		}
		c, ok := s.replies[name]
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
	return Decision{Start: Bootstrap, Why: "all seats are empty", Initial: initial}
}

// PlanReplacement returns which member of the quorum, if any, the leader should replace and by which candidate: one at
// a time, and only while the members that aren't dead form a majority. seats are the members by identity,
// joining the identities of candidates that ask to be admitted, dead says for how long the fleet's membership
// has considered a candidate dead, alive which candidates are alive, and minDead is how long a member has to
// be dead before it is replaced. A member that returned under a new identity is replaced first.
func PlanReplacement(seats map[uint64]string, all []string, joining map[string]uint64, dead map[string]time.Duration, alive map[string]bool, minDead time.Duration) (out uint64, in uint64, name string) {
	notDead := 0
	for _, n := range seats {
		if _, gone := dead[n]; !gone {
			notDead++
		}
	}
	memberIDs := map[string]uint64{}
	for id, n := range seats {
		memberIDs[n] = id
	}
	if 2*notDead <= len(seats) {
		return 0, 0, ""
	}
	for _, n := range all { // the folder was lost: the candidate has returned under a new identity
		if id, old := joining[n], memberIDs[n]; id != 0 && old != 0 && id != old {
			return old, id, n
		}
	}
	for _, n := range all {
		old := memberIDs[n]
		if old == 0 || dead[n] < minDead || dead[n] == 0 {
			continue
		}
		for _, spare := range all {
			if id := joining[spare]; id != 0 && memberIDs[spare] == 0 && alive[spare] {
				return old, id, spare
			}
		}
	}
	return 0, 0, ""
}
