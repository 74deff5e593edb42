package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// changeLog keeps the results of the last MaxChangeResults changes, so that a repeated change gets its first
// result.
type changeLog struct {
	order   []string                // IDs of the changes, the oldest first
	results map[string]changeResult // results by ID of the change
}

// changeResult is the result that a change got when it was first applied.
type changeResult struct {
	ID      string  `json:"id"`
	Content string  `json:"content"` // digest of the change, see contentDigest
	Outcome outcome `json:"outcome"`
}

func newChangeLog() changeLog { return changeLog{results: map[string]changeResult{}} }

func (l *changeLog) has(id string) bool {
	_, ok := l.results[id]
	return ok
}

// find returns the first result of a change, if it is known. A different change with the same ID is refused.
func (l *changeLog) find(c Change) (outcome, bool) {
	first, ok := l.results[c.ID]
	if ok && first.Content != contentDigest(c) {
		return outcome{Refused: invalidError("id: %q was another change's", c.ID)}, true
	}
	return first.Outcome, ok
}

// add stores the result of a change, and forgets the oldest result beyond MaxChangeResults.
func (l *changeLog) add(c Change, o outcome) {
	if c.ID == "" || len(c.ID) > MaxChangeIDBytes {
		return // the change was refused because of its ID
	}
	l.store(changeResult{ID: c.ID, Content: contentDigest(c), Outcome: o})
}

func (l *changeLog) store(result changeResult) {
	if len(l.order) == MaxChangeResults {
		delete(l.results, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
	l.order = append(l.order, result.ID)
	l.results[result.ID] = result
}

// all returns the results, the oldest first.
func (l *changeLog) all() []changeResult {
	results := make([]changeResult, len(l.order))
	for i, id := range l.order {
		results[i] = l.results[id]
	}
	return results
}

// contentDigest returns a digest of what a change requests. It leaves out At, because each machine that
// receives a repeated change sets its own time.
func contentDigest(c Change) string {
	c.At = ""
	text, err := json.Marshal(c)
	if err != nil {
		text = c.Document // the document isn't valid JSON, and Apply refuses it
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}
