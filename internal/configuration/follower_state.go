package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// keptFormat begins a kept state; another layout has another one.
const keptFormat = "lemonrail configuration 1"

// keptState is what is in force, as it is kept. Its checksum stands before it on a line of its own.
type keptState struct {
	Place  Place       `json:"place"`
	Format int         `json:"format"`
	Scopes []keptScope `json:"scopes"`
}

type keptScope struct {
	Scope    Scope           `json:"scope"`
	At       Position        `json:"at"`
	Document json.RawMessage `json:"document"`
}

// Kept returns what is in force, for a disk, with a checksum.
func (f *Follower) Kept() ([]byte, error) {
	kept := keptState{Place: f.place, Format: Format}
	for _, scope := range f.scopes {
		if d, ok := f.inForce.made[scope]; ok {
			kept.Scopes = append(kept.Scopes, keptScope{scope, d.Position, d.text})
		}
	}
	body, err := json.Marshal(kept)
	if err != nil {
		return nil, fmt.Errorf("kept configuration: %w", err)
	}
	return append([]byte(keptHead(body)), body...), nil
}

// keptHead is the line before a kept state.
func keptHead(body []byte) string {
	sum := sha256.Sum256(body)
	return keptFormat + " " + hex.EncodeToString(sum[:]) + "\n"
}

// RestoreKept takes what Kept returned in an earlier process of the same agent; it is to be called before the first
// watch. Pending then offers it. It refuses what is torn, not of this place or of a later Format, and changes nothing.
func (f *Follower) RestoreKept(kept []byte) error {
	state, err := parseKept(kept)
	if err != nil {
		return fmt.Errorf("kept configuration: %w", err)
	}
	if state.Place != f.place {
		return fmt.Errorf("kept configuration: of %+v, not of %+v", state.Place, f.place)
	}
	if state.Format > Format {
		return fmt.Errorf("kept configuration: format %d is later than %d", state.Format, Format)
	}
	for _, s := range state.Scopes {
		if _, own := f.states[s.Scope]; !own {
			return fmt.Errorf("kept configuration: %v doesn't hold for this agent", s.Scope)
		}
	}
	for _, s := range state.Scopes {
		f.states[s.Scope].received = newDocument(s.At, s.Document)
	}
	f.known = false
	return nil
}

func parseKept(kept []byte) (keptState, error) {
	var state keptState
	head, body, ok := bytes.Cut(kept, []byte("\n"))
	if !ok {
		return state, errors.New("no whole first line")
	}
	if string(head)+"\n" != keptHead(body) {
		return state, errors.New("the checksum isn't right: torn, or of another format")
	}
	return state, json.Unmarshal(body, &state)
}
