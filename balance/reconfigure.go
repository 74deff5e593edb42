package balance

import (
	"cmp"
	"fmt"
	"reflect"
)

// Settings that change while a Balancer lives. This file says which may, and swaps them; it decides nothing.

// take copies from next the settings that may change. Both must have as many classes and tenants.
func (s *Settings) take(next *Settings) {
	classes, tenants := s.Classes, s.Tenants
	s.Classes, s.Tenants = append([]Class(nil), classes...), append([]Tenant(nil), tenants...)
	for i := range s.Classes {
		c, n := &s.Classes[i], &next.Classes[i]
		c.Aim, c.Deadline, c.Worth, c.LateWorth = n.Aim, n.Deadline, n.Worth, n.LateWorth
	}
	for i := range s.Tenants {
		t, n := &s.Tenants[i], &next.Tenants[i]
		t.PerSecond, t.Portion = n.PerSecond, n.Portion
	}
	s.MaxAttempts, s.SecondCopies = next.MaxAttempts, next.SecondCopies
	s.MaxRetryAfter, s.OverShare = next.MaxRetryAfter, next.OverShare
	s.ColdShare, s.RampTime = next.ColdShare, next.RampTime
	s.FallMultiple, s.FallWindow = next.FallMultiple, next.FallWindow
}

// CanBecome reports whether a Balancer that was made with s may be given next by Reconfigure. The error names the
// field that makes no sense, or that may not change. Deadlines may not exceed the longest one of s, since a planned
// stop waits no longer.
func (s *Settings) CanBecome(next *Settings) error {
	if err := next.check(); err != nil {
		return err
	}
	if len(next.Classes) != len(s.Classes) {
		return fixed("Classes", len(s.Classes), len(next.Classes))
	}
	if len(next.Tenants) != len(s.Tenants) {
		return fixed("Tenants", len(s.Tenants), len(next.Tenants))
	}
	rest := *next
	rest.take(s)
	if err := same("", reflect.ValueOf(*s), reflect.ValueOf(rest)); err != nil {
		return err
	}
	longest := s.Classes[0].Deadline
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	for i, c := range next.Classes {
		if c.Deadline > longest {
			return fmt.Errorf("balance: settings: Classes[%d].Deadline: %v is over %v, the longest deadline at the start", i, c.Deadline, longest)
		}
	}
	return nil
}

// same names the first field in which two values of one type differ.
func same(field string, old, next reflect.Value) error {
	switch old.Kind() {
	case reflect.Struct:
		for i := range old.NumField() {
			name := old.Type().Field(i).Name
			if field != "" {
				name = field + "." + name
			}
			if err := same(name, old.Field(i), next.Field(i)); err != nil {
				return err
			}
		}
	case reflect.Slice:
		for i := range old.Len() {
			if err := same(fmt.Sprintf("%s[%d]", field, i), old.Index(i), next.Index(i)); err != nil {
				return err
			}
		}
	default:
		if !old.Equal(next) {
			return fixed(field, old.Interface(), next.Interface())
		}
	}
	return nil
}

func fixed(field string, old, next any) error {
	return fmt.Errorf("balance: settings: %s: can't change from %v to %v without a restart", field, old, next)
}

// terms are those of a class by these settings.
func (s *Settings) terms(class int) *terms {
	return &terms{Class: s.Classes[class], maxAttempts: s.MaxAttempts, secondCopies: s.SecondCopies, maxRetryAfter: s.MaxRetryAfter}
}

// reconfigure puts new settings in force for requests that come from now on.
func (b *Balancer) reconfigure(next Settings) {
	old := b.s
	b.s.take(&next)
	b.s.MaxAttempts = max(1, b.s.MaxAttempts)
	b.s.ColdShare = cmp.Or(b.s.ColdShare, 1)
	for i := range b.classes {
		b.classes[i].terms = b.s.terms(i)
	}
	b.rescale(&old)
}

// rescale converts what is measured in units that the settings give: the low of the mean delay, in aims, and the work
// that warm backends served, over a fall window. The running means follow by themselves within a few answers; the low
// would take thousands, and a limit that rests on one of longer aims would be cut for nothing.
func (b *Balancer) rescale(old *Settings) {
	ratio := 0.0
	for i := range b.s.Classes {
		ratio += float64(old.Classes[i].Aim) / float64(b.s.Classes[i].Aim)
	}
	ratio /= float64(len(b.s.Classes))
	b.base = min(b.base*ratio, max(b.base, aimedDelay/aimedRise))
	if old.FallWindow == b.s.FallWindow || old.FallWindow == 0 {
		return
	}
	longer := float64(b.s.FallWindow+1) / float64(old.FallWindow+1)
	b.doneWork *= longer
	b.doneCount *= longer
}
