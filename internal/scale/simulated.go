package scale

import (
	"context"
	"fmt"
	"io"
	"time"

	"lemonrail/internal/member/arena"
)

// SimulatedMembers runs the membership's decisions alone, in simulated time.
type SimulatedMembers struct {
	Sizes []int
	Lossy time.Duration // simulated, at 30 % loss
	Apart time.Duration // for which the two regions can't reach each other
	Seed  uint64
	Say   func(format string, args ...any)
}

const lossShare = 0.3

// Regions is how many the fleet has; members are in them in turn, and in their zones.
const Regions = 2

// regionsApart cuts all links between members of different regions.
func regionsApart(int) func(from, to int) bool {
	return func(from, to int) bool { return from%Regions != to%Regions }
}

// Run measures all sizes.
func (o SimulatedMembers) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Simulated, "members", "membership as shipped, 8 zones")
	ours := arena.Protocol{Name: "this", Make: arena.Ours(len(Sites), nil)}
	for _, n := range o.Sizes {
		cases := []arena.Case{
			{Name: "all is well", Members: n, Span: o.Lossy},
			{Name: "30 % lost", Members: n, Span: o.Lossy, Loss: lossShare},
			{Name: fmt.Sprintf("two regions apart for %v", o.Apart), Members: n, Span: o.Apart, Cut: regionsApart},
		}
		for _, c := range cases {
			o.Say("simulated time: %d members, %s", n, c.Name)
			rows, err := arena.Compare(ctx, []arena.Case{c}, []arena.Protocol{ours}, o.Seed, io.Discard)
			if err != nil {
				return nil, err
			}
			o.row(set, c.Name, &rows[0])
		}
	}
	return set.fit()
}

func (o SimulatedMembers) row(set *seriesSet, name string, r *arena.Row) {
	x := float64(r.Members)
	set.add(name+", false deaths", "", x, float64(r.FalseDeaths))
	set.add(name+", changes a member-minute", "/min", x, r.Changes)
	set.add(name+", datagrams a member-second", "/s", x, r.Datagrams)
	set.add(name+", bytes a member-second", "B/s", x, r.Bytes)
	set.add(name+", processor time of the decisions a member-second", "us", x, 1e6*r.RealSeconds/(r.MemberHours*3600))
}
