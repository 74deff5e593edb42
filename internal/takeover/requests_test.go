package takeover

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
)

func openRequests(t *testing.T, dir string) *RunningRequests {
	t.Helper()
	r, err := OpenRunningRequests(dir, "n/0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

// Guards against a request that runs at both processes of an upgrade: what one has claimed, the other can't claim, until it
// is released or pushed out by many later ones.
func TestRequestsAreClaimedOnceOverProcesses(t *testing.T) {
	dir := t.TempDir()
	a, b := openRequests(t, dir), openRequests(t, dir)
	token, ok := a.Claim("one")
	if !ok {
		t.Fatal("a new request can't be claimed")
	}
	if _, ok := b.Claim("one"); ok {
		t.Error("claimed by the other process as well")
	}
	if _, ok := openRequests(t, dir).Claim("one"); ok {
		t.Error("claimed again by a process that started later")
	}
	if _, ok := b.Claim("two"); !ok {
		t.Error("another request can't be claimed")
	}
	a.Release("one", token)
	if _, ok := b.Claim("one"); !ok {
		t.Error("a request that has not run can't be claimed after its release")
	}
	for i := range maxRunningRequests {
		if _, ok := a.Claim(fmt.Sprint("later-", i)); !ok {
			t.Fatalf("request %d can't be claimed", i)
		}
	}
	if _, ok := b.Claim("two"); !ok {
		t.Error("a request is kept beyond the bound")
	}
}

// Of two processes that claim the same requests at the same time, never both succeed.
func TestRequestsAreClaimedOnceAtTheSameTime(t *testing.T) {
	dir := t.TempDir()
	const requests = 2000
	var claimed [requests]atomic.Int32
	var processes sync.WaitGroup
	for range 2 {
		r := openRequests(t, dir)
		processes.Go(func() {
			for i := range requests {
				if _, ok := r.Claim(fmt.Sprint(i)); ok {
					claimed[i].Add(1)
				}
			}
		})
	}
	processes.Wait()
	for i := range claimed {
		if n := claimed[i].Load(); n > 1 {
			t.Errorf("request %d was claimed %d times", i, n)
		}
	}
}

// A file of another length or format is replaced.
func TestInvalidRequestsAreReplaced(t *testing.T) {
	for _, content := range [][]byte{nil, []byte("x"), make([]byte, requestsBytes), make([]byte, requestsBytes+8)} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "lemonrail-n%2F0.requests"), content, 0o600); err != nil {
			t.Fatal(err)
		}
		r := openRequests(t, dir)
		if _, ok := r.Claim("one"); !ok {
			t.Errorf("%d bytes: a new request can't be claimed", len(content))
		}
		if _, ok := openRequests(t, dir).Claim("one"); ok {
			t.Errorf("%d bytes: claimed twice", len(content))
		}
	}
}
