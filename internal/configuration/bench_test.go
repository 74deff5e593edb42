package configuration

import (
	"fmt"
	"testing"
	"time"
)

// benchDocument returns a document of typical size: the classes of the start file with a few fields each.
func benchDocument(worth float64) *Document {
	_, names := startSettings()
	d := &Document{Format: Format, Classes: map[string]ClassDocument{}, Limits: &LimitsDocument{Attempts: pointer(2)}}
	for _, name := range names.Classes {
		d.Classes[name] = ClassDocument{AimMs: pointer(20.0), Worth: pointer(worth), LateWorth: pointer(0.1)}
	}
	return d
}

// BenchmarkRegistryApply measures how a replica applies one change.
func BenchmarkRegistryApply(b *testing.B) {
	r := NewRegistry(FleetGroup)
	for i := 0; b.Loop(); i++ {
		command, err := EncodeChange(newChange(fmt.Sprint("c", i), Fleet, uint64(i), benchDocument(float64(i))))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := DecodeResult(r.Apply(1, command)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRegistryUpdates measures one change and the encoding of its updates for 113 agents, a quarter of
// 450, which watch a machine and are one revision behind.
func BenchmarkRegistryUpdates(b *testing.B) {
	r := NewRegistry(FleetGroup)
	bytes := 0
	for i := 0; b.Loop(); i++ {
		command, err := EncodeChange(newChange(fmt.Sprint("c", i), Fleet, uint64(i), benchDocument(float64(i))))
		if err != nil {
			b.Fatal(err)
		}
		r.Apply(1, command)
		for range 113 {
			for _, u := range r.Updates(Fleet, Position{uint64(i), 1}) {
				line, err := jsonLine(u)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(line)
			}
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N)/113, "bytes/agent")
}

// BenchmarkFollower measures how an agent processes a change: it takes the update, checks all five scopes,
// puts the document in force, reports, and encodes the state to save.
func BenchmarkFollower(b *testing.B) {
	r := NewRegistry(FleetGroup)
	f := NewFollower(testPlace, checkAgainstStart)
	for _, scope := range testPlace.Scopes()[1:] {
		document := benchDocument(1).Canonical()
		f.Receive(Update{Scope: scope, Position: Position{1, 1}, Patch: document, Digest: Digest(document)})
	}
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		command, err := EncodeChange(newChange(fmt.Sprint("c", i), Fleet, uint64(i), benchDocument(float64(i))))
		if err != nil {
			b.Fatal(err)
		}
		r.Apply(1, command)
		updates := r.Updates(Fleet, f.Positions()[Fleet])
		b.StartTimer()
		for _, u := range updates {
			f.Receive(u)
		}
		effective, ok := f.Pending()
		if !ok {
			b.Fatal("nothing is pending")
		}
		f.Applied(effective)
		f.Report()
		if _, err := f.MarshalState(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkInForce measures the computation of the status of one revision from the agents' statuses that four
// machines have.
func BenchmarkInForce(b *testing.B) {
	for _, agents := range []int{450, 2000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			trackers := []*Tracker{NewTracker("m1", 0), NewTracker("m2", 0), NewTracker("m3", 0), NewTracker("m4", 0)}
			for i := range agents {
				tracker, name := trackers[i%4], fmt.Sprint("a", i)
				if err := tracker.Connected(agentPlace(name), time.Second); err != nil {
					b.Fatal(err)
				}
				if err := tracker.Reported(reportOf(name, 5), 2*time.Second); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				var all [][]AgentStatus
				for _, tracker := range trackers {
					all = append(all, tracker.Statuses(3*time.Second))
				}
				if !InForce(Fleet, Position{5, 1}, all, nil).Everywhere {
					b.Fatal("not in force")
				}
			}
		})
	}
}
