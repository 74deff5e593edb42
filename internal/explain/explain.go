// Package explain writes down why an agent's decision module refused, failed and cut its limit on
// attempts in flight, and reads it back. It is off unless a file under deploy/ switches it on.
//
// The module tells a Writer in its own goroutine; Tell copies the note into a bounded queue and
// returns. One further goroutine writes JSON lines. What the queue can't take is counted, and the
// count is written with the next note that it takes, so that a reader knows of the gap. A file that
// has grown to its bound is renamed to NAME.old, in place of the one before, so that the last notes
// are kept in at most twice the bound.
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

// Config is a file such as deploy/explain.toml.
type Config struct {
	File  string `toml:"file"`   // where notes go; "-": standard error, among the log; empty: nowhere
	MaxMB int    `toml:"max_mb"` // of the file, and as much again of the one before; 0: 16
}

const defaultMB = 16

// ReadConfig reads and checks a file.
func ReadConfig(path string) (c Config, err error) {
	if err := strict.DecodeFile(path, &c); err != nil {
		return c, err
	}
	if c.MaxMB < 0 || c.MaxMB > 1<<20 {
		return c, fmt.Errorf("%s: max_mb: %d makes no sense", path, c.MaxMB)
	}
	return c, nil
}

// Record is a note as it is written: one JSON object a line. Times are in milliseconds.
type Record struct {
	Agent   string  `json:"agent,omitempty"`
	At      float64 `json:"at_ms"` // Unix time
	Kind    string  `json:"note"`  // state, refused, failed, cut
	Skipped uint64  `json:"skipped,omitempty"`

	Request  string  `json:"request,omitempty"`
	Class    string  `json:"class,omitempty"`
	Why      string  `json:"why,omitempty"`
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

// Backend is what the module thinks of one backend, with a note on how things stand.
type Backend struct {
	ID      string  `json:"id"`
	Out     int     `json:"out"`
	Down    bool    `json:"down,omitempty"`
	Ejected float64 `json:"ejected_ms,omitempty"` // for so long yet
	Strikes float64 `json:"strikes,omitempty"`
	Warmth  float64 `json:"warmth"`
	Slow    float64 `json:"slow"`
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func record(agent string, classes []string, n *balance.Note) Record {
	r := Record{Agent: agent, At: millis(n.At), Kind: n.Kind.String(), Request: n.Request, Why: n.Why.String(),
		Waited: millis(n.Waited), Left: millis(n.Left), Aim: millis(n.Aim), Repeat: n.Repeat, Attempts: n.Attempts,
		PerBackend: n.PerBackend, Part: n.Part, Fraction: n.Fraction, InFlight: n.InFlight, Stuck: n.Stuck, Overdue: n.Overdue, Held: n.Held, Up: n.Up,
		Used: n.Used, Idle: n.Idle, Free: n.Free, Capacity: n.Capacity, Delay: n.Delay, Base: n.Base, Aimed: n.Aimed,
		Usual: millis(n.Usual), Spare: millis(n.Spare), Errors: n.Errors, Tokens: n.Tokens}
	if n.Request != "" && n.Class >= 0 && n.Class < len(classes) {
		r.Class = classes[n.Class]
	}
	for _, b := range n.Backends {
		r.Backends = append(r.Backends, Backend{b.ID, b.Out, b.Down, millis(b.Ejected), b.Strikes, b.Warmth, b.Slow})
	}
	return r
}

const queue = 1024 // notes that wait for the writer

// Writer writes notes down. Tell never waits.
type Writer struct {
	agent   string
	classes []string
	notes   chan balance.Note
	skipped atomic.Uint64
	out     io.Writer
	file    *os.File // nil: standard error
	path    string
	most    int64
	done    chan struct{}
	err     error
}

// Open begins to write as c says. It returns nil where c says nowhere.
func Open(c Config, agent string, classes []string) (*Writer, error) {
	if c.File == "" {
		return nil, nil
	}
	w := &Writer{agent: agent, classes: classes, notes: make(chan balance.Note, queue), done: make(chan struct{}),
		out: os.Stderr, path: c.File, most: int64(c.MaxMB) << 20}
	if w.most == 0 {
		w.most = defaultMB << 20
	}
	if c.File != "-" {
		if err := w.reopen(); err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
	}
	go w.run()
	return w, nil
}

// Tell takes a note. It belongs to the goroutine that runs the module.
func (w *Writer) Tell(n balance.Note) {
	select {
	case w.notes <- n:
	default:
		w.skipped.Add(1)
	}
}

// Close writes what is queued and ends. Tell must not be called any more.
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
	broken := false
	for n := range w.notes {
		if broken { // the loop goes on; what comes is dropped
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
		if err == nil && w.file != nil && size >= w.most {
			if err = errors.Join(buf.Flush(), w.file.Close(), os.Rename(w.path, w.path+".old"), w.reopen()); err == nil {
				buf.Reset(w.out)
				size = 0
			}
		}
		if err != nil {
			w.err, broken = fmt.Errorf("explain: %w", err), true
		}
	}
	if !broken {
		w.err = buf.Flush()
	}
	if w.file != nil {
		w.err = errors.Join(w.err, w.file.Close())
	}
}

// Read calls f for each note of r, in order. Lines that are no notes, such as an agent's log, are
// skipped and counted; so is a last line that was cut off.
func Read(r io.Reader, f func(Record)) (others int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	for lines.Scan() {
		var rec Record
		line := lines.Bytes()
		if i := bytes.IndexByte(line, '{'); i > 0 { // behind what a log collector puts before each line
			line = line[i:]
		}
		if json.Unmarshal(line, &rec) != nil || rec.Kind == "" {
			others++
			continue
		}
		f(rec)
	}
	return others, lines.Err()
}
