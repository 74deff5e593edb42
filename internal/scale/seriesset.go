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
	layer  Layer  // for all series: how they are measured
	per    string // for all series: what X counts
	fixed  string // for all series: what is the same at all sizes
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

// usageSpan is a running measurement of this process's processor time and of the bytes of counted connections.
type usageSpan struct {
	started  time.Time     // start of the measurement
	cpu      time.Duration // processor time that the process had used at the start
	cpuErr   error         // error of reading cpu, returned by end
	traffic  *traffic      // counter of the connections
	sent     int64         // value of traffic.sent at the start
	received int64         // value of traffic.received at the start
}

// resourceUsage is what this process used over a usageSpan.
type resourceUsage struct {
	elapsed, cpu   time.Duration
	sent, received int64 // bytes sent and received by the side whose connections are counted in traffic
}

// startUsageSpan starts a measurement of this process and of the connections counted in t.
func startUsageSpan(t *traffic) *usageSpan {
	s := &usageSpan{started: time.Now(), traffic: t, sent: t.sent.Load(), received: t.received.Load()}
	s.cpu, s.cpuErr = processorTime()
	return s
}

// end returns what was used since the start of the measurement.
func (s *usageSpan) end() (resourceUsage, error) {
	cpu, err := processorTime()
	return resourceUsage{elapsed: time.Since(s.started), cpu: cpu - s.cpu, sent: s.traffic.sent.Load() - s.sent, received: s.traffic.received.Load() - s.received},
		errors.Join(err, s.cpuErr)
}
