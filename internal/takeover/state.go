// Package takeover lets two processes act as one agent while one replaces the other. They share a folder that holds
// their common state and shows which of them are alive. State, View and Plan decide without I/O; Claim reads and
// writes the files.
//
// Files: NAME.state holds the state and is replaced atomically, under a lock on NAME.lock. The process of
// generation N holds a lock on NAME.N.alive for as long as it lives.
//
// Bounds: the state holds at most pool.MaxExcluded excluded and pool.MaxExcluded restored backends. A restored backend is
// kept for maxRestoreAge.
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
	maxRestoreAge = 10 * time.Minute // how long a restored backend is remembered; longer than any backend takes to warm up
	maxStateBytes = 1 << 20          // longest state file that is accepted
)

// State is the state that the processes of one agent share.
type State struct {
	Version       int64            `json:"version"`         // increases with every change
	Generation    int              `json:"generation"`      // generation of the process that started last; the first process has 1
	Ready         int              `json:"ready"`           // the latest generation that has begun to serve; 0: none
	Excluded      []string         `json:"out"`             // ids of the backends that operators excluded, sorted
	RestoredAt    map[string]int64 `json:"back,omitempty"`  // when operators restored a backend, Unix time in nanoseconds, by the backend's id
	ExcludedZones []int            `json:"zones,omitempty"` // indexes of the zones that operators excluded as a whole, sorted
}

// stateHeader begins a state file; the checksum follows it. Its number changes with the format.
const stateHeader = "lemonrail state 1 "

// Encode returns the state in the format of the state file.
func (s State) Encode() ([]byte, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return fmt.Appendf(nil, "%s%08x\n%s", stateHeader, crc32.ChecksumIEEE(raw), raw), nil
}

// Parse decodes a state file. It rejects one that is incomplete, of another format, or has invalid values.
func Parse(raw []byte) (State, error) {
	var s State
	if len(raw) > maxStateBytes {
		return s, fmt.Errorf("state: %d bytes are too many", len(raw))
	}
	header, raw, _ := bytes.Cut(raw, []byte("\n"))
	if string(header) != fmt.Sprintf("%s%08x", stateHeader, crc32.ChecksumIEEE(raw)) {
		return s, errors.New("state: incomplete, or of another format")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return State{}, fmt.Errorf("state: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return State{}, errors.New("state: data after the JSON object")
	}
	switch {
	case s.Version < 0 || s.Generation < 0:
		return State{}, errors.New("state: negative version or generation")
	case s.Ready < 0 || s.Ready > s.Generation:
		return State{}, fmt.Errorf("state: ready is %d, must be from 0 to the generation %d", s.Ready, s.Generation)
	case len(s.ExcludedZones) > pool.MaxExcluded || slices.ContainsFunc(s.ExcludedZones, func(z int) bool { return z < 0 }):
		return State{}, errors.New("state: too many zones, or a negative one")
	case len(s.Excluded) > pool.MaxExcluded || len(s.RestoredAt) > pool.MaxExcluded:
		return State{}, errors.New("state: too many excluded or restored backends")
	}
	for _, id := range s.Excluded {
		if id == "" {
			return State{}, errors.New("state: an excluded backend has an empty name")
		}
	}
	return s, nil
}

// Exclude records that operators excluded a backend. It returns pool.ErrTooManyExcluded where the state has no place left.
func (s *State) Exclude(id string) error {
	switch {
	case slices.Contains(s.Excluded, id):
		return nil
	case len(s.Excluded) >= pool.MaxExcluded:
		return pool.ErrTooManyExcluded
	}
	s.Excluded = append(s.Excluded, id)
	slices.Sort(s.Excluded)
	delete(s.RestoredAt, id)
	return nil
}

// Include records that operators restored an excluded backend at the time now. A backend that isn't excluded
// is ignored.
func (s *State) Include(id string, now time.Time) {
	at := slices.Index(s.Excluded, id)
	if at < 0 {
		return
	}
	s.Excluded = slices.Delete(s.Excluded, at, at+1)
	if s.RestoredAt == nil {
		s.RestoredAt = map[string]int64{}
	}
	oldest := ""
	for other, t := range s.RestoredAt {
		if now.Sub(time.Unix(0, t)) > maxRestoreAge {
			delete(s.RestoredAt, other)
		} else if oldest == "" || t < s.RestoredAt[oldest] {
			oldest = other
		}
	}
	if len(s.RestoredAt) >= pool.MaxExcluded {
		delete(s.RestoredAt, oldest)
	}
	s.RestoredAt[id] = now.UnixNano()
}

// SetZoneExcluded records that operators exclude a zone as a whole, or, if out is false, that they restore
// it.
func (s *State) SetZoneExcluded(zone int, out bool) {
	at, found := slices.BinarySearch(s.ExcludedZones, zone)
	switch {
	case out && !found:
		s.ExcludedZones = slices.Insert(slices.Clone(s.ExcludedZones), at, zone)
	case !out && found:
		s.ExcludedZones = slices.Delete(slices.Clone(s.ExcludedZones), at, at+1)
	}
}

// View is what one process knows about the other processes of its agent.
type View struct {
	Generation         int  // of the process that has this view
	EarlierAlive       bool // a process of an earlier generation is alive
	LaterAlive         bool // a process of a later generation is alive
	LatestReady        int  // the latest generation that has begun to serve
	EarlierRequests    int  // requests in flight at processes of earlier generations
	LaterRequests      int  // requests in flight at processes of later generations
	EarlierConnections int  // connections that processes of earlier generations hold open
}

// Plan says how a process is to act beside the other processes of its agent.
type Plan struct {
	Alone           bool // no other process is alive, so all of the agent's memory is free for this one
	SuccessorServes bool // a successor serves, so a stopping process leaves new connections to it
	Mute            bool // an earlier process still sends the agent's messages to peers, so this one sends none
}

// Plan returns how the process is to act, given what it knows of the others.
func (v View) Plan() Plan {
	return Plan{Alone: !v.EarlierAlive && !v.LaterAlive, SuccessorServes: v.LaterAlive && v.LatestReady > v.Generation,
		Mute: v.EarlierAlive}
}

// Share returns the share of the agent's budget that this process may use, from 0 to 1; inFlight is the
// number of its requests in flight. The shares of two processes that see the same numbers add up to 1.
func (v View) Share(inFlight int) float64 {
	switch {
	case v.LaterAlive:
		return 1 - successorShare(v.LatestReady > v.Generation, inFlight+v.EarlierRequests, v.LaterRequests)
	case v.EarlierAlive:
		return successorShare(v.LatestReady >= v.Generation, v.EarlierRequests, inFlight)
	}
	return 1
}

// successorShare returns the successor's share of the agent's budget: 0 until it is ready, then in proportion
// to the requests in flight before it (at earlier processes) and after (its own), but at least half, since
// the traffic is about to move to it.
func successorShare(ready bool, before, after int) float64 {
	if !ready {
		return 0
	}
	return max(0.5, float64(after+1)/float64(before+after+1))
}

// ConnectionLimit returns how many connections this process may hold, of total that the processes of one agent may hold
// together. The earlier process is limited to three quarters; the successor gets the rest, but at least a quarter.
func (v View) ConnectionLimit(total int) int {
	minRoom := total / 4
	room := total
	if v.LaterAlive {
		room -= minRoom
	}
	if v.EarlierAlive {
		room = max(minRoom, room-v.EarlierConnections)
	}
	return room
}
