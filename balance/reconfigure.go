package balance

import (
	"cmp"
	"fmt"
	"reflect"
)

// This file defines which settings may change during the life of a Balancer, and replaces them.

// copyChangeable copies from next to s those settings that may change during the life of a Balancer. Both must
// have as many classes and tenants.
func (s *Settings) copyChangeable(next *Settings) {
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

// CheckChange returns nil if a Balancer that was made with s accepts next by Reconfigure. Otherwise the error
// names the field that is invalid or may not change. Deadlines may not exceed the longest one of s, since a
// planned stop waits no longer than that.
func (s *Settings) CheckChange(next *Settings) error {
	if err := next.check(); err != nil {
		return err
	}
	if len(next.Classes) != len(s.Classes) {
		return fixedSettingError("Classes", len(s.Classes), len(next.Classes))
	}
	if len(next.Tenants) != len(s.Tenants) {
		return fixedSettingError("Tenants", len(s.Tenants), len(next.Tenants))
	}
	rest := *next
	rest.copyChangeable(s)
	if err := firstDifference("", reflect.ValueOf(*s), reflect.ValueOf(rest)); err != nil {
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

// firstDifference returns an error that names the first field in which old and next, of one type, differ.
func firstDifference(field string, old, next reflect.Value) error {
	switch old.Kind() {
	case reflect.Struct:
		for i := range old.NumField() {
			name := old.Type().Field(i).Name
			if field != "" {
				name = field + "." + name
			}
			if err := firstDifference(name, old.Field(i), next.Field(i)); err != nil {
				return err
			}
		}
	case reflect.Slice:
		for i := range old.Len() {
			if err := firstDifference(fmt.Sprintf("%s[%d]", field, i), old.Index(i), next.Index(i)); err != nil {
				return err
			}
		}
	default:
		if !old.Equal(next) {
			return fixedSettingError(field, old.Interface(), next.Interface())
		}
	}
	return nil
}

// fixedSettingError returns an error that names a setting that may not change, with both its values.
func fixedSettingError(field string, old, next any) error {
	return fmt.Errorf("balance: settings: %s: can't change from %v to %v without a restart", field, old, next)
}

// terms returns the settings by which requests of a class are served.
func (s *Settings) terms(class int) *terms {
	return &terms{Class: s.Classes[class], maxAttempts: s.MaxAttempts, secondCopies: s.SecondCopies, maxRetryAfter: s.MaxRetryAfter}
}

// reconfigure applies new settings to requests that come from now on.
func (b *Balancer) reconfigure(next Settings) {
	old := b.settings
	b.settings.copyChangeable(&next)
	b.settings.MaxAttempts = max(1, b.settings.MaxAttempts)
	b.settings.ColdShare = cmp.Or(b.settings.ColdShare, 1)
	for i := range b.classes {
		b.classes[i].terms = b.settings.terms(i)
	}
	b.rescale(&old)
}

// rescale converts state whose unit depends on the settings: the base delay, in aims, and the served work,
// over a fall window. Running means adapt by themselves within a few answers, but the base delay would take
// thousands, and a base delay in longer aims would make the limit be cut without reason.
func (b *Balancer) rescale(old *Settings) {
	ratio := 0.0
	for i := range b.settings.Classes {
		ratio += float64(old.Classes[i].Aim) / float64(b.settings.Classes[i].Aim)
	}
	ratio /= float64(len(b.settings.Classes))
	b.baseDelay = min(b.baseDelay*ratio, max(b.baseDelay, maxTargetDelay/targetDelayRise))
	if old.FallWindow == b.settings.FallWindow || old.FallWindow == 0 {
		return
	}
	longer := float64(b.settings.FallWindow+1) / float64(old.FallWindow+1)
	b.servedWork *= longer
	b.servedCount *= longer
}
