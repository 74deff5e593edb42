// Package scale runs the control paths of the product at several sizes and fits how their cost grows: processor time,
// memory, bytes and convergence time as functions of the number of backends, agents and changes.
//
// There are three layers, each compared with the previous one where their sizes overlap:
//
//   - processes: up to 60 real agent processes, run by internal/cluster;
//   - hollow agents: the control clients of many agents without their data path, in one process over loopback sockets
//     (internal/roster, internal/member/link, internal/duty/quorum and internal/configuration/watch);
//   - simulated time: the decision code alone (balance, internal/member/membersim and calltree).
//
// A run produces a list of Series. Each is measured at several sizes and has the least-squares Slope through its points.
// All runs are bounded in processes, memory and time (MaxProcesses and Bounds), and stop every process they start.
package scale

import (
	"errors"
	"fmt"
	"math"
)

// Layer is the way in which a series was measured.
type Layer string

// The layers, from the most to the least realistic.
const (
	Processes Layer = "processes"
	Hollow    Layer = "hollow"
	Simulated Layer = "simulated"
)

// Measurement is one measured value at one size.
type Measurement struct {
	X    float64 `json:"x"`    // size, as counted by Series.Per
	Y    float64 `json:"y"`    // measured value
	Unit string  `json:"unit"` // of Y
}

// Series is one quantity measured at several sizes.
type Series struct {
	Layer  Layer         `json:"layer"`
	Name   string        `json:"name"`
	Per    string        `json:"per"`            // what X counts, such as "listed backends"
	Fixed  string        `json:"fixed"`          // what was the same at all sizes
	Unit   string        `json:"unit"`           // of Y
	Points []Measurement `json:"points"`         // in the order of X
	Slope  *Slope        `json:"slope"`          // nil where there are fewer than two sizes
	Note   string        `json:"note,omitempty"` // what the value includes that its name doesn't say
}

// Add appends a measurement.
func (s *Series) Add(x, y float64) {
	s.Points = append(s.Points, Measurement{X: x, Y: y, Unit: s.Unit})
}

// Slope is a line through measurements, and the range in which they were taken.
type Slope struct {
	PerUnit float64 `json:"per_unit"`       // growth of Y for each unit of X
	AtZero  float64 `json:"at_zero"`        // Y where the line meets X = 0
	From    float64 `json:"from"`           // smallest X measured
	To      float64 `json:"to"`             // largest X measured
	Points  int     `json:"points"`         // number of measurements
	Worst   float64 `json:"worst_residual"` // largest distance of a point from the line, as a share of the largest |Y|
}

var errOneSize = errors.New("a slope needs measurements at two sizes or more")

// Fit returns the least-squares line through measurements. It fails with errOneSize if they have only one size.
func Fit(points []Measurement) (*Slope, error) {
	if len(points) == 0 {
		return nil, errOneSize
	}
	n := float64(len(points))
	s := &Slope{From: points[0].X, To: points[0].X, Points: len(points)}
	var sumX, sumY, largest float64
	for _, p := range points {
		if math.IsNaN(p.X+p.Y) || math.IsInf(p.X+p.Y, 0) {
			return nil, fmt.Errorf("measurement at %v is %v: not a number", p.X, p.Y)
		}
		sumX += p.X
		sumY += p.Y
		s.From, s.To = min(s.From, p.X), max(s.To, p.X)
		largest = max(largest, math.Abs(p.Y))
	}
	if s.From == s.To {
		return nil, errOneSize
	}
	meanX, meanY := sumX/n, sumY/n
	var squares, products float64
	for _, p := range points {
		squares += (p.X - meanX) * (p.X - meanX)
		products += (p.X - meanX) * (p.Y - meanY)
	}
	s.PerUnit = products / squares
	s.AtZero = meanY - s.PerUnit*meanX
	for _, p := range points {
		if largest > 0 {
			s.Worst = max(s.Worst, math.Abs(p.Y-s.At(p.X))/largest)
		}
	}
	return s, nil
}

// At returns the line's value at x.
func (s *Slope) At(x float64) float64 { return s.AtZero + s.PerUnit*x }

// ExtrapolationFactor returns x relative to the largest measured size, at least 1.
func (s *Slope) ExtrapolationFactor(x float64) float64 { return max(1, x/s.To) }

// GrowthFactor returns the line's value at the largest measured size relative to that at the smallest; 1 is flat.
func (s *Slope) GrowthFactor() float64 { return s.At(s.To) / s.At(s.From) }
