package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// changeLog remembers the results of the last ChangesKept changes, so that one that is sent again is known.
type changeLog struct {
	order   []string // identities, the oldest first
	results map[string]changeResult
}

// changeResult is a change's first result.
type changeResult struct {
	ID      string  `json:"id"`
	Content string  `json:"content"` // names what it asked for
	Outcome outcome `json:"outcome"`
}

func newChangeLog() changeLog { return changeLog{results: map[string]changeResult{}} }

func (l *changeLog) has(id string) bool {
	_, ok := l.results[id]
	return ok
}

// find returns the first result of a change. Another change with its identity is refused.
func (l *changeLog) find(c Change) (outcome, bool) {
	first, ok := l.results[c.ID]
	if ok && first.Content != contentOf(c) {
		return outcome{Refused: invalid("id: %q was another change's", c.ID)}, true
	}
	return first.Outcome, ok
}

func (l *changeLog) add(c Change, o outcome) {
	if c.ID == "" || len(c.ID) > ChangeIDMost {
		return // it was refused for that
	}
	l.put(changeResult{ID: c.ID, Content: contentOf(c), Outcome: o})
}

func (l *changeLog) put(result changeResult) {
	if len(l.order) == ChangesKept {
		delete(l.results, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
	l.order = append(l.order, result.ID)
	l.results[result.ID] = result
}

// all are the results, the oldest first.
func (l *changeLog) all() []changeResult {
	results := make([]changeResult, len(l.order))
	for i, id := range l.order {
		results[i] = l.results[id]
	}
	return results
}

// contentOf names what a change asks for; machines that take it in turn differ in At alone.
func contentOf(c Change) string {
	c.At = ""
	text, err := json.Marshal(c)
	if err != nil {
		text = c.Document // no JSON: Apply refuses it
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}
