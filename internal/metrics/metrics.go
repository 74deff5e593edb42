// Package metrics holds the metrics of one agent process and writes them in the Prometheus text format. Everything in
// it is safe for concurrent use and does not block.
package metrics

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
)

// Result is the outcome of a request as the metrics count it.
type Result uint8

const (
	OK     Result = iota // served by a backend
	Shed                 // refused before any backend processed it, so a retry is safe
	Errors               // ended in any other way, such as without an answer from a backend or with one that broke off
	resultCount
)

// resultNames are the values of the label result, by Result.
var resultNames = [resultCount]string{"ok", "shed", "errors"}

// Metrics holds the metrics of one agent process. All start at 0 with the process.
type Metrics struct {
	classes   []string                    // names of the classes of requests, by class index
	responses [][resultCount]atomic.Int64 // number of requests that have ended, by class index and Result

	Attempts    atomic.Int64 // attempts that were written completely to a backend
	Active      atomic.Int64 // requests that were accepted and have not ended
	PoolSize    atomic.Int64 // backends on the list from discovery or the servers file
	PoolEjected atomic.Int64 // backends on that list that are avoided: excluded by operators or by the balancer
}

// New returns metrics, all 0, for requests of the classes of the given names.
func New(classes []string) *Metrics {
	return &Metrics{classes: classes, responses: make([][resultCount]atomic.Int64, len(classes))}
}

// CountResponse counts a request of the class with index class that ended with r. It ignores an unknown class
// or result.
func (f *Metrics) CountResponse(class int, r Result) {
	if class >= 0 && class < len(f.responses) && r < resultCount {
		f.responses[class][r].Add(1)
	}
}

// labelEscaper escapes a label value for the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Gauge is a metric whose value another part of the agent keeps. Its name in the text is svc_ followed by
// Name.
type Gauge struct {
	Name  string       // without the prefix svc_
	Value func() int64 // returns the current value
}

// Text returns the metrics in the Prometheus text format, followed by the extra gauges.
func (f *Metrics) Text(extra ...Gauge) []byte {
	var b bytes.Buffer
	for i, class := range f.classes {
		for r, name := range resultNames {
			fmt.Fprintf(&b, "svc_responses{kind=\"%s\",result=\"%s\"} %d\n", labelEscaper.Replace(class), name, f.responses[i][r].Load())
		}
	}
	for _, g := range []struct {
		name string
		v    *atomic.Int64
	}{{"tries", &f.Attempts}, {"active", &f.Active}, {"pool_size", &f.PoolSize}, {"pool_ejected", &f.PoolEjected}} {
		fmt.Fprintf(&b, "svc_%s %d\n", g.name, g.v.Load())
	}
	for _, g := range extra {
		fmt.Fprintf(&b, "svc_%s %d\n", g.Name, g.Value())
	}
	return b.Bytes()
}
