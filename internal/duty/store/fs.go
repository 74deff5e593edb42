package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FS is the directory that a store uses. File names are relative to it. Tests use FaultyDisk in place of Dir.
type FS interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // truncates
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// File is a file opened for writing.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Dir is an FS in a directory of the operating system.
type Dir string

// List returns the names of the directory's regular files, and creates the directory if it doesn't exist.
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

// Read returns the content of a file.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Create creates a file, or truncates an existing one.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append opens an existing file for writing at its end.
func (d Dir) Append(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Rename renames a file, and replaces an existing one.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file. It is no error if the file doesn't exist.
func (d Dir) Remove(name string) error {
	if err := os.Remove(d.path(name)); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDir syncs the directory's own entries.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }
