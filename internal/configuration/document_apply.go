package configuration

import (
	"maps"
	"slices"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

// Apply lays a document over the settings that an agent was started with, whose classes and tenants go by names. It
// changes nothing of base. Errors name the field by its path. A nil document changes nothing.
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
	// New checks settings as it does when an agent starts.
	if _, err := balance.New(changed, 0); err != nil {
		return base, err
	}
	return changed, nil
}

// applyClasses changes the classes in place.
func (d *Document) applyClasses(classes []balance.Class, names []string) error {
	longest := longestDeadline(classes) // before any changes
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		path := join("classes", name)
		i := slices.Index(names, name)
		if i < 0 || i >= len(classes) {
			return fieldError(path, "the agent was started without such a class")
		}
		change, class := d.Classes[name], &classes[i]
		set(&class.Aim, milliseconds(change.AimMs))
		set(&class.Deadline, milliseconds(change.DeadlineMs))
		set(&class.Worth, change.Worth)
		set(&class.LateWorth, change.LateWorth)
		if class.Deadline > longest {
			return fieldError(join(path, "deadline_ms"), class.Deadline.String()+" is over "+longest.String()+
				", the longest deadline that the agent was started with: the times of its planned stop rest on that")
		}
		if class.Aim > class.Deadline {
			return fieldError(join(path, "aim_ms"), class.Aim.String()+" is over the deadline, "+class.Deadline.String())
		}
	}
	return nil
}

func longestDeadline(classes []balance.Class) (longest time.Duration) {
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
			return fieldError(join("tenants", name), "the agent was started without such a tenant")
		}
		set(&tenants[i].PerSecond, d.Tenants[name].PerSecond)
		set(&tenants[i].Portion, d.Tenants[name].Portion)
	}
	return nil
}

func (l *LimitsDocument) apply(s *balance.Settings) {
	if l == nil {
		return
	}
	set(&s.MaxAttempts, l.Attempts)
	set(&s.SecondCopies, l.SecondCopies)
	set(&s.MaxRetryAfter, milliseconds(l.MaxRetryAfterMs))
	set(&s.OverShare, l.OverShareWorth)
}

func (c *ColdDocument) apply(s *balance.Settings) {
	if c == nil {
		return
	}
	set(&s.ColdShare, c.From)
	set(&s.RampTime, milliseconds(c.RampMs))
	set(&s.FallMultiple, c.FallMultiple)
	set(&s.FallWindow, milliseconds(c.FallMs))
}

// set changes a setting where the document has a value for it.
func set[T any](setting *T, value *T) {
	if value != nil {
		*setting = *value
	}
}

func milliseconds(ms *float64) *time.Duration {
	if ms == nil {
		return nil
	}
	span := wire.Duration(*ms)
	return &span
}
