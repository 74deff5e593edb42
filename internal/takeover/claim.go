package takeover

import (
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxLockAttempts   = 30 // attempts to get the lock on the state, since its holder only writes one small file
	lockRetryInterval = 10 * time.Millisecond
)

// Claim is the generation that a process holds among the processes of one agent, with the files of their shared
// state. Its methods are safe for concurrent use.
type Claim struct {
	pathPrefix string   // the path that the names of all files begin with
	aliveFile  *os.File // file NAME.N.alive, locked for as long as the process lives

	mu         sync.Mutex
	generation int   // number of the process among all that the agent has had, from 1
	lastState  State // the state that this process read or wrote last
}

// Acquire claims the next generation of the agent called name in dir, the folder that the agent's processes share. An
// invalid state file is discarded: Acquire then returns an error together with a usable claim, since a broken file
// must not keep a process from serving.
func Acquire(dir, name string) (*Claim, State, error) {
	c := &Claim{pathPrefix: filepath.Join(dir, "lemonrail-"+url.PathEscape(name))}
	var readErr error
	s, err := c.change(func(s *State) error {
		s.Generation++
		c.generation = s.Generation
		// After a loss of the state the number may belong to an earlier process that is still alive: its
		// lock then is held, and the next number is tried.
		for {
			f, err := os.OpenFile(c.alivePath(c.generation), os.O_CREATE|os.O_RDWR, 0o600)
			if err != nil {
				return err
			}
			if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
				c.aliveFile = f
				break
			}
			f.Close()
			s.Generation++
			c.generation = s.Generation
		}
		return nil
	}, &readErr)
	if err != nil {
		if c.aliveFile != nil {
			c.aliveFile.Close()
		}
		return nil, State{}, fmt.Errorf("takeover: %w", err)
	}
	return c, s, readErr
}

// alivePath returns the path of the file that the process of a generation keeps locked.
func (c *Claim) alivePath(gen int) string { return fmt.Sprintf("%s.%d.alive", c.pathPrefix, gen) }

// Generation returns the generation of this process.
func (c *Claim) Generation() int { return c.generation }

// Change applies f to the shared state under the lock, writes the result and returns it. An error of f leaves the
// state unchanged.
func (c *Claim) Change(f func(*State) error) (State, error) { return c.change(f, nil) }

// change is Change; an error in reading the state is stored in readErr, unless that is nil, and the state
// that this process knew last takes its place.
func (c *Claim) change(f func(*State) error, readErr *error) (State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lock, err := os.OpenFile(c.pathPrefix+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return State{}, err
	}
	defer lock.Close() // releases the lock
	for attempt := 1; ; attempt++ {
		if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		}
		if attempt == maxLockAttempts {
			return State{}, fmt.Errorf("lock: %w", err)
		}
		time.Sleep(lockRetryInterval)
	}
	s, err := c.read()
	if err != nil { // falls back on the state that this process knew last, which is empty at its start
		if readErr != nil {
			*readErr = err
		}
		s = c.lastState
	}
	if err := f(&s); err != nil {
		return State{}, err
	}
	s.Version++
	raw, err := s.Encode()
	if err != nil {
		return State{}, err
	}
	if err := replaceFile(c.pathPrefix+".state", c.pathPrefix+".new", raw); err != nil {
		return State{}, err
	}
	c.lastState = s
	return s, nil
}

// replaceFile replaces a file atomically: it writes and syncs tempName, which it then renames to name.
func replaceFile(name, tempName string, raw []byte) error {
	f, err := os.OpenFile(tempName, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(tempName, name)
}

// read returns the state in the state file; without a file, the empty state.
func (c *Claim) read() (State, error) {
	raw, err := os.ReadFile(c.pathPrefix + ".state")
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, nil
	}
	if err != nil {
		return State{}, err
	}
	return Parse(raw)
}

// Refresh reads the current state and determines which other processes of the agent are alive. It removes the files of
// earlier processes that have ended. With an error the returned state is the last one that could be read.
func (c *Claim) Refresh() (State, View, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.read()
	if err == nil {
		c.lastState = s
	}
	return c.lastState, c.view(), err
}

// View returns only the view of Refresh, without the state and its error.
func (c *Claim) View() View {
	_, v, _ := c.Refresh()
	return v
}

// MarkReady records in the shared state that the process of this claim has begun to serve.
func (c *Claim) MarkReady() error {
	_, err := c.Change(func(s *State) error {
		s.Ready = max(s.Ready, c.generation)
		return nil
	})
	return err
}

// view determines from the files and their locks which other processes are alive, and their load. The caller
// holds c.mu.
func (c *Claim) view() View {
	v := View{Generation: c.generation, LatestReady: c.lastState.Ready}
	names, _ := filepath.Glob(escapeGlob(c.pathPrefix) + ".*.alive")
	for _, name := range names {
		gen, err := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(name, c.pathPrefix+"."), ".alive"))
		if err != nil || gen == c.generation {
			continue
		}
		f, err := os.OpenFile(name, os.O_RDWR, 0)
		if err != nil {
			continue
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			if gen < c.generation { // a later process may be about to lock its file
				os.Remove(name)
			}
		} else if gen < c.generation {
			v.EarlierAlive = true
			earlierInFlight, earlierOpen := readLoad(f)
			v.EarlierRequests, v.EarlierConnections = v.EarlierRequests+earlierInFlight, v.EarlierConnections+earlierOpen
		} else {
			v.LaterAlive = true
			inHand, _ := readLoad(f)
			v.LaterRequests += inHand
		}
		f.Close()
	}
	return v
}

// PublishLoad writes this process's requests in flight and open connections to its file, where other processes read them.
func (c *Claim) PublishLoad(inFlight, open int) error {
	_, err := c.aliveFile.WriteAt(fmt.Appendf(nil, "%9d %9d\n", clampToNineDigits(inFlight), clampToNineDigits(open)), 0)
	return err
}

// clampToNineDigits limits n to the range of a nine-digit field, from 0 up.
func clampToNineDigits(n int) int { return min(max(n, 0), 999_999_999) }

// readLoad reads the requests in flight and open connections that a process has written to its file. A missing or
// malformed number reads as 0.
func readLoad(f *os.File) (inFlight, open int) {
	var text [19]byte
	n, _ := f.ReadAt(text[:], 0)
	for i, target := range []*int{&inFlight, &open} {
		if start := 10 * i; n >= start+9 {
			if v, err := strconv.Atoi(strings.TrimSpace(string(text[start : start+9]))); err == nil {
				*target = max(v, 0)
			}
		}
	}
	return inFlight, open
}

// escapeGlob escapes the characters of a name that are special in patterns of filepath.Match.
func escapeGlob(name string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(name)
}

// Close releases the claim and removes the process's file.
func (c *Claim) Close() {
	os.Remove(c.alivePath(c.generation))
	c.aliveFile.Close()
}
