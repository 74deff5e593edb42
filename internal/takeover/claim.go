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
	lockTries = 30 // for the lock on the state: whoever holds it writes one small file
	lockPause = 10 * time.Millisecond
)

// Claim is a process's place among those of one agent.
type Claim struct {
	base  string // of the files' names
	alive *os.File

	mu   sync.Mutex
	gen  int
	last State // as last read or written
}

// Take takes the next generation of the agent of a name, in a folder that its processes share. A state that
// makes no sense is dropped, with an error beside the claim: to serve comes first.
func Take(dir, name string) (*Claim, State, error) {
	c := &Claim{base: filepath.Join(dir, "lemonrail-"+url.PathEscape(name))}
	var broken error
	s, err := c.change(func(s *State) error {
		s.Generation++
		c.gen = s.Generation
		// Guards against a leftover of the same number, where the state was lost: that process may live.
		for {
			f, err := os.OpenFile(c.aliveName(c.gen), os.O_CREATE|os.O_RDWR, 0o600)
			if err != nil {
				return err
			}
			if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
				c.alive = f
				break
			}
			f.Close()
			s.Generation++
			c.gen = s.Generation
		}
		return nil
	}, &broken)
	if err != nil {
		if c.alive != nil {
			c.alive.Close()
		}
		return nil, State{}, fmt.Errorf("takeover: %w", err)
	}
	return c, s, broken
}

func (c *Claim) aliveName(gen int) string { return fmt.Sprintf("%s.%d.alive", c.base, gen) }

// Generation is this process's.
func (c *Claim) Generation() int { return c.gen }

// Change changes the state for all processes and returns what it is then.
func (c *Claim) Change(f func(*State) error) (State, error) { return c.change(f, nil) }

func (c *Claim) change(f func(*State) error, broken *error) (State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lock, err := os.OpenFile(c.base+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return State{}, err
	}
	defer lock.Close() // and with it the lock
	for n := 1; ; n++ {
		if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		}
		if n == lockTries {
			return State{}, fmt.Errorf("lock: %w", err)
		}
		time.Sleep(lockPause)
	}
	s, err := c.read()
	if err != nil { // what this process knew last is better than nothing; at the start that is nothing
		if broken != nil {
			*broken = err
		}
		s = c.last
	}
	if err := f(&s); err != nil {
		return State{}, err
	}
	s.Version++
	raw, err := s.Text()
	if err != nil {
		return State{}, err
	}
	if err := replace(c.base+".state", c.base+".new", raw); err != nil {
		return State{}, err
	}
	c.last = s
	return s, nil
}

// replace writes a file that is whole at any moment.
func replace(name, beside string, raw []byte) error {
	f, err := os.OpenFile(beside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(beside, name)
}

func (c *Claim) read() (State, error) {
	raw, err := os.ReadFile(c.base + ".state")
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, nil
	}
	if err != nil {
		return State{}, err
	}
	return Parse(raw)
}

// Look reads the state as it is now, and says which other processes live. What those that have ended left
// behind is removed. With an error the state is the last one that could be read.
func (c *Claim) Look() (State, View, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.read()
	if err == nil {
		c.last = s
	}
	return c.last, c.view(), err
}

// View is Look for the others alone.
func (c *Claim) View() View {
	_, v, _ := c.Look()
	return v
}

// Ready notes that this process has begun to serve.
func (c *Claim) Ready() error {
	_, err := c.Change(func(s *State) error {
		s.Ready = max(s.Ready, c.gen)
		return nil
	})
	return err
}

// view is called with the lock held.
func (c *Claim) view() View {
	v := View{Generation: c.gen, Ready: c.last.Ready}
	names, _ := filepath.Glob(escape(c.base) + ".*.alive")
	for _, name := range names {
		gen, err := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(name, c.base+"."), ".alive"))
		if err != nil || gen == c.gen {
			continue
		}
		f, err := os.OpenFile(name, os.O_RDWR, 0)
		if err != nil {
			continue
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			if gen < c.gen { // a later one may be about to lock it
				os.Remove(name)
			}
		} else if gen < c.gen {
			v.Earlier = true
			inHand, open := told(f)
			v.Before, v.Open = v.Before+inHand, v.Open+open
		} else {
			v.Later = true
			inHand, _ := told(f)
			v.After += inHand
		}
		f.Close()
	}
	return v
}

// Tell lets the others know how many requests this process has in hand, and how many connections it holds.
func (c *Claim) Tell(inHand, open int) error {
	_, err := c.alive.WriteAt(fmt.Appendf(nil, "%9d %9d\n", told9(inHand), told9(open)), 0)
	return err
}

// told9 is a number as it fits into nine digits.
func told9(n int) int { return min(max(n, 0), 999_999_999) }

// told is what a process has told; 0 where it has not.
func told(f *os.File) (inHand, open int) {
	var text [19]byte
	n, _ := f.ReadAt(text[:], 0)
	for i, to := range []*int{&inHand, &open} {
		if from := 10 * i; n >= from+9 {
			if v, err := strconv.Atoi(strings.TrimSpace(string(text[from : from+9]))); err == nil {
				*to = max(v, 0)
			}
		}
	}
	return inHand, open
}

// escape takes the meaning from what filepath.Match reads in a name.
func escape(name string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(name)
}

// Close gives the place up.
func (c *Claim) Close() {
	os.Remove(c.aliveName(c.gen))
	c.alive.Close()
}
