// Package figures counts what the agent does and writes the counts out for whoever reads them. All of it may
// be used from any goroutine; nothing waits.
package figures

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
)

// Result is how a request ended.
type Result uint8

const (
	OK     Result = iota // served
	Shed                 // refused: another try is harmless
	Errors               // failed
	results
)

var resultNames = [results]string{"ok", "shed", "errors"}

// Figures are the counts of one process, from 0 at its start.
type Figures struct {
	classes   []string
	responses [][results]atomic.Int64 // by class

	Tries   atomic.Int64 // attempts written whole to backends
	Active  atomic.Int64 // requests taken and not ended
	Pool    atomic.Int64 // backends listed
	Ejected atomic.Int64 // of these, those that are avoided, by hand or by choice
}

// New returns figures for classes by their names.
func New(classes []string) *Figures {
	return &Figures{classes: classes, responses: make([][results]atomic.Int64, len(classes))}
}

// Ended counts a request's end.
func (f *Figures) Ended(class int, r Result) {
	if class >= 0 && class < len(f.responses) && r < results {
		f.responses[class][r].Add(1)
	}
}

// escape is what a label's value is written by.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Gauge is a figure that a part of the agent keeps itself. Its name follows on svc_.
type Gauge struct {
	Name  string
	Value func() int64
}

// Text is the figures in the form in which they are read, further ones behind.
func (f *Figures) Text(further ...Gauge) []byte {
	var b bytes.Buffer
	for i, class := range f.classes {
		for r, name := range resultNames {
			fmt.Fprintf(&b, "svc_responses{kind=\"%s\",result=\"%s\"} %d\n", escape.Replace(class), name, f.responses[i][r].Load())
		}
	}
	for _, g := range []struct {
		name string
		v    *atomic.Int64
	}{{"tries", &f.Tries}, {"active", &f.Active}, {"pool_size", &f.Pool}, {"pool_ejected", &f.Ejected}} {
		fmt.Fprintf(&b, "svc_%s %d\n", g.name, g.v.Load())
	}
	for _, g := range further {
		fmt.Fprintf(&b, "svc_%s %d\n", g.Name, g.Value())
	}
	return b.Bytes()
}
