package scale

import (
	"errors"
	"fmt"
	"time"
)

var sprintf = fmt.Sprintf

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// seriesSet collects the series of one experiment, in the order of their first measurement.
type seriesSet struct {
	layer  Layer
	per    string
	fixed  string
	order  []*Series
	byName map[string]*Series
}

func newSeriesSet(layer Layer, per, fixed string) *seriesSet {
	return &seriesSet{layer: layer, per: per, fixed: fixed, byName: map[string]*Series{}}
}

// add appends a measurement to the series with the given name.
func (s *seriesSet) add(name, unit string, x, y float64) {
	series := s.byName[name]
	if series == nil {
		series = &Series{Layer: s.layer, Name: name, Per: s.per, Fixed: s.fixed, Unit: unit}
		s.byName[name] = series
		s.order = append(s.order, series)
	}
	series.Add(x, y)
}

// addDurations appends the median, the 99th percentile and the maximum of durations, as three series.
func (s *seriesSet) addDurations(name string, x float64, took durationSummary) {
	s.add(name+", p50", "ms", x, milliseconds(took.p50))
	s.add(name+", p99", "ms", x, milliseconds(took.p99))
	s.add(name+", worst", "ms", x, milliseconds(took.worst))
}

// fit computes the slope of each series with more than one size, and returns all series.
func (s *seriesSet) fit() ([]*Series, error) {
	for _, series := range s.order {
		slope, err := Fit(series.Points)
		if errors.Is(err, errOneSize) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", series.Name, err)
		}
		series.Slope = slope
	}
	return s.order, nil
}

// usageSpan is a running measurement of the resource usage of this process.
type usageSpan struct {
	started  time.Time
	cpu      time.Duration
	cpuErr   error
	traffic  *traffic
	sent     int64
	received int64
}

// resourceUsage is what this process used over a usageSpan.
type resourceUsage struct {
	elapsed, cpu   time.Duration
	sent, received int64 // bytes, from the point of view of the side that counts traffic
}

func startUsageSpan(t *traffic) *usageSpan {
	s := &usageSpan{started: time.Now(), traffic: t, sent: t.sent.Load(), received: t.received.Load()}
	s.cpu, s.cpuErr = processorTime()
	return s
}

func (s *usageSpan) end() (resourceUsage, error) {
	cpu, err := processorTime()
	return resourceUsage{elapsed: time.Since(s.started), cpu: cpu - s.cpu, sent: s.traffic.sent.Load() - s.sent, received: s.traffic.received.Load() - s.received},
		errors.Join(err, s.cpuErr)
}
