package duty

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Commands, answers and tables are JSON when they are stored or sent: they are small and rare, and JSON can be
// read with any tool when something has gone wrong.

// MaxCommandBytes limits the size of an encoded command.
const MaxCommandBytes = 16 << 10

// Bytes returns the command encoded for the replicated log.
func (c *Command) Bytes() ([]byte, error) {
	raw, err := json.Marshal(c)
	if err == nil && len(raw) > MaxCommandBytes {
		err = fmt.Errorf("a command of %d bytes", len(raw))
	}
	return raw, err
}

// ParseCommand decodes a command from the replicated log. It refuses unknown fields and kinds.
func ParseCommand(raw []byte) (c Command, err error) {
	if len(raw) > MaxCommandBytes {
		return c, fmt.Errorf("a command of %d bytes", len(raw))
	}
	if err = decodeStrict(raw, &c); err == nil && c.Kind >= kindCount {
		err = fmt.Errorf("a command of kind %d", c.Kind)
	}
	return c, err
}

// decodeStrict decodes exactly one JSON value without unknown fields or trailing data.
func decodeStrict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more behind it")
	}
	return nil
}

// snapshot is the stored form of a table: its duties, and the answers that it remembers.
type snapshot struct {
	Duties []Duty
	Recent []agentAnswers // by agent and duty, the least recently used first
}

// agentAnswers are the remembered answers to the last commands of one agent about one duty.
type agentAnswers struct {
	Agent   string   // key of Table.answered: the agent's name, a zero byte and the duty's name
	IDs     []uint64 // IDs of the commands, the oldest first
	Answers []Answer // the answer to each of IDs
}

// Snapshot encodes the table. Voters that have applied the same commands get the same bytes.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Duties: t.Duties()}
	for _, agent := range t.answeredOrder {
		r := t.answered[agent]
		s.Recent = append(s.Recent, agentAnswers{agent, r.ids, r.answers})
	}
	return json.Marshal(s)
}

// Restore decodes and checks a snapshot of a table.
func Restore(raw []byte) (*Table, error) {
	var s snapshot
	if err := decodeStrict(raw, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidTable, err)
	}
	if len(s.Duties) > MaxDuties || len(s.Recent) > maxAnswerCaches {
		return nil, fmt.Errorf("%w: %d duties, %d agents", ErrInvalidTable, len(s.Duties), len(s.Recent))
	}
	t := NewTable()
	for i := range s.Duties {
		d := s.Duties[i]
		if err := d.Spec.Check(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidTable, err)
		}
		if t.duties[d.Name] != nil || len(d.State) > MaxStateBytes {
			return nil, fmt.Errorf("%w: duty %q", ErrInvalidTable, d.Name)
		}
		t.duties[d.Name] = &d
	}
	for _, r := range s.Recent {
		if len(r.IDs) != len(r.Answers) || len(r.IDs) > maxAnswersPerAgent || t.answered[r.Agent] != nil {
			return nil, fmt.Errorf("%w: commands of %q", ErrInvalidTable, r.Agent)
		}
		t.answered[r.Agent] = &answerCache{r.IDs, r.Answers}
		t.answeredOrder = append(t.answeredOrder, r.Agent)
	}
	return t, nil
}
