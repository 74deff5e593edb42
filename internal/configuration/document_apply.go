package configuration

import (
	"maps"
	"slices"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

// Apply returns base, the settings that an agent was started with, overlaid with the document. names holds
// the names of the agent's classes and tenants. Apply doesn't modify base. Errors begin with the path of the
// field. A nil document changes nothing.
func (d *Document) Apply(base balance.Settings, names wire.Names) (balance.Settings, error) {
	if d == nil {
		return base, nil
	}
	if err := d.Check(); err != nil {
		return base, err
	}
	changed := base
	changed.Classes = slices.Clone(base.Classes)
	changed.Tenants = slices.Clone(base.Tenants)
	if err := d.applyClasses(changed.Classes, names.Classes); err != nil {
		return base, err
	}
	if err := d.applyTenants(changed.Tenants, names.Tenants); err != nil {
		return base, err
	}
	d.Limits.apply(&changed)
	d.Cold.apply(&changed)
	// balance.New checks the settings as at the start of an agent.
	if _, err := balance.New(changed, 0); err != nil {
		return base, err
	}
	return changed, nil
}

// applyClasses changes the classes in place. No deadline may exceed the longest one that the agent was
// started with.
func (d *Document) applyClasses(classes []balance.Class, names []string) error {
	limit := maxDeadline(classes) // before any class is changed
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		path := joinPath("classes", name)
		i := slices.Index(names, name)
		if i < 0 || i >= len(classes) {
			return fieldError(path, "the agent was started without such a class")
		}
		change, class := d.Classes[name], &classes[i]
		setIfPresent(&class.Aim, toDuration(change.AimMs))
		setIfPresent(&class.Deadline, toDuration(change.DeadlineMs))
		setIfPresent(&class.Worth, change.Worth)
		setIfPresent(&class.LateWorth, change.LateWorth)
		if class.Deadline > limit {
			return fieldError(joinPath(path, "deadline_ms"), class.Deadline.String()+" is over "+limit.String()+
				", the longest deadline that the agent was started with: the times of its planned stop rest on that")
		}
		if class.Aim > class.Deadline {
			return fieldError(joinPath(path, "aim_ms"), class.Aim.String()+" is over the deadline, "+class.Deadline.String())
		}
	}
	return nil
}

// maxDeadline returns the longest deadline of all classes.
func maxDeadline(classes []balance.Class) (longest time.Duration) {
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// applyTenants changes the tenants in place.
func (d *Document) applyTenants(tenants []balance.Tenant, names []string) error {
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		i := slices.Index(names, name)
		if i < 0 || i >= len(tenants) {
			return fieldError(joinPath("tenants", name), "the agent was started without such a tenant")
		}
		setIfPresent(&tenants[i].PerSecond, d.Tenants[name].PerSecond)
		setIfPresent(&tenants[i].Portion, d.Tenants[name].Portion)
	}
	return nil
}

// apply sets in s the settings that the document has a value for.
func (l *LimitsDocument) apply(s *balance.Settings) {
	if l == nil {
		return
	}
	setIfPresent(&s.MaxAttempts, l.Attempts)
	setIfPresent(&s.SecondCopies, l.SecondCopies)
	setIfPresent(&s.MaxRetryAfter, toDuration(l.MaxRetryAfterMs))
	setIfPresent(&s.OverShare, l.OverShareWorth)
}

// apply sets in s the settings that the document has a value for.
func (c *ColdDocument) apply(s *balance.Settings) {
	if c == nil {
		return
	}
	setIfPresent(&s.ColdShare, c.From)
	setIfPresent(&s.RampTime, toDuration(c.RampMs))
	setIfPresent(&s.FallMultiple, c.FallMultiple)
	setIfPresent(&s.FallWindow, toDuration(c.FallMs))
}

// setIfPresent assigns value to setting if the document has a value.
func setIfPresent[T any](setting *T, value *T) {
	if value != nil {
		*setting = *value
	}
}

// toDuration converts milliseconds to a duration; nil stays nil.
func toDuration(ms *float64) *time.Duration {
	if ms == nil {
		return nil
	}
	duration := wire.Duration(*ms)
	return &duration
}
