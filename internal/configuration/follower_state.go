package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// stateHeader begins the first line of a saved state. If the layout of the state changes, the header has to
// change too.
const stateHeader = "lemonrail configuration 1"

// savedState is the part of a Follower's state that survives a restart: the documents in force. The line
// before its JSON holds stateHeader and the checksum.
type savedState struct {
	Place  Place        `json:"place"`
	Format int          `json:"format"`
	Scopes []savedScope `json:"scopes"`
}

// savedScope is the revision of one scope in a savedState.
type savedScope struct {
	Scope    Scope           `json:"scope"`
	At       Position        `json:"at"`
	Document json.RawMessage `json:"document"`
}

// MarshalState returns the documents in force, with a checksum, for storage on disk.
func (f *Follower) MarshalState() ([]byte, error) {
	saved := savedState{Place: f.place, Format: Format}
	for _, scope := range f.scopes {
		if d, ok := f.inForce.sources[scope]; ok {
			saved.Scopes = append(saved.Scopes, savedScope{scope, d.Position, d.text})
		}
	}
	body, err := json.Marshal(saved)
	if err != nil {
		return nil, fmt.Errorf("kept configuration: %w", err)
	}
	return append([]byte(stateHeaderLine(body)), body...), nil
}

// stateHeaderLine returns the first line of a saved state, which holds the checksum of body.
func stateHeaderLine(body []byte) string {
	sum := sha256.Sum256(body)
	return stateHeader + " " + hex.EncodeToString(sum[:]) + "\n"
}

// RestoreState restores what MarshalState returned in an earlier process of the same agent, to be offered by Pending.
// Call it before the first watch. If the state is damaged, of another place or of a later Format, it returns
// an error and changes nothing.
func (f *Follower) RestoreState(text []byte) error {
	state, err := parseState(text)
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
		if _, applies := f.states[s.Scope]; !applies {
			return fmt.Errorf("kept configuration: %v doesn't hold for this agent", s.Scope)
		}
	}
	for _, s := range state.Scopes {
		f.states[s.Scope].received = newScopeDocument(s.At, s.Document)
	}
	f.evaluated = false
	return nil
}

// parseState parses a saved state and checks its header and checksum.
func parseState(text []byte) (savedState, error) {
	var state savedState
	header, body, ok := bytes.Cut(text, []byte("\n"))
	if !ok {
		return state, errors.New("no whole first line")
	}
	if string(header)+"\n" != stateHeaderLine(body) {
		return state, errors.New("the checksum isn't right: torn, or of another format")
	}
	return state, json.Unmarshal(body, &state)
}
