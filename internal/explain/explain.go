// Package explain records why an agent's decision module refused or failed requests and cut its limit on
// attempts in flight, and summarizes such records. It is off unless a configuration file such as
// deploy/explain.toml is given.
//
// The module calls Writer.Tell in its own goroutine. Tell puts a copy of the note into a bounded queue and
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

// Record is a note in the form in which it is written, one JSON object per line. Times are in milliseconds.
type Record struct {
	Agent   string  `json:"agent,omitempty"`
	At      float64 `json:"at_ms"` // Unix time
	Kind    string  `json:"note"`  // state, refused, failed, cut
	Skipped uint64  `json:"skipped,omitempty"`

	Request  string  `json:"request,omitempty"`
	Class    string  `json:"class,omitempty"`
	Reason   string  `json:"why,omitempty"`
	Waited   float64 `json:"waited_ms,omitempty"`
	Left     float64 `json:"left_ms,omitempty"`
	Aim      float64 `json:"aim_ms,omitempty"`
	Repeat   bool    `json:"repeat,omitempty"`
	Attempts int     `json:"attempts,omitempty"`

	PerBackend float64 `json:"per_backend"`
	Part       float64 `json:"part"`
	Fraction   float64 `json:"fraction"`
	InFlight   int     `json:"in_flight"`
	Stuck      int     `json:"stuck"`
	Overdue    int     `json:"overdue"`
	Held       int     `json:"held"`
	Up         int     `json:"up"`
	Used       int     `json:"used"`
	Idle       int     `json:"idle"`
	Free       int     `json:"free"`
	Capacity   float64 `json:"capacity"`
	Delay      float64 `json:"delay"`
	Base       float64 `json:"base"`
	Aimed      float64 `json:"aimed"`
	Usual      float64 `json:"usual_ms"`
	Spare      float64 `json:"spare_ms"`
	Errors     float64 `json:"errors"`
	Tokens     float64 `json:"tokens"`

	Backends []Backend `json:"backends,omitempty"`
}

// Backend is the module's state of one backend, part of a note of kind state.
type Backend struct {
	ID      string  `json:"id"`
	Out     int     `json:"out"`
	Down    bool    `json:"down,omitempty"`
	Ejected float64 `json:"ejected_ms,omitempty"` // time since the ejection
	Strikes float64 `json:"strikes,omitempty"`
	Warmth  float64 `json:"warmth"`
	Slow    float64 `json:"slow"`
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

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

const queueCapacity = 1024 // maximum number of notes that wait to be written

// Writer writes notes in a goroutine of its own.
type Writer struct {
	agent    string
	classes  []string
	notes    chan balance.Note
	skipped  atomic.Uint64
	out      io.Writer
	file     *os.File // nil: notes go to standard error
	path     string
	maxBytes int64
	done     chan struct{}
	err      error
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

// Write queues a note and never blocks. Only the goroutine that runs the module may call it.
func (w *Writer) Write(n balance.Note) {
	select {
	case w.notes <- n:
	default:
		w.skipped.Add(1)
	}
}

// Close writes the queued notes, ends the writer and returns the first error of writing. Tell must not be
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
