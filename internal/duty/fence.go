package duty

import "fmt"

// Fence refuses actions whose epoch is lower than the highest epoch seen so far (a fencing token check). Each
// target that holders act upon has one. A fence that loses its memory, as in a restart, depends on the
// holder's own checks until the next action arrives.
type Fence struct {
	highest map[string]Epoch // by duty: the highest epoch that Admit has accepted
	Refused uint64           // number of refused actions
}

// FencedError reports an action of a holder that has been superseded: a later holder has acted since.
type FencedError struct {
	Duty           string
	Epoch, Highest Epoch // the epoch of the action, and the highest one seen
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("duty %s: an action of epoch %d arrived after one of epoch %d", e.Duty, e.Epoch, e.Highest)
}

// NewFence returns a fence that has seen no epochs.
func NewFence() *Fence { return &Fence{highest: map[string]Epoch{}} }

// Admit returns nil if an action of epoch e may go ahead, and a FencedError if it is refused. It also refuses epoch
// 0 and, once MaxDuties duties are known, any further duty.
func (f *Fence) Admit(duty string, e Epoch) error {
	if e == 0 || e < f.highest[duty] || f.highest[duty] == 0 && len(f.highest) >= MaxDuties {
		f.Refused++
		return &FencedError{duty, e, f.highest[duty]}
	}
	f.highest[duty] = e
	return nil
}

// Highest returns the highest epoch of a duty that Admit has accepted.
func (f *Fence) Highest(duty string) Epoch { return f.highest[duty] }
