package configuration

import (
	"encoding/json"
	"fmt"
)

// snapshotFormat is the version of the snapshot format that this program writes and reads.
const snapshotFormat = 1

// registrySnapshot is the JSON form of a Registry.
type registrySnapshot struct {
	Format  int             `json:"format"`
	Group   string          `json:"group"`
	Scopes  []scopeSnapshot `json:"scopes"`
	Changes []changeResult  `json:"changes"`
}

// scopeSnapshot is the JSON form of one scope's state in a registry.
type scopeSnapshot struct {
	Latest Revision       `json:"latest"`
	Steps  []reversePatch `json:"steps"` // the scope's reverse patches, the newest first
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (r *Registry) Snapshot() ([]byte, error) {
	snapshot := registrySnapshot{Format: snapshotFormat, Group: r.group, Changes: r.changes.all()}
	for _, scope := range r.Scopes() {
		state := r.scopes[scope]
		snapshot.Scopes = append(snapshot.Scopes, scopeSnapshot{state.latest, state.reversePatches})
	}
	return json.Marshal(snapshot)
}

// Restore replaces the state with that of a snapshot. If it returns an error the state is unchanged.
func (r *Registry) Restore(snapshot []byte) error {
	var s registrySnapshot
	if err := json.Unmarshal(snapshot, &s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if s.Format != snapshotFormat {
		return fmt.Errorf("snapshot: format %d, not %d", s.Format, snapshotFormat)
	}
	if s.Group != r.group {
		return fmt.Errorf("snapshot: of the group %q, not %q", s.Group, r.group)
	}
	restored := NewRegistry(r.group)
	for _, scope := range s.Scopes {
		if err := restored.restoreScope(scope); err != nil {
			return fmt.Errorf("snapshot: %v: %w", scope.Latest.Scope, err)
		}
	}
	for _, result := range s.Changes {
		restored.changes.store(result)
	}
	restored.OnRevision = r.OnRevision
	*r = *restored
	return nil
}

// restoreScope adds the state of a scope after checking its group and digest.
func (r *Registry) restoreScope(s scopeSnapshot) error {
	latest := s.Latest
	if latest.Scope.Group() != r.group {
		return fmt.Errorf("written by the group %q", latest.Scope.Group())
	}
	if _, duplicate := r.scopes[latest.Scope]; duplicate {
		return fmt.Errorf("twice")
	}
	if digest := Digest(latest.Document); digest != latest.Digest {
		return fmt.Errorf("the document's digest is %s, not %s", digest, latest.Digest)
	}
	r.scopes[latest.Scope] = &scopeState{latest: latest, reversePatches: s.Steps}
	r.bytes += len(latest.Document)
	return nil
}
