package takeover

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// RunningRequests records, over all processes of one agent, the requests that may have run and must not run again: a client
// that comes back with one may reach another process than before. It is a ring of hashes in a file that all processes map
// into memory, so that recording one takes no system call. The latest maxRunningRequests are kept. A hash that two requests
// share would make the later one fail; with 64 bits that is not expected to happen.
//
// Its methods are safe for concurrent use, by several processes as well.
type RunningRequests struct {
	memory []byte
	seed   uint64
	next   *atomic.Uint64  // number of the next record
	hashes []atomic.Uint64 // 0: no record
}

const (
	maxRunningRequests = 4096
	requestsMagic      = 0x6c72_7265_7131_0001 // begins the file; its last part is the version of the format
	requestsHeader     = 3                     // words before the hashes: magic, seed, number of the next record
	requestsBytes      = 8 * (requestsHeader + maxRunningRequests)
)

// OpenRunningRequests opens the records of the agent called name in dir, the folder that the agent's processes share, and
// creates them if they are missing or invalid.
func OpenRunningRequests(dir, name string) (*RunningRequests, error) {
	f, err := os.OpenFile(filepath.Join(dir, "lemonrail-"+url.PathEscape(name)+".requests"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	defer f.Close()
	for attempt := 1; ; attempt++ {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		}
		if attempt == maxLockAttempts {
			return nil, fmt.Errorf("takeover: lock of requests: %w", err)
		}
		time.Sleep(lockRetryInterval)
	}
	defer syscall.Flock(int(f.Fd()), syscall.LOCK_UN) // the mapping would keep the lock beyond Close
	created := false
	if info, err := f.Stat(); err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	} else if info.Size() != requestsBytes {
		// All bytes are written, since a write to a mapped page for which the disk has no room would end the process.
		if _, err := f.WriteAt(make([]byte, requestsBytes), 0); err != nil {
			return nil, fmt.Errorf("takeover: %w", err)
		}
		if err := errors.Join(f.Truncate(requestsBytes), f.Sync()); err != nil {
			return nil, fmt.Errorf("takeover: %w", err)
		}
		created = true
	}
	memory, err := unix.Mmap(int(f.Fd()), 0, requestsBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("takeover: map requests: %w", err)
	}
	words := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&memory[0])), requestsBytes/8)
	if created || words[0].Load() != requestsMagic {
		for i := range words {
			words[i].Store(0)
		}
		words[1].Store(rand.Uint64())
		words[0].Store(requestsMagic)
	}
	return &RunningRequests{memory: memory, seed: words[1].Load(), next: &words[2], hashes: words[requestsHeader:]}, nil
}

// hash returns the hash of a key, never 0 (FNV-1a from a seed).
func (r *RunningRequests) hash(key string) uint64 {
	const prime = 1099511628211
	h := r.seed
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * prime
	}
	return max(h, 1)
}

// Claim records that a request is about to run for the first time. It returns false if it is recorded already, by this
// process or another. If two processes claim a request at the same moment, neither may run it.
func (r *RunningRequests) Claim(key string) (token uint64, ok bool) {
	hash := r.hash(key)
	slot := (r.next.Add(1) - 1) % maxRunningRequests
	r.hashes[slot].Store(hash) // before the search, so that of two processes at least one finds the other's
	for i := range r.hashes {
		if uint64(i) != slot && r.hashes[i].Load() == hash {
			r.hashes[slot].CompareAndSwap(hash, 0)
			return 0, false
		}
	}
	return slot, true
}

// Release removes the record of a request that certainly has not run. token is what Claim returned.
func (r *RunningRequests) Release(key string, token uint64) {
	r.hashes[token].CompareAndSwap(r.hash(key), 0)
}

// Close ends the use of the records, which stay for the agent's other processes.
func (r *RunningRequests) Close() error { return unix.Munmap(r.memory) }
