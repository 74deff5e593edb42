package watch

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// keptMost is how many bytes of a kept file are read: it has a document for each of an agent's scopes.
const keptMost = 1 << 20

// keptPath is the file of this agent; empty: nothing is kept.
func (w *Watcher) keptPath() string {
	if w.cfg.Folder == "" {
		return ""
	}
	return filepath.Join(w.cfg.Folder, "configuration-"+w.cfg.Place.Region+"-"+w.cfg.Place.Agent+".json")
}

// readKept returns what an earlier process kept; nil: nothing.
func (w *Watcher) readKept() ([]byte, error) {
	path := w.keptPath()
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, keptMost+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > keptMost {
		return nil, fmt.Errorf("%s: over %d bytes", path, keptMost)
	}
	return raw, nil
}

// keep writes what is in force to the disk, where there is one. A disk that fails is told of and changes nothing else.
func (w *Watcher) keep() {
	path := w.keptPath()
	if path == "" {
		return
	}
	raw, err := w.follower.Kept()
	if err == nil {
		err = writeWhole(path, raw)
	}
	if err != nil {
		w.log.Warn("configuration: not kept: a restart begins with what was kept before", "err", err)
	}
}

// writeWhole replaces a file so that a crash leaves the old one or the new one.
func writeWhole(path string, raw []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".configuration-*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // fails once it has its name
	_, err = file.Write(raw)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// syncFolder has the disk hold which files a folder has.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
