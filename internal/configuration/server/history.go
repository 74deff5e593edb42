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
	historyFile         = "history.db"
	maxHistoryRevisions = 100         // in one response
	maxHistoryBytes     = 4 << 20     // of records in one response
	historyOpenTimeout  = time.Second // longest wait for the file's lock
	historyPermission   = 0o600
	checksumBytes       = 4 // length of a record's CRC-32C checksum
)

var (
	errHistoryUnavailable = errors.New("this machine keeps none now")
	crcTable              = crc32.MakeTable(crc32.Castagnoli)
)

// history records the revisions that this machine has applied, for operators. It is never the source of the
// settings in force, which come from the groups' logs and snapshots. If its file cannot be opened, the
// process runs without a history.
type history struct {
	db  *bbolt.DB // nil if the file could not be opened
	log *slog.Logger
}

// openHistory opens the folder's history file. The file has a bucket per scope, in which checksummed records
// are stored by revision number.
func openHistory(folder string, log *slog.Logger) *history {
	h := &history{log: log}
	err := recoverPanic(func() (err error) {
		h.db, err = bbolt.Open(filepath.Join(folder, historyFile), historyPermission, &bbolt.Options{Timeout: historyOpenTimeout})
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

// recoverPanic calls f and returns a panic, which bbolt raises on a damaged file, as an error.
func recoverPanic(f func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("damaged: %v", reason)
		}
	}()
	return f()
}

// add writes a revision to the file, unless it is there already.
func (h *history) add(revision configuration.Revision) error {
	if h.db == nil {
		return nil
	}
	return recoverPanic(func() error {
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

// has reports whether the file has a revision.
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

// list returns a scope's recorded revisions, the latest first. Damaged records are skipped and logged.
func (h *history) list(scope configuration.Scope) (revisions []configuration.Revision, err error) {
	if h.db == nil {
		return nil, errHistoryUnavailable
	}
	err = recoverPanic(func() error {
		return h.db.View(func(tx *bbolt.Tx) error {
			bucket := tx.Bucket([]byte(scope.String()))
			if bucket == nil {
				return nil
			}
			bytes := 0
			cursor := bucket.Cursor()
			for key, value := cursor.Last(); key != nil && len(revisions) < maxHistoryRevisions && bytes < maxHistoryBytes; key, value = cursor.Prev() {
				revision, err := decodeRecord(value)
				if err != nil {
					h.log.Error("damaged history record", "scope", scope.String(), "key", fmt.Sprintf("%x", key), "err", err)
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

// recordKey returns the key of a revision in its scope's bucket, which sorts by revision number.
func recordKey(revision uint64) []byte { return binary.BigEndian.AppendUint64(nil, revision) }

// encodeRecord returns a CRC-32C checksum followed by the revision as JSON.
func encodeRecord(revision configuration.Revision) ([]byte, error) {
	raw, err := json.Marshal(revision)
	if err != nil {
		return nil, err
	}
	value := binary.BigEndian.AppendUint32(nil, crc32.Checksum(raw, crcTable))
	return append(value, raw...), nil
}

// decodeRecord returns the revision in a record, or an error if the checksum doesn't match.
func decodeRecord(value []byte) (revision configuration.Revision, err error) {
	if len(value) < checksumBytes {
		return revision, errors.New("too short")
	}
	raw := value[checksumBytes:]
	if crc32.Checksum(raw, crcTable) != binary.BigEndian.Uint32(value) {
		return revision, errors.New("checksum doesn't match")
	}
	err = json.Unmarshal(raw, &revision)
	return revision, err
}
