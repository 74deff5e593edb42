package server

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"

	"lemonrail/internal/configuration"
)

// testRevision returns a revision of the fleet's document that a change of the given ID has made.
func testRevision(number uint64, change string) configuration.Revision {
	return configuration.Revision{
		Scope:    configuration.Fleet,
		Position: configuration.Position{Revision: number, Epoch: 1},
		Document: json.RawMessage(`{"format":1}`),
		Change:   change,
	}
}

func openTestHistory(t *testing.T, folder string) *history {
	t.Helper()
	h := openHistory(folder, slog.New(slog.DiscardHandler))
	t.Cleanup(h.close)
	return h
}

func addAll(t *testing.T, h *history, revisions ...configuration.Revision) {
	t.Helper()
	for _, revision := range revisions {
		if err := h.add(revision); err != nil {
			t.Fatal(err)
		}
	}
}

// checkListed checks that the history lists the revisions of these change IDs, in this order.
func checkListed(t *testing.T, h *history, changes ...string) {
	t.Helper()
	listed, err := h.list(configuration.Fleet)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, revision := range listed {
		got = append(got, revision.Change)
	}
	if len(got) != len(changes) {
		t.Fatalf("got the changes %v, want %v", got, changes)
	}
	for i := range got {
		if got[i] != changes[i] {
			t.Fatalf("got the changes %v, want %v", got, changes)
		}
	}
}

func TestHistoryPersistsAndListsLatestFirst(t *testing.T) {
	folder := t.TempDir()
	h := openTestHistory(t, folder)
	addAll(t, h, testRevision(1, "x"), testRevision(2, "y"), testRevision(2, "y"), testRevision(10, "z"))
	checkListed(t, h, "z", "y", "x")
	h.close()
	checkListed(t, openTestHistory(t, folder), "z", "y", "x")
}

func TestHistorySkipsDamagedRecords(t *testing.T) {
	h := openTestHistory(t, t.TempDir())
	addAll(t, h, testRevision(1, "x"), testRevision(2, "y"))
	err := h.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket([]byte(configuration.Fleet.String()))
		value := bytes.Replace(bucket.Get(recordKey(2)), []byte(`"change":"y"`), []byte(`"change":"q"`), 1)
		return bucket.Put(recordKey(2), value)
	})
	if err != nil {
		t.Fatal(err)
	}
	checkListed(t, h, "x")
	addAll(t, h, testRevision(2, "y")) // a revision recorded before, as when the log is replayed after a restart
	checkListed(t, h, "y", "x")
}

func TestHistoryThatCannotBeOpenedDropsRevisions(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, historyFile), []byte("no database, but long enough to be read as one"), 0o600); err != nil {
		t.Fatal(err)
	}
	h := openTestHistory(t, folder)
	addAll(t, h, testRevision(1, "x"))
	if _, err := h.list(configuration.Fleet); err == nil {
		t.Error("list succeeded without an open history file")
	}
}
