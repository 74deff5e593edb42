// Package takeover lets two processes be one agent while one replaces the other: they share a folder, in which
// they keep one state and tell each other that they live. State and Plan are decisions without I/O; Claim
// reads and writes the files.
//
// Files: NAME.state holds the state and is replaced whole, under a lock on NAME.lock; NAME.N.alive is locked by
// the process of generation N for as long as it lives.
//
// Bounds: of what staff did to backends pool.MaxOut entries each are kept, those of returns for backFor.
package takeover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"time"

	"lemonrail/internal/pool"
)

const (
	backFor  = 10 * time.Minute // longer than any backend takes to become warm
	maxBytes = 1 << 20
)

// State is what processes of one agent share.
type State struct {
	Version    int64            `json:"version"`         // rises with every change
	Generation int              `json:"generation"`      // of the process that started last
	Ready      int              `json:"ready"`           // the latest generation that has begun to serve
	Out        []string         `json:"out"`             // backends out by hand
	Back       map[string]int64 `json:"back,omitempty"`  // backends put back, and when: Unix time in nanoseconds
	Zones      []int            `json:"zones,omitempty"` // out by hand as a whole, sorted
}

// mark begins a state; its checksum follows. Another form gets another mark.
const mark = "lemonrail state 1 "

// Text is the state as it is written.
func (s State) Text() ([]byte, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return fmt.Appendf(nil, "%s%08x\n%s", mark, crc32.ChecksumIEEE(raw), raw), nil
}

// Parse reads a state and refuses one that is torn, of another form, or makes no sense.
func Parse(raw []byte) (State, error) {
	var s State
	if len(raw) > maxBytes {
		return s, fmt.Errorf("state of %d bytes", len(raw))
	}
	head, raw, _ := bytes.Cut(raw, []byte("\n"))
	if string(head) != fmt.Sprintf("%s%08x", mark, crc32.ChecksumIEEE(raw)) {
		return s, errors.New("state: torn, or of another form")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return State{}, fmt.Errorf("state: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return State{}, errors.New("state: more behind it")
	}
	switch {
	case s.Version < 0 || s.Generation < 0:
		return State{}, errors.New("state: negative")
	case s.Ready < 0 || s.Ready > s.Generation:
		return State{}, fmt.Errorf("state: ready %d of generation %d", s.Ready, s.Generation)
	case len(s.Zones) > pool.MaxOut || slices.ContainsFunc(s.Zones, func(z int) bool { return z < 0 }):
		return State{}, errors.New("state: zones make no sense")
	case len(s.Out) > pool.MaxOut || len(s.Back) > pool.MaxOut:
		return State{}, errors.New("state: too many backends")
	}
	for _, id := range s.Out {
		if id == "" {
			return State{}, errors.New("state: a backend without a name is out")
		}
	}
	return s, nil
}

// Exclude notes that a backend is out.
func (s *State) Exclude(id string) error {
	switch {
	case slices.Contains(s.Out, id):
		return nil
	case len(s.Out) >= pool.MaxOut:
		return pool.ErrTooMany
	}
	s.Out = append(s.Out, id)
	slices.Sort(s.Out)
	delete(s.Back, id)
	return nil
}

// Include notes that a backend is back.
func (s *State) Include(id string, now time.Time) {
	at := slices.Index(s.Out, id)
	if at < 0 {
		return
	}
	s.Out = slices.Delete(s.Out, at, at+1)
	if s.Back == nil {
		s.Back = map[string]int64{}
	}
	oldest := ""
	for other, t := range s.Back {
		if now.Sub(time.Unix(0, t)) > backFor {
			delete(s.Back, other)
		} else if oldest == "" || t < s.Back[oldest] {
			oldest = other
		}
	}
	if len(s.Back) >= pool.MaxOut {
		delete(s.Back, oldest)
	}
	s.Back[id] = now.UnixNano()
}

// ExcludeZone notes that a zone is out as a whole, or back.
func (s *State) ExcludeZone(zone int, out bool) {
	at, is := slices.BinarySearch(s.Zones, zone)
	switch {
	case out && !is:
		s.Zones = slices.Insert(slices.Clone(s.Zones), at, zone)
	case !out && is:
		s.Zones = slices.Delete(slices.Clone(s.Zones), at, at+1)
	}
}

// View is what one process knows of the others.
type View struct {
	Generation int  // its own
	Earlier    bool // a process of an earlier generation lives
	Later      bool // one of a later generation lives
	Ready      int  // the latest generation that has begun to serve
	Before     int  // requests that processes of earlier generations have in hand
	After      int  // and those of later ones
	Open       int  // connections that processes of earlier generations hold
}

// Plan is what follows for it.
type Plan struct {
	Alone     bool // no other lives: memory is its own
	Successor bool // a successor serves: a stop leaves new connections to it
	Mute      bool // the one before it speaks for the agent
}

// Plan says how this process is to act.
func (v View) Plan() Plan {
	return Plan{Alone: !v.Earlier && !v.Later, Successor: v.Later && v.Ready > v.Generation,
		Mute: v.Earlier}
}

// Part is the part of what is the agent's that this process may use, with so many requests in hand. Processes
// that see the same numbers come to one together, where they are two.
func (v View) Part(inHand int) float64 {
	switch {
	case v.Later:
		return 1 - later(v.Ready > v.Generation, inHand+v.Before, v.After)
	case v.Earlier:
		return later(v.Ready >= v.Generation, v.Before, inHand)
	}
	return 1
}

// later is the successor's part. Once it serves it has half at the least: the traffic is about to come to it.
func later(ready bool, before, after int) float64 {
	if !ready {
		return 0
	}
	return max(0.5, float64(after+1)/float64(before+after+1))
}

// Room is how many of so many connections, which the processes of one agent may hold together, this one may: the
// one before keeps to three quarters, the successor to what is left of all, a quarter at the least.
func (v View) Room(all int) int {
	least := all / 4
	room := all
	if v.Later {
		room -= least
	}
	if v.Earlier {
		room = max(least, room-v.Open)
	}
	return room
}
