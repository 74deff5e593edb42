package scale

import (
	"context"
	"fmt"
	"io"
	"time"

	"lemonrail/internal/member/membersim"
)

// SimulatedMembers runs the membership protocol in simulated time.
type SimulatedMembers struct {
	FleetSizes    []int         // fleet sizes
	LossTime      time.Duration // simulated time of the runs without loss and with 30 % loss
	PartitionTime time.Duration // simulated time of a partition of the two regions
	Seed          uint64
	Logf          func(format string, args ...any)
}

const lossShare = 0.3

// regionCount is the number of regions. Members are assigned to regions, and to the zones, in turn.
const regionCount = 2

// cutRegions cuts all links between members of different regions.
func cutRegions(int) func(from, to int) bool {
	return func(from, to int) bool { return from%regionCount != to%regionCount }
}

// Run measures all fleet sizes.
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

// row appends the results of one case to the series.
func (o SimulatedMembers) row(set *seriesSet, name string, r *membersim.Row) {
	x := float64(r.Members)
	set.add(name+", false deaths", "", x, float64(r.FalseDeaths))
	set.add(name+", changes a member-minute", "/min", x, r.Changes)
	set.add(name+", datagrams a member-second", "/s", x, r.Datagrams)
	set.add(name+", bytes a member-second", "B/s", x, r.Bytes)
	set.add(name+", time of the decisions a member-second (of the clock)", "us", x, 1e6*r.RealSeconds/(r.MemberHours*3600))
}
