package duty

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Commands, answers and tables are JSON where they are written down or sent: they are small and rare, and can be read
// with any tool when something has gone wrong.

// CommandMost bounds a command's bytes.
const CommandMost = 16 << 10

// Bytes is a command as the log has it.
func (c *Command) Bytes() ([]byte, error) {
	raw, err := json.Marshal(c)
	if err == nil && len(raw) > CommandMost {
		err = fmt.Errorf("a command of %d bytes", len(raw))
	}
	return raw, err
}

// ParseCommand reads one.
func ParseCommand(raw []byte) (c Command, err error) {
	if len(raw) > CommandMost {
		return c, fmt.Errorf("a command of %d bytes", len(raw))
	}
	if err = decode(raw, &c); err == nil && c.Kind >= kinds {
		err = fmt.Errorf("a command of kind %d", c.Kind)
	}
	return c, err
}

// decode reads one value, and nothing else.
func decode(raw []byte, into any) error {
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

// snapshot is a table as it is written down.
type snapshot struct {
	Duties []Duty
	Recent []recent
}

type recent struct {
	Agent   string
	IDs     []uint64
	Answers []Answer
}

// Snapshot is the table as bytes, the same at all seats that have carried out the same commands.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Duties: t.Duties()}
	for _, agent := range t.order {
		r := t.recent[agent]
		s.Recent = append(s.Recent, recent{agent, r.ids, r.answers})
	}
	return json.Marshal(s)
}

// Restore is a table out of a snapshot.
func Restore(raw []byte) (*Table, error) {
	var s snapshot
	if err := decode(raw, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTable, err)
	}
	if len(s.Duties) > DutiesMost || len(s.Recent) > agentsMost {
		return nil, fmt.Errorf("%w: %d duties, %d agents", ErrTable, len(s.Duties), len(s.Recent))
	}
	t := NewTable()
	for i := range s.Duties {
		d := s.Duties[i]
		if err := d.Spec.Check(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTable, err)
		}
		if t.duties[d.Name] != nil || len(d.State) > StateMost {
			return nil, fmt.Errorf("%w: duty %q", ErrTable, d.Name)
		}
		t.duties[d.Name] = &d
	}
	for _, r := range s.Recent {
		if len(r.IDs) != len(r.Answers) || len(r.IDs) > answersMost || t.recent[r.Agent] != nil {
			return nil, fmt.Errorf("%w: commands of %q", ErrTable, r.Agent)
		}
		t.recent[r.Agent] = &answered{r.IDs, r.Answers}
		t.order = append(t.order, r.Agent)
	}
	return t, nil
}
