package duty

import (
	"testing"
	"time"
)

func TestHowASeatBegins(t *testing.T) {
	three := []string{"s1", "s2", "s3", "s4"}
	sits := map[uint64]string{1: "s1", 2: "s2", 3: "s3"}
	for _, tt := range []struct {
		name  string
		own   SeatingConfig
		heard []CheckIn
		want  Start
		at    time.Duration
	}{
		{"the first time, all there", SeatingConfig{Name: "s1", ID: 1, Empty: true}, []CheckIn{{Seat: "s2", ID: 2, Empty: true}, {Seat: "s3", ID: 3, Empty: true}}, Begin, 0},
		{"the first time, one missing", SeatingConfig{Name: "s1", ID: 1, Empty: true}, []CheckIn{{Seat: "s2", ID: 2, Empty: true}}, Wait, 0},
		{"the others have begun with it", SeatingConfig{Name: "s1", ID: 1, Empty: true}, []CheckIn{{Seat: "s2", ID: 2, Sits: true, Seats: sits, Initial: sits}}, Begin, 0},
		{"the folder is gone", SeatingConfig{Name: "s1", ID: 9, Empty: true}, []CheckIn{{Seat: "s2", ID: 2, Sits: true, Seats: sits, Initial: sits}}, Join, 0},
		{"the folder is gone, and another seat begins too", SeatingConfig{Name: "s1", ID: 9, Empty: true}, []CheckIn{{Seat: "s2", ID: 2}, {Seat: "s3", ID: 3, Empty: true}}, Join, 0},
		{"a spare seat before anybody has begun", SeatingConfig{Name: "s4", ID: 4, Empty: true}, []CheckIn{{Seat: "s2", ID: 2, Empty: true}, {Seat: "s1", ID: 1, Empty: true}, {Seat: "s3", ID: 3, Empty: true}}, Wait, 0},
		{"started again, alone", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 9, 0}}, nil, Wait, 0},
		{"started again, one other heard", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 9, 0}}, []CheckIn{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 0}}}, Wait, 0},
		{"started again, one other heard, and long gone by", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 9, 0}}, []CheckIn{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 0}}}, Sit, allFor},
		{"started again, all heard", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 9, 0}}, []CheckIn{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 0}}, {Seat: "s3", ID: 3}}, Sit, 0},
		{"the disk has forgotten an entry", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 8, 0}}, []CheckIn{{Seat: "s2", ID: 2, Sits: true, Seats: sits, Promised: Promise{3, 9, 0}}}, Forget, 0},
		{"the disk has forgotten a vote", SeatingConfig{Name: "s1", ID: 1, Has: Promise{2, 9, 0}}, []CheckIn{{Seat: "s2", ID: 2, Promised: Promise{3, 0, 0}}}, Forget, 0},
		{"the disk has forgotten a vote of its term", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 9, 0}}, []CheckIn{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 3}}}, Forget, 0},
		{"it holds that vote", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 9, 3}, Vote: 2}, []CheckIn{{Seat: "s2", ID: 2, Promised: Promise{3, 9, 3}}}, Sit, allFor},
		{"all that it promised is gone but its identity", SeatingConfig{Name: "s1", ID: 1, Empty: true}, []CheckIn{{Seat: "s2", ID: 2, Sits: true, Seats: sits, Initial: sits, Promised: Promise{1, 4, 0}}}, Forget, 0},
		{"it was replaced meanwhile", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 9, 0}}, []CheckIn{{Seat: "s2", ID: 2, Sits: true, Seats: map[uint64]string{2: "s2", 3: "s3", 4: "s4"}}}, Join, 0},
		{"a stranger says otherwise", SeatingConfig{Name: "s1", ID: 1, Has: Promise{3, 9, 0}}, []CheckIn{{Seat: "x", ID: 2, Promised: Promise{9, 9, 0}}}, Wait, 0},
	} {
		c := tt.own
		c.Seats, c.Voters = three, 3
		s := NewSeating(c, 0)
		for _, h := range tt.heard {
			s.Heard(h)
		}
		if d := s.Decide(tt.at); d.Start != tt.want || d.Why == "" {
			t.Errorf("%s: %v (%s), want %v", tt.name, d.Start, d.Why, tt.want)
		}
	}
}

func TestWhoIsReplaced(t *testing.T) {
	seats, all := map[uint64]string{1: "s1", 2: "s2", 3: "s3"}, []string{"s1", "s2", "s3", "s4"}
	lives := map[string]bool{"s4": true}
	for _, tt := range []struct {
		name    string
		came    map[string]uint64
		dead    map[string]time.Duration
		out, in uint64
	}{
		{"all well", map[string]uint64{"s4": 4}, nil, 0, 0},
		{"a folder is gone", map[string]uint64{"s2": 22, "s4": 4}, nil, 2, 22},
		{"dead for a short while", map[string]uint64{"s4": 4}, map[string]time.Duration{"s3": time.Second}, 0, 0},
		{"dead for long", map[string]uint64{"s4": 4}, map[string]time.Duration{"s3": time.Hour}, 3, 4},
		{"dead for long, and no spare", map[string]uint64{}, map[string]time.Duration{"s3": time.Hour}, 0, 0},
		{"two dead: no majority is left to decide", map[string]uint64{"s4": 4}, map[string]time.Duration{"s3": time.Hour, "s2": time.Hour}, 0, 0},
	} {
		if out, in, _ := Replace(seats, all, tt.came, tt.dead, lives, time.Minute); out != tt.out || in != tt.in {
			t.Errorf("%s: %d goes, %d comes; want %d and %d", tt.name, out, in, tt.out, tt.in)
		}
	}
}
