package scale

import (
	"context"
	"fmt"
	"io"
	"time"

	"lemonrail/internal/member/membersim"
)

// SimulatedMembers simulates the membership protocol (internal/member) and measures false deaths and traffic for several
// fleet sizes.
type SimulatedMembers struct {
	FleetSizes    []int         // numbers of members
	LossTime      time.Duration // simulated time of the cases without a fault and with packet loss
	PartitionTime time.Duration // simulated time of the case in which the two regions can't reach each other
	Seed          uint64
	Logf          func(format string, args ...any)
}

const lossShare = 0.3 // share of datagrams lost in the case with packet loss

// regionCount is the number of regions. Member i is in region i modulo regionCount; zones are assigned in the same way.
const regionCount = 2

// cutRegions is a membersim.Case.Cut: datagrams between members of different regions are lost. The number of members
// doesn't matter.
func cutRegions(int) func(from, to int) bool {
	return func(from, to int) bool { return from%regionCount != to%regionCount }
}

// Run simulates membership for each fleet size in three cases (no fault, packet loss, a partition of the regions) and
// returns series of traffic, processor time and false deaths, with the fleet size as X.
func (o SimulatedMembers) Run(ctx context.Context) ([]*Series, error) {
	set := newSeriesSet(Simulated, "members", "membership as shipped, 8 zones")
	ours := membersim.Protocol{Name: "this", Make: membersim.Membership(len(siteNames), nil)}
	for _, n := range o.FleetSizes {
		cases := []membersim.Case{
			{Name: "all is well", Members: n, Span: o.LossTime},
			{Name: "30 % lost", Members: n, Span: o.LossTime, Loss: lossShare},
			{Name: fmt.Sprintf("two regions apart for %v", o.PartitionTime), Members: n, Span: o.PartitionTime, Cut: cutRegions},
		}
		for _, c := range cases {
			o.Logf("simulated time: %d members, %s", n, c.Name)
			rows, err := membersim.Compare(ctx, []membersim.Case{c}, []membersim.Protocol{ours}, o.Seed, io.Discard)
			if err != nil {
				return nil, err
			}
			o.row(set, c.Name, &rows[0])
		}
	}
	return set.fit()
}

// row appends the false deaths, changes of views, traffic and processor time of one case to the series named after the case.
func (o SimulatedMembers) row(set *seriesSet, name string, r *membersim.CaseResult) {
	x := float64(r.Members)
	set.add(name+", false deaths", "", x, float64(r.FalseDeaths))
	set.add(name+", changes a member-minute", "/min", x, r.Changes)
	set.add(name+", datagrams a member-second", "/s", x, r.Datagrams)
	set.add(name+", bytes a member-second", "B/s", x, r.Bytes)
	set.add(name+", time of the decisions a member-second (of the clock)", "us", x, 1e6*r.RealSeconds/(r.MemberHours*3600))
}
