package configuration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

// startSettings returns the settings and names of the start file that the tests' agents have.
func startSettings() (balance.Settings, wire.Names) {
	names := wire.Names{Classes: []string{"point-read", "scan", "write"}, Tenants: []string{"web", "batch"}}
	settings := balance.Settings{
		Balancers: 450, Self: 7, Zone: 1, Zones: 4,
		Classes: []balance.Class{
			{Aim: 50 * time.Millisecond, Deadline: 400 * time.Millisecond, Worth: 1, LateWorth: 0.5},
			{Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 3, LateWorth: 0.25},
			{Aim: 100 * time.Millisecond, Deadline: time.Second, Worth: 5, LateWorth: 0.1, Effect: balance.Unsafe},
		},
		Tenants:     []balance.Tenant{{PerSecond: 100, Portion: 0.7}, {PerSecond: 20, Portion: 0.3}},
		OverShare:   0.2,
		MaxAttempts: 3, MaxRetryAfter: 2 * time.Second,
		ColdShare: 0.3, RampTime: 10 * time.Second, FallMultiple: 3, FallWindow: 500 * time.Millisecond,
	}
	return settings, names
}

// checkAgainstStart returns an error if a document can't be applied to startSettings.
func checkAgainstStart(d *Document) error {
	_, err := d.Apply(startSettings())
	return err
}

var testPlace = Place{Agent: "a1", Region: "east", Zone: "e1", Service: "cart"}

func pointer[T any](value T) *T { return &value }

func mustParse(t *testing.T, text string) *Document {
	t.Helper()
	d, err := ParseDocument([]byte(text))
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return d
}

// randomDocument returns a document with a random subset of the fields set, to values that pass
// checkAgainstStart.
func randomDocument(rng *rand.Rand) *Document {
	_, names := startSettings()
	d := &Document{Format: Format, Classes: map[string]ClassDocument{}, Tenants: map[string]TenantDocument{}}
	for _, name := range names.Classes {
		d.Classes[name] = ClassDocument{
			AimMs:     maybe(rng, float64(1+rng.IntN(50))),
			Worth:     maybe(rng, rng.Float64()*9),
			LateWorth: maybe(rng, rng.Float64()),
		}
	}
	for _, name := range names.Tenants {
		d.Tenants[name] = TenantDocument{PerSecond: maybe(rng, float64(rng.IntN(1000))), Portion: maybe(rng, rng.Float64())}
	}
	d.Limits = &LimitsDocument{Attempts: maybe(rng, 1+rng.IntN(5)), SecondCopies: maybe(rng, rng.IntN(2) == 0)}
	d.Cold = &ColdDocument{From: maybe(rng, 0.1+rng.Float64()/2), RampMs: maybe(rng, float64(rng.IntN(20000)))}
	return d
}

// maybe returns a pointer to value in one of three cases, otherwise nil.
func maybe[T any](rng *rand.Rand, value T) *T {
	if rng.IntN(3) > 0 {
		return nil
	}
	return &value
}

// longDocument returns a document with that many classes of about 50 bytes each. No start file has classes of
// these names.
func longDocument(classes int, aim float64) *Document {
	d := &Document{Format: Format, Classes: map[string]ClassDocument{}}
	for i := range classes {
		d.Classes[fmt.Sprintf("class-%04d-é<%d>", i, i)] = ClassDocument{AimMs: pointer(aim), Worth: pointer(float64(i))}
	}
	return d
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// put applies a change to a registry in encoded form, as a log entry of the given epoch.
func put(t *testing.T, r *Registry, epoch uint64, c Change) (Accepted, error) {
	t.Helper()
	command, err := EncodeChange(c)
	if err != nil {
		t.Fatalf("encode %+v: %v", c, err)
	}
	return DecodeResult(r.Apply(epoch, command))
}

func mustPut(t *testing.T, r *Registry, epoch uint64, c Change) Accepted {
	t.Helper()
	if err := r.Check(c); err != nil {
		t.Fatalf("check: %v", err)
	}
	accepted, err := put(t, r, epoch, c)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	return accepted
}

// newChange returns a change that replaces the document of a scope.
func newChange(id string, scope Scope, base uint64, d *Document) Change {
	return Change{ID: id, Scope: scope, Base: base, Document: d.Canonical(), Author: "ana", Reason: "test", At: "2026-12-02T04:00:00Z"}
}

// roundTrip returns the update after encoding it as JSON and decoding it again.
func roundTrip(t *testing.T, u Update) Update {
	t.Helper()
	line, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	var arrived Update
	if err := json.Unmarshal(line, &arrived); err != nil {
		t.Fatal(err)
	}
	return arrived
}

// jsonLine encodes an update as a line of a watch.
func jsonLine(u Update) ([]byte, error) {
	line, err := json.Marshal(u)
	return append(line, '\n'), err
}
