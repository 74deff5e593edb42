package link

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// startCounterEpoch is the time at which start counters that are derived from the clock begin. They grow by one per
// startCounterStep and last for 13 years.
var startCounterEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const startCounterStep = 100 * time.Millisecond

// nextStartCounter returns a start counter greater than that of any earlier start of the agent name, and stores it in
// folder: the greater of the clock's counter and the stored one plus 1. A lost or damaged folder does no harm: a member
// that learns of a later life of its own starts a still later one.
func nextStartCounter(folder, name string, now time.Time) (counter uint32, err error) {
	if since := now.Sub(startCounterEpoch); since > 0 {
		counter = uint32(since / startCounterStep)
	}
	counter = max(counter, 1)
	if folder == "" {
		return counter, nil
	}
	path := filepath.Join(folder, name+".life")
	raw, err := os.ReadFile(path)
	if err == nil {
		var stored uint64
		if stored, err = strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 31); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
		counter = max(counter, uint32(stored)+1)
	} else if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return counter, errors.Join(err, saveStartCounter(path, counter))
}

// saveStartCounter writes the counter to path, so that a crash leaves either the old or the new file.
func saveStartCounter(path string, counter uint32) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".life-*")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, counter)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return os.Rename(f.Name(), path)
}
