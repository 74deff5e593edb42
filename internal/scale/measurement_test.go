package scale

import (
	"errors"
	"math"
	"testing"
)

func TestFitFindsTheLine(t *testing.T) {
	t.Parallel()
	s := Series{Unit: "B"}
	for _, x := range []float64{8, 100, 225, 450} {
		s.Add(x, 40+131*x)
	}
	got, err := Fit(s.Points)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(got.PerUnit-131) > 1e-9 || math.Abs(got.AtZero-40) > 1e-6 || got.From != 8 || got.To != 450 || got.Points != 4 || got.Worst > 1e-9 {
		t.Errorf("got %+v", *got)
	}
	if y := got.At(1000); math.Abs(y-131040) > 1e-5 {
		t.Errorf("at 1000: %v", y)
	}
	if got.ExtrapolationFactor(300) != 1 || got.ExtrapolationFactor(900) != 2 {
		t.Errorf("stretch: %v, %v", got.ExtrapolationFactor(300), got.ExtrapolationFactor(900))
	}
}

func TestFitReportsLargestResidual(t *testing.T) {
	t.Parallel()
	got, err := Fit([]Measurement{{X: 0, Y: 0}, {X: 1, Y: 10}, {X: 2, Y: 0}})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(got.PerUnit) > 1e-9 || math.Abs(got.Worst-2./3) > 1e-9 {
		t.Errorf("got %+v", *got)
	}
}

func TestFitRefusesPointsWithoutSlope(t *testing.T) {
	t.Parallel()
	for name, points := range map[string][]Measurement{"none": nil, "one": {{X: 1, Y: 2}}, "one size twice": {{X: 1, Y: 2}, {X: 1, Y: 3}}} {
		if _, err := Fit(points); !errors.Is(err, errOneSize) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Fit([]Measurement{{X: 1, Y: math.NaN()}, {X: 2, Y: 1}}); err == nil {
		t.Error("not a number: no error")
	}
}
