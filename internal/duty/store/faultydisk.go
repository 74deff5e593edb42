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

// FaultyDisk is an FS in memory for tests, which can fail at a given step or drop syncs without an error.
type FaultyDisk struct {
	// Number of the step (create, write, sync, rename, remove, sync of the folder) from which on every step fails; 0: none.
	FailAt     int
	DropsSyncs bool // syncs succeed but store nothing while this is set

	rng         *rand.Rand
	steps       int                    // number of steps taken
	files       map[string]*faultyFile // as processes see them, synced or not
	syncedNames map[string]bool        // names that survive Kill, since the folder was synced
}

// faultyFile is a file's written content and the part that was synced.
type faultyFile struct {
	written, synced []byte
}

// ErrInjected is the error of injected failures.
var ErrInjected = errors.New("injected: no space left on device")

// NewFaultyDisk returns an empty disk. The part of unsynced writes that survives Kill is drawn from seed.
func NewFaultyDisk(seed uint64) *FaultyDisk {
	return &FaultyDisk{rng: rand.New(rand.NewPCG(seed, 34)), files: map[string]*faultyFile{}, syncedNames: map[string]bool{}}
}

// step counts a step, and fails it from step FailAt on.
func (d *FaultyDisk) step() error {
	d.steps++
	if d.FailAt > 0 && d.steps >= d.FailAt {
		return ErrInjected
	}
	return nil
}

// Kill simulates a loss of power: synced data survives, and a random prefix of what was written since. It also
// ends injected failures.
func (d *FaultyDisk) Kill() {
	d.FailAt = 0
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		if !d.syncedNames[name] && d.rng.IntN(2) == 0 {
			delete(d.files, name)
			continue
		}
		extra := 0
		if len(f.written) > len(f.synced) && bytes.HasPrefix(f.written, f.synced) {
			extra = d.rng.IntN(len(f.written) - len(f.synced) + 1)
			f.written = f.written[:len(f.synced)+extra]
		} else {
			f.written = bytes.Clone(f.synced)
		}
		f.synced = bytes.Clone(f.written)
	}
}

// List implements FS.
func (d *FaultyDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }

// Read implements FS.
func (d *FaultyDisk) Read(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return bytes.Clone(f.written), nil
	}
	return nil, fs.ErrNotExist
}

// Create implements FS.
func (d *FaultyDisk) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	f := &faultyFile{}
	d.files[name] = f
	delete(d.syncedNames, name)
	return &handle{d, f}, nil
}

// Append implements FS.
func (d *FaultyDisk) Append(name string) (File, error) {
	if f := d.files[name]; f != nil {
		return &handle{d, f}, nil
	}
	return nil, fs.ErrNotExist
}

// Rename implements FS.
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

// Remove implements FS.
func (d *FaultyDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// SyncDir makes the current names durable.
func (d *FaultyDisk) SyncDir() error {
	if err := d.step(); err != nil {
		return err
	}
	if !d.DropsSyncs {
		for name := range d.files {
			d.syncedNames[name] = true
		}
	}
	return nil
}

// handle is an open file of a FaultyDisk.
type handle struct {
	disk *FaultyDisk
	file *faultyFile
}

// Write appends b, or half of it if the step fails.
func (h *handle) Write(b []byte) (int, error) {
	if err := h.disk.step(); err != nil {
		h.file.written = append(h.file.written, b[:len(b)/2]...)
		return len(b) / 2, fmt.Errorf("partial write: %w", err)
	}
	h.file.written = append(h.file.written, b...)
	return len(b), nil
}

// Sync makes the written content durable, unless the disk drops syncs.
func (h *handle) Sync() error {
	if err := h.disk.step(); err != nil {
		return err
	}
	if !h.disk.DropsSyncs {
		h.file.synced = bytes.Clone(h.file.written)
	}
	return nil
}

// Truncate cuts the file to size bytes.
func (h *handle) Truncate(size int64) error {
	if err := h.disk.step(); err != nil {
		return err
	}
	h.file.written = h.file.written[:size]
	return nil
}

// Close does nothing.
func (h *handle) Close() error { return nil }
