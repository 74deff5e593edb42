// Package explain records why an agent's decision module refused or failed requests and cut its limit on
// attempts in flight, and summarizes such records. It is off unless a configuration file such as
// deploy/explain.toml is given.
//
// The module calls Writer.Write in its own goroutine. Write puts a copy of the note into a bounded queue and
// returns; another goroutine writes the notes as JSON lines. Notes that do not fit into the queue are counted,
// and the count is written with the next note, so that a reader knows of the gap. A file that reaches its
// maximum size replaces NAME.old, so that the latest notes are kept in at most twice that size.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/strict"
)

// Config is the content of a configuration file such as deploy/explain.toml.
type Config struct {
	Path  string `toml:"file"`   // path of the notes file; "-": standard error, among the log; empty: no notes
	MaxMB int    `toml:"max_mb"` // maximum size of the file; the previous one, NAME.old, takes as much again; 0: 16
}

const defaultMaxMB = 16

// ReadConfig reads and checks a configuration file.
func ReadConfig(path string) (c Config, err error) {
	if err := strict.DecodeFile(path, &c); err != nil {
		return c, err
	}
	if c.MaxMB < 0 || c.MaxMB > 1<<20 {
		return c, fmt.Errorf("%s: max_mb: %d is not within 0 and %d", path, c.MaxMB, 1<<20)
	}
	return c, nil
}

// Record is a note of the decision module (balance.Note) in the form in which it is written, one JSON object per line.
// Times are in milliseconds.
type Record struct {
	Agent   string  `json:"agent,omitempty"`
	At      float64 `json:"at_ms"`             // Unix time
	Kind    string  `json:"note"`              // state, refused, failed, cut
	Skipped uint64  `json:"skipped,omitempty"` // number of notes lost before this one because the queue was full

	Request  string  `json:"request,omitempty"`
	Class    string  `json:"class,omitempty"`
	Reason   string  `json:"why,omitempty"`       // why the request was refused or failed, a balance.Reason as text
	Waited   float64 `json:"waited_ms,omitempty"` // time since the request arrived
	Left     float64 `json:"left_ms,omitempty"`   // time until the client stops waiting
	Aim      float64 `json:"aim_ms,omitempty"`    // time until an answer earns less; negative: in the past
	Repeat   bool    `json:"repeat,omitempty"`    // the request counts as a client's repeat of an earlier one
	Attempts int     `json:"attempts,omitempty"`  // attempts made for the request

	PerBackend float64 `json:"per_backend"` // attempts that all agents may have in flight, per backend in use
	Part       float64 `json:"part"`        // this agent's part of the limit on attempts in flight
	Fraction   float64 `json:"fraction"`    // Part as a share of the limit of all agents
	InFlight   int     `json:"in_flight"`   // this agent's attempts in flight, stuck ones included
	Stuck      int     `json:"stuck"`       // attempts in flight that use no room: at backends out of use, or overdue
	Overdue    int     `json:"overdue"`     // the stuck attempts that are at backends in use
	Held       int     `json:"held"`        // requests that wait for room
	Up         int     `json:"up"`          // backends that are up by the list
	Used       int     `json:"used"`        // backends in use: up, and neither ejected nor down
	Idle       int     `json:"idle"`        // backends in use where this agent has no attempt
	Free       int     `json:"free"`        // backends that could take an attempt now
	Capacity   float64 `json:"capacity"`    // backends in use, each counted by its warmth
	Delay      float64 `json:"delay"`       // running mean of latency over aim
	Base       float64 `json:"base"`        // slow low of Delay: the delay without queues
	Aimed      float64 `json:"aimed"`       // the target that the limit keeps Delay to
	Usual      float64 `json:"usual_ms"`    // mean latency over the classes
	Spare      float64 `json:"spare_ms"`    // attempt time saved up while fewer attempts were in flight than the limit allows
	Errors     float64 `json:"errors"`      // recent share of errors over all backends
	Tokens     float64 `json:"tokens"`      // tokens in the retry bucket

	Backends []Backend `json:"backends,omitempty"`
}

// Backend is the decision module's state of one backend, part of a note of kind state.
type Backend struct {
	ID      string  `json:"id"`
	Out     int     `json:"out"`                  // this agent's attempts at the backend
	Down    bool    `json:"down,omitempty"`       // its process looks gone
	Ejected float64 `json:"ejected_ms,omitempty"` // remaining time of the ejection; 0: the backend is not ejected
	Strikes float64 `json:"strikes,omitempty"`    // count of recent ejections, reduced by served attempts
	Warmth  float64 `json:"warmth"`               // share of its full capacity that it has by now at least
	Slow    float64 `json:"slow"`                 // latency over the mean of all backends; 0: no answer yet
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// record converts a note of the decision module. classes holds the classes' names by index.
func record(agent string, classes []string, n *balance.Note) Record {
	r := Record{Agent: agent, At: millis(n.At), Kind: n.Kind.String(), Request: n.Request, Reason: n.Reason.String(),
		Waited: millis(n.Waited), Left: millis(n.TimeLeft), Aim: millis(n.AimLeft), Repeat: n.Repeat, Attempts: n.Attempts,
		PerBackend: n.PerBackend, Part: n.Limit, Fraction: n.LimitShare, InFlight: n.InFlight, Stuck: n.Stuck, Overdue: n.Overdue, Held: n.Held, Up: n.Up,
		Used: n.InUse, Idle: n.Idle, Free: n.Available, Capacity: n.Capacity, Delay: n.MeanDelay, Base: n.BaseDelay, Aimed: n.TargetDelay,
		Usual: millis(n.MeanLatency), Spare: millis(n.SavedTime), Errors: n.ErrorShare, Tokens: n.RetryTokens}
	if n.Request != "" && n.Class >= 0 && n.Class < len(classes) {
		r.Class = classes[n.Class]
	}
	for _, b := range n.Backends {
		r.Backends = append(r.Backends, Backend{b.ID, b.InFlight, b.Down, millis(b.EjectedFor), b.Strikes, b.Warmth, b.SlowRatio})
	}
	return r
}

const queueCapacity = 1024 // maximum number of notes that wait to be written; further ones are skipped

// Writer writes notes in a goroutine of its own.
type Writer struct {
	agent    string   // the agent's name, in each record
	classes  []string // names of the classes, by index
	notes    chan balance.Note
	skipped  atomic.Uint64 // notes that found the queue full since the last one written
	out      io.Writer
	file     *os.File      // nil: notes go to standard error
	path     string        // path of the notes file
	maxBytes int64         // size in bytes from which the notes file is rotated
	done     chan struct{} // closed when the writing goroutine has ended
	err      error         // first error of writing; valid after done is closed
}

// Open starts a Writer. It returns nil if c names no file.
func Open(c Config, agent string, classes []string) (*Writer, error) {
	if c.Path == "" {
		return nil, nil
	}
	w := &Writer{agent: agent, classes: classes, notes: make(chan balance.Note, queueCapacity), done: make(chan struct{}),
		out: os.Stderr, path: c.Path, maxBytes: int64(c.MaxMB) << 20}
	if w.maxBytes == 0 {
		w.maxBytes = defaultMaxMB << 20
	}
	if c.Path != "-" {
		if err := w.reopen(); err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
	}
	go w.run()
	return w, nil
}

// Write queues a note and never blocks. Only the goroutine that runs the decision module may call it.
func (w *Writer) Write(n balance.Note) {
	select {
	case w.notes <- n:
	default:
		w.skipped.Add(1)
	}
}

// Close writes the queued notes, ends the writer and returns the first error of writing. Write must not be
// called afterwards.
func (w *Writer) Close() error {
	close(w.notes)
	<-w.done
	return w.err
}

func (w *Writer) reopen() (err error) {
	w.file, err = os.OpenFile(w.path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	w.out = w.file
	return err
}

func (w *Writer) run() {
	defer close(w.done)
	buf := bufio.NewWriterSize(w.out, 64<<10)
	var size int64
	failed := false
	for n := range w.notes {
		if failed { // keeps emptying the queue after an error
			continue
		}
		r := record(w.agent, w.classes, &n)
		r.Skipped = w.skipped.Swap(0)
		line, err := json.Marshal(r)
		if err == nil {
			size += int64(len(line)) + 1
			_, err = buf.Write(append(line, '\n'))
		}
		if err == nil && len(w.notes) == 0 {
			err = buf.Flush()
		}
		if err == nil && w.file != nil && size >= w.maxBytes {
			if err = errors.Join(buf.Flush(), w.file.Close(), os.Rename(w.path, w.path+".old"), w.reopen()); err == nil {
				buf.Reset(w.out)
				size = 0
			}
		}
		if err != nil {
			w.err, failed = fmt.Errorf("explain: %w", err), true
		}
	}
	if !failed {
		w.err = buf.Flush()
	}
	if w.file != nil {
		w.err = errors.Join(w.err, w.file.Close())
	}
}

// Read calls f for each note of r, in order. It skips and counts other lines, such as an agent's log or a last
// line that was cut off.
func Read(r io.Reader, f func(Record)) (otherLines int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	for lines.Scan() {
		var rec Record
		line := lines.Bytes()
		if i := bytes.IndexByte(line, '{'); i > 0 { // skip the prefix of a log collector
			line = line[i:]
		}
		if json.Unmarshal(line, &rec) != nil || rec.Kind == "" {
			otherLines++
			continue
		}
		f(rec)
	}
	return otherLines, lines.Err()
}
