package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FS is what the store needs of a folder. Names are those of files in it. Tests put one in its place that lies.
type FS interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // truncates
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// File is one that is written to.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Dir is a folder of the operating system.
type Dir string

// List names the folder's files; a folder that isn't there is made.
func (d Dir) List() ([]string, error) {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return nil, err
	}
	all, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range all {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read is a whole file.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Create makes a file, or empties it.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append opens a file to write at its end.
func (d Dir) Append(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Rename puts one file in another's place.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file; one that isn't there is none.
func (d Dir) Remove(name string) error {
	if err := os.Remove(d.path(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDir has the folder's own entries last.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }
