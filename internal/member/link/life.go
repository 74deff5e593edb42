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

// lifeEpoch is where the clock's start counters begin; they step lifeStep and last for 13 years.
var lifeEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const lifeStep = 100 * time.Millisecond

// nextLife is a start counter over that of any earlier start: by the clock, or by what the folder keeps where that
// is more. A folder that is lost or lies costs nothing: a member that hears of a later life of its own takes the
// next one.
func nextLife(folder, name string, now time.Time) (life uint32, err error) {
	if since := now.Sub(lifeEpoch); since > 0 {
		life = uint32(since / lifeStep)
	}
	life = max(life, 1)
	if folder == "" {
		return life, nil
	}
	path := filepath.Join(folder, name+".life")
	raw, err := os.ReadFile(path)
	if err == nil {
		var kept uint64
		if kept, err = strconv.ParseUint(strings.TrimSpace(string(raw)), 10, 31); err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
		life = max(life, uint32(kept)+1)
	} else if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return life, errors.Join(err, keepLife(path, life))
}

func keepLife(path string, life uint32) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".life-*")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, life)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return os.Rename(f.Name(), path)
}
