package duty

import (
	"testing"
	"time"
)

// Each case is a starting voter, the replies to its check-in, and the action that must follow.
func TestStartupDecisions(t *testing.T) {
	three := []string{"s1", "s2", "s3", "s4"} // the candidates: the first three form the initial quorum, the fourth is a spare
	members := map[uint64]string{1: "s1", 2: "s2", 3: "s3"}
	for _, tt := range []struct {
		name    string
		own     StartupConfig
		replies []CheckInReply
		want    StartAction
		at      time.Duration // time since the check began
	}{
		{"first start, all have answered", StartupConfig{Name: "s1", ID: 1, Empty: true}, []CheckInReply{{Seat: "s2", ID: 2, Empty: true}, {Seat: "s3", ID: 3, Empty: true}}, Bootstrap, 0},
		{"first start, one has not answered", StartupConfig{Name: "s1", ID: 1, Empty: true}, []CheckInReply{{Seat: "s2", ID: 2, Empty: true}}, Wait, 0},
		{"first start, the others have formed the quorum with it", StartupConfig{Name: "s1", ID: 1, Empty: true}, []CheckInReply{{Seat: "s2", ID: 2, Sits: true, Seats: members, Initial: members}}, Bootstrap, 0},
		{"the folder was lost", StartupConfig{Name: "s1", ID: 9, Empty: true}, []CheckInReply{{Seat: "s2", ID: 2, Sits: true, Seats: members, Initial: members}}, Join, 0},
		{"the folder was lost, and another voter starts too", StartupConfig{Name: "s1", ID: 9, Empty: true}, []CheckInReply{{Seat: "s2", ID: 2}, {Seat: "s3", ID: 3, Empty: true}}, Join, 0},
		{"a spare before the quorum has formed", StartupConfig{Name: "s4", ID: 4, Empty: true}, []CheckInReply{{Seat: "s2", ID: 2, Empty: true}, {Seat: "s1", ID: 1, Empty: true}, {Seat: "s3", ID: 3, Empty: true}}, Wait, 0},
		{"restarted, no answers", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 9, 0}}, nil, Wait, 0},
		{"restarted, one other has answered", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 9, 0}}, []CheckInReply{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 0}}}, Wait, 0},
		{"restarted, one other has answered, and the wait is over", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 9, 0}}, []CheckInReply{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 0}}}, Resume, waitForAll},
		{"restarted, all have answered", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 9, 0}}, []CheckInReply{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 0}}, {Seat: "s3", ID: 3}}, Resume, 0},
		{"the disk lost an entry", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 8, 0}}, []CheckInReply{{Seat: "s2", ID: 2, Sits: true, Seats: members, Promised: Promise{3, 9, 0}}}, Discard, 0},
		{"the disk lost a vote", StartupConfig{Name: "s1", ID: 1, Stored: Promise{2, 9, 0}}, []CheckInReply{{Seat: "s2", ID: 2, Promised: Promise{3, 0, 0}}}, Discard, 0},
		{"the disk lost a vote of its current term", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 9, 0}}, []CheckInReply{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 3}}}, Discard, 0},
		{"the disk holds the vote of its current term", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 9, 3}, Vote: 2}, []CheckInReply{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 3}}}, Resume, waitForAll},
		{"everything but the identity was lost", StartupConfig{Name: "s1", ID: 1, Empty: true}, []CheckInReply{{Seat: "s2", ID: 2, Sits: true, Seats: members, Initial: members, Promised: Promise{1, 4, 0}}}, Discard, 0},
		{"replaced while it was down", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 9, 0}}, []CheckInReply{{Seat: "s2", ID: 2, Sits: true, Seats: map[uint64]string{2: "s2", 3: "s3", 4: "s4"}}}, Join, 0},
		{"an unknown voter claims a promise", StartupConfig{Name: "s1", ID: 1, Stored: Promise{3, 9, 0}}, []CheckInReply{{Seat: "x", ID: 2, Promised: Promise{9, 9, 0}}}, Wait, 0},
	} {
		c := tt.own
		c.Candidates, c.Voters = three, 3
		s := NewStartupCheck(c, 0)
		for _, h := range tt.replies {
			s.AddReply(h)
		}
		if d := s.Decide(tt.at); d.Start != tt.want || d.Why == "" {
			t.Errorf("%s: %v (%s), want %v", tt.name, d.Start, d.Why, tt.want)
		}
	}
}

// Each case says which candidates ask to be admitted and which are dead, and which identity must be replaced
// by which; 0: none.
func TestReplace(t *testing.T) {
	seats, all := map[uint64]string{1: "s1", 2: "s2", 3: "s3"}, []string{"s1", "s2", "s3", "s4"}
	lives := map[string]bool{"s4": true}
	for _, tt := range []struct {
		name    string
		came    map[string]uint64 // identities of the candidates that ask to be admitted, by name
		dead    map[string]time.Duration
		out, in uint64
	}{
		{"nobody is dead", map[string]uint64{"s4": 4}, nil, 0, 0},
		{"a member lost its folder", map[string]uint64{"s2": 22, "s4": 4}, nil, 2, 22},
		{"dead for less than minDead", map[string]uint64{"s4": 4}, map[string]time.Duration{"s3": time.Second}, 0, 0},
		{"dead for longer than minDead", map[string]uint64{"s4": 4}, map[string]time.Duration{"s3": time.Hour}, 3, 4},
		{"dead for longer than minDead, no spare", map[string]uint64{}, map[string]time.Duration{"s3": time.Hour}, 0, 0},
		{"two dead: no majority is left", map[string]uint64{"s4": 4}, map[string]time.Duration{"s3": time.Hour, "s2": time.Hour}, 0, 0},
	} {
		if out, in, _ := PlanReplacement(seats, all, tt.came, tt.dead, lives, time.Minute); out != tt.out || in != tt.in {
			t.Errorf("%s: replaced %d by %d, want %d by %d", tt.name, out, in, tt.out, tt.in)
		}
	}
}
