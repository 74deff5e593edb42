package server

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"

	"lemonrail/internal/configuration"
)

const (
	historyFile       = "history.db"
	historyMost       = 100 // revisions in an answer
	historyBytesMost  = 4 << 20
	historyOpenLimit  = time.Second
	historyPermission = 0o600
	checksumBytes     = 4
)

var (
	errNoHistory = errors.New("this machine keeps none now")
	checksums    = crc32.MakeTable(crc32.Castagnoli)
)

// history keeps the revisions that this machine has applied, for people. It is never the source of what is in force:
// that are the logs of the groups and their snapshots. Without its file the process runs on without it.
type history struct {
	db  *bbolt.DB // nil: none could be opened
	log *slog.Logger
}

// openHistory opens the folder's history. Each value is checksummed; a bucket has a scope's revisions by number.
func openHistory(folder string, log *slog.Logger) *history {
	h := &history{log: log}
	err := guarded(func() (err error) {
		h.db, err = bbolt.Open(filepath.Join(folder, historyFile), historyPermission, &bbolt.Options{Timeout: historyOpenLimit})
		return err
	})
	if err != nil {
		h.db = nil
		log.Error("history not opened; revisions are not recorded", "err", err)
	}
	return h
}

func (h *history) close() {
	if h.db != nil {
		h.db.Close()
	}
}

// guarded has a panic over a damaged file be an error.
func guarded(f func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("damaged: %v", reason)
		}
	}()
	return f()
}

// add records a revision, unless it is recorded already.
func (h *history) add(revision configuration.Revision) error {
	if h.db == nil {
		return nil
	}
	return guarded(func() error {
		known, err := h.has(revision)
		if known || err != nil {
			return err
		}
		value, err := encodeRecord(revision)
		if err != nil {
			return err
		}
		return h.db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte(revision.Scope.String()))
			if err != nil {
				return err
			}
			return bucket.Put(recordKey(revision.Revision), value)
		})
	})
}

// has reports whether a revision is recorded.
func (h *history) has(revision configuration.Revision) (known bool, err error) {
	err = h.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket([]byte(revision.Scope.String()))
		if bucket == nil {
			return nil
		}
		recorded, err := decodeRecord(bucket.Get(recordKey(revision.Revision)))
		known = err == nil && recorded.Position == revision.Position && recorded.Change == revision.Change
		return nil
	})
	return known, err
}

// list is a scope's recorded revisions, the latest first. Records that are damaged are left out and logged.
func (h *history) list(scope configuration.Scope) (revisions []configuration.Revision, err error) {
	if h.db == nil {
		return nil, errNoHistory
	}
	err = guarded(func() error {
		return h.db.View(func(tx *bbolt.Tx) error {
			bucket := tx.Bucket([]byte(scope.String()))
			if bucket == nil {
				return nil
			}
			bytes := 0
			cursor := bucket.Cursor()
			for key, value := cursor.Last(); key != nil && len(revisions) < historyMost && bytes < historyBytesMost; key, value = cursor.Prev() {
				revision, err := decodeRecord(value)
				if err != nil {
					h.log.Error("a record of the history is damaged", "scope", scope.String(), "key", fmt.Sprintf("%x", key), "err", err)
					continue
				}
				bytes += len(value)
				revisions = append(revisions, revision)
			}
			return nil
		})
	})
	return revisions, err
}

func recordKey(revision uint64) []byte { return binary.BigEndian.AppendUint64(nil, revision) }

// encodeRecord is a checksum (CRC-32C) and the revision as JSON.
func encodeRecord(revision configuration.Revision) ([]byte, error) {
	raw, err := json.Marshal(revision)
	if err != nil {
		return nil, err
	}
	value := binary.BigEndian.AppendUint32(nil, crc32.Checksum(raw, checksums))
	return append(value, raw...), nil
}

func decodeRecord(value []byte) (revision configuration.Revision, err error) {
	if len(value) < checksumBytes {
		return revision, errors.New("too short")
	}
	raw := value[checksumBytes:]
	if crc32.Checksum(raw, checksums) != binary.BigEndian.Uint32(value) {
		return revision, errors.New("checksum doesn't match")
	}
	err = json.Unmarshal(raw, &revision)
	return revision, err
}
