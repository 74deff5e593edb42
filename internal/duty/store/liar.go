package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

// Liar is a folder in memory that fails, or says yes to a sync and keeps nothing, as tests ask for.
type Liar struct {
	FailAt int  // the step (create, write, sync, rename, remove, sync of the folder) that fails; 0: none
	Lies   bool // a sync keeps nothing from now on

	rng   *rand.Rand
	steps int
	files map[string]*lied // as a process sees them
	names map[string]bool  // that a kill leaves, by the last sync of the folder
}

// lied is a file: what is written and what was synced.
type lied struct {
	now, kept []byte
}

// ErrInjected is the failure that was asked for.
var ErrInjected = errors.New("injected: no space left on device")

// NewLiar is empty. What of unsynced writes outlives a kill is drawn from seed.
func NewLiar(seed uint64) *Liar {
	return &Liar{rng: rand.New(rand.NewPCG(seed, 34)), files: map[string]*lied{}, names: map[string]bool{}}
}

func (l *Liar) step() error {
	l.steps++
	if l.FailAt > 0 && l.steps >= l.FailAt {
		return ErrInjected
	}
	return nil
}

// Kill leaves what a machine that loses its power leaves: what was synced, and any beginning of what was written since.
func (l *Liar) Kill() {
	l.FailAt = 0
	for _, name := range slices.Sorted(maps.Keys(l.files)) {
		f := l.files[name]
		if !l.names[name] && l.rng.IntN(2) == 0 {
			delete(l.files, name)
			continue
		}
		more := 0
		if len(f.now) > len(f.kept) && bytes.HasPrefix(f.now, f.kept) {
			more = l.rng.IntN(len(f.now) - len(f.kept) + 1)
			f.now = f.now[:len(f.kept)+more]
		} else {
			f.now = bytes.Clone(f.kept)
		}
		f.kept = bytes.Clone(f.now)
	}
}

// List names the files.
func (l *Liar) List() ([]string, error) { return slices.Sorted(maps.Keys(l.files)), nil }

// Read is a whole file.
func (l *Liar) Read(name string) ([]byte, error) {
	if f := l.files[name]; f != nil {
		return bytes.Clone(f.now), nil
	}
	return nil, fs.ErrNotExist
}

// Create makes a file, or empties it.
func (l *Liar) Create(name string) (File, error) {
	if err := l.step(); err != nil {
		return nil, err
	}
	f := &lied{}
	l.files[name] = f
	delete(l.names, name)
	return &handle{l, f}, nil
}

// Append opens a file to write at its end.
func (l *Liar) Append(name string) (File, error) {
	if f := l.files[name]; f != nil {
		return &handle{l, f}, nil
	}
	return nil, fs.ErrNotExist
}

// Rename puts one file in another's place.
func (l *Liar) Rename(from, to string) error {
	if err := l.step(); err != nil {
		return err
	}
	f := l.files[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(l.files, from)
	l.files[to] = f
	return nil
}

// Remove removes a file.
func (l *Liar) Remove(name string) error {
	if err := l.step(); err != nil {
		return err
	}
	delete(l.files, name)
	return nil
}

// SyncDir has names last.
func (l *Liar) SyncDir() error {
	if err := l.step(); err != nil {
		return err
	}
	if !l.Lies {
		for name := range l.files {
			l.names[name] = true
		}
	}
	return nil
}

// handle is an open file.
type handle struct {
	l *Liar
	f *lied
}

// Write takes all, or half of it where it fails.
func (h *handle) Write(b []byte) (int, error) {
	if err := h.l.step(); err != nil {
		h.f.now = append(h.f.now, b[:len(b)/2]...)
		return len(b) / 2, fmt.Errorf("halfway: %w", err)
	}
	h.f.now = append(h.f.now, b...)
	return len(b), nil
}

// Sync has what was written last, unless the folder lies.
func (h *handle) Sync() error {
	if err := h.l.step(); err != nil {
		return err
	}
	if !h.l.Lies {
		h.f.kept = bytes.Clone(h.f.now)
	}
	return nil
}

// Truncate cuts the file.
func (h *handle) Truncate(size int64) error {
	if err := h.l.step(); err != nil {
		return err
	}
	h.f.now = h.f.now[:size]
	return nil
}

// Close lets the file go.
func (h *handle) Close() error { return nil }
