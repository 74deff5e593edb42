package scale

import (
	"context"
	"testing"
	"time"

	"lemonrail/internal/configuration/rig"
)

// Settings reach every agent under each fault, and the bytes per agent and change don't depend on the fleet size.
func TestHollowConfiguration(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	dir := t.TempDir()
	program, err := rig.Build(ctx, dir)
	if err != nil {
		t.Fatal(err)
	}
	const small, large = 6, 24
	series, err := HollowConfiguration{Program: program, FleetSizes: []int{small, large}, RestTime: 2 * time.Second, Changes: 3, Burst: 5, Faults: true,
		Dir: dir, Seed: 1, Logf: t.Logf}.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	byName := map[string]*Series{}
	for _, s := range series {
		if byName[s.Name] = s; len(s.Points) != 2 {
			t.Errorf("%s was measured at %d sizes", s.Name, len(s.Points))
		}
	}
	for _, name := range []string{
		"all start at once: in force everywhere, as control says",
		"a change each 100 ms, the last until control says everywhere",
		"nine in ten restart, a change: control says everywhere",
		"30 % of connections lost, a change: control says everywhere",
		"a control machine is killed and back: control says everywhere",
		"regions apart: a change of region a's in force there, worst",
		"regions apart: a change of region b's in force there, worst",
		"regions meet again, a change of the fleet's: control says everywhere",
	} {
		if byName[name] == nil {
			t.Errorf("%s: not measured", name)
		}
	}
	const budget = 6000 // bytes per second for all control traffic of an agent
	if rest := byName["at rest, bytes to an agent a second"]; rest.Points[1].Y > budget {
		t.Errorf("at rest an agent gets %v", rest.Points)
	}
	change := byName["a change, bytes to and from an agent"]
	if few, many := change.Points[0].Y, change.Points[1].Y; many > 1.5*few || few > 1.5*many {
		t.Errorf("a change costs an agent of %d %.0f bytes, of %d %.0f", small, few, large, many)
	}
}
