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

// FaultyDisk is a folder in memory that fails, or says yes to a sync and keeps nothing, as tests ask for.
type FaultyDisk struct {
	FailAt     int  // the step (create, write, sync, rename, remove, sync of the folder) that fails; 0: none
	DropsSyncs bool // a sync keeps nothing from now on

	rng   *rand.Rand
	steps int
	files map[string]*faultyFile // as a process sees them
	names map[string]bool        // that a kill leaves, by the last sync of the folder
}

// faultyFile is a file: what is written and what was synced.
type faultyFile struct {
	now, kept []byte
}

// ErrInjected is the failure that was asked for.
var ErrInjected = errors.New("injected: no space left on device")

// NewFaultyDisk is empty. What of unsynced writes outlives a kill is drawn from seed.
func NewFaultyDisk(seed uint64) *FaultyDisk {
	return &FaultyDisk{rng: rand.New(rand.NewPCG(seed, 34)), files: map[string]*faultyFile{}, names: map[string]bool{}}
}

func (d *FaultyDisk) step() error {
	d.steps++
	if d.FailAt > 0 && d.steps >= d.FailAt {
		return ErrInjected
	}
	return nil
}

// Kill leaves what a machine that loses its power leaves: what was synced, and any beginning of what was written since.
func (d *FaultyDisk) Kill() {
	d.FailAt = 0
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		if !d.names[name] && d.rng.IntN(2) == 0 {
			delete(d.files, name)
			continue
		}
		more := 0
		if len(f.now) > len(f.kept) && bytes.HasPrefix(f.now, f.kept) {
			more = d.rng.IntN(len(f.now) - len(f.kept) + 1)
			f.now = f.now[:len(f.kept)+more]
		} else {
			f.now = bytes.Clone(f.kept)
		}
		f.kept = bytes.Clone(f.now)
	}
}

// List names the files.
func (d *FaultyDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }

// Read is a whole file.
func (d *FaultyDisk) Read(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return bytes.Clone(f.now), nil
	}
	return nil, fs.ErrNotExist
}

// Create makes a file, or empties it.
func (d *FaultyDisk) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	f := &faultyFile{}
	d.files[name] = f
	delete(d.names, name)
	return &handle{d, f}, nil
}

// Append opens a file to write at its end.
func (d *FaultyDisk) Append(name string) (File, error) {
	if f := d.files[name]; f != nil {
		return &handle{d, f}, nil
	}
	return nil, fs.ErrNotExist
}

// Rename puts one file in another's place.
func (d *FaultyDisk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	f := d.files[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = f
	return nil
}

// Remove removes a file.
func (d *FaultyDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// SyncDir has names last.
func (d *FaultyDisk) SyncDir() error {
	if err := d.step(); err != nil {
		return err
	}
	if !d.DropsSyncs {
		for name := range d.files {
			d.names[name] = true
		}
	}
	return nil
}

// handle is an open file.
type handle struct {
	disk *FaultyDisk
	file *faultyFile
}

// Write takes all, or half of it where it fails.
func (h *handle) Write(b []byte) (int, error) {
	if err := h.disk.step(); err != nil {
		h.file.now = append(h.file.now, b[:len(b)/2]...)
		return len(b) / 2, fmt.Errorf("halfway: %w", err)
	}
	h.file.now = append(h.file.now, b...)
	return len(b), nil
}

// Sync has what was written last, unless the folder lies.
func (h *handle) Sync() error {
	if err := h.disk.step(); err != nil {
		return err
	}
	if !h.disk.DropsSyncs {
		h.file.kept = bytes.Clone(h.file.now)
	}
	return nil
}

// Truncate cuts the file.
func (h *handle) Truncate(size int64) error {
	if err := h.disk.step(); err != nil {
		return err
	}
	h.file.now = h.file.now[:size]
	return nil
}

// Close lets the file go.
func (h *handle) Close() error { return nil }
