package duty

import "fmt"

// Fence refuses acts of an epoch that is lower than one it has seen. Whoever is acted upon has one. It is of use as far
// as it remembers: one that forgets (a restart) relies on the holder's own checks until it has seen the next act.
type Fence struct {
	seen    map[string]Epoch
	Refused uint64
}

// ErrFenced says that an act came too late: another holder has acted since.
type ErrFenced struct {
	Duty      string
	Has, Seen Epoch
}

func (e *ErrFenced) Error() string {
	return fmt.Sprintf("duty %s: an act of epoch %d comes after one of epoch %d", e.Duty, e.Has, e.Seen)
}

// NewFence has seen nothing.
func NewFence() *Fence { return &Fence{seen: map[string]Epoch{}} }

// Pass lets an act through or refuses it.
func (f *Fence) Pass(duty string, e Epoch) error {
	if e == 0 || e < f.seen[duty] || f.seen[duty] == 0 && len(f.seen) >= DutiesMost {
		f.Refused++
		return &ErrFenced{duty, e, f.seen[duty]}
	}
	f.seen[duty] = e
	return nil
}

// Seen is the highest epoch that was let through.
func (f *Fence) Seen(duty string) Epoch { return f.seen[duty] }
