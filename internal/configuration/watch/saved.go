package watch

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// maxSavedBytes limits how much of a file of saved documents is read. The file has one document for each of
// an agent's scopes.
const maxSavedBytes = 1 << 20

// savedPath returns the path of the file in which this agent's documents are saved, or "" if Config.Folder is
// empty.
func (w *Watcher) savedPath() string {
	if w.cfg.Folder == "" {
		return ""
	}
	return filepath.Join(w.cfg.Folder, "configuration-"+w.cfg.Place.Region+"-"+w.cfg.Place.Agent+".json")
}

// readSaved returns the content that an earlier process saved, or nil if no file was saved or the documents
// aren't saved at all.
func (w *Watcher) readSaved() ([]byte, error) {
	path := w.savedPath()
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
	raw, err := io.ReadAll(io.LimitReader(file, maxSavedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxSavedBytes {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxSavedBytes)
	}
	return raw, nil
}

// saveDocuments writes the documents in force to the disk, if Config.Folder is set. If that fails, it is only logged.
func (w *Watcher) saveDocuments() {
	path := w.savedPath()
	if path == "" {
		return
	}
	raw, err := w.follower.MarshalState()
	if err == nil {
		err = writeFileAtomic(path, raw)
	}
	if err != nil {
		w.log.Warn("configuration: documents not saved: a restart uses those saved before", "err", err)
	}
}

// writeFileAtomic replaces a file so that a crash leaves either the old content or the new.
func writeFileAtomic(path string, raw []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".configuration-*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // fails, without effect, after the rename
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
	return syncDir(filepath.Dir(path))
}

// syncDir syncs a directory, so that a file renamed in it keeps its new name after a crash.
func syncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
