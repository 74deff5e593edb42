package configuration

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"
)

// What values may be at most. They guard against slips of the pen and overflow.
const (
	timeMostMs   = 24 * 60 * 60 * 1000
	attemptsMost = 64
	numberMost   = 1e12 // worth, requests a second and the like
)

// Check refuses values that can't be and names the field by its path. What is refused for a Format never changes, as
// the replicas of a Registry have to agree on it: a rule or a field more is a later Format.
func (d *Document) Check() error {
	if d.Format < 1 || d.Format > Format {
		return fieldError("format", strconv.Itoa(d.Format)+" is none that this program understands")
	}
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		if err := d.Classes[name].check(name); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		if err := d.Tenants[name].check(name); err != nil {
			return err
		}
	}
	if err := d.Limits.check(); err != nil {
		return err
	}
	return d.Cold.check()
}

func (c ClassDocument) check(name string) error {
	path := join("classes", name)
	return firstError(
		checkSettingName(path, name),
		checkRange(join(path, "aim_ms"), c.AimMs, aboveZero, timeMostMs),
		checkRange(join(path, "deadline_ms"), c.DeadlineMs, aboveZero, timeMostMs),
		checkRange(join(path, "worth"), c.Worth, 0, numberMost),
		checkRange(join(path, "late_worth"), c.LateWorth, 0, 1))
}

func (t TenantDocument) check(name string) error {
	path := join("tenants", name)
	return firstError(
		checkSettingName(path, name),
		checkRange(join(path, "per_second"), t.PerSecond, 0, numberMost),
		checkRange(join(path, "portion"), t.Portion, 0, 1))
}

func (l *LimitsDocument) check() error {
	if l == nil {
		return nil
	}
	if l.Attempts != nil && (*l.Attempts < 1 || *l.Attempts > attemptsMost) {
		return rangeError("limits.attempts", float64(*l.Attempts), 1, attemptsMost)
	}
	return firstError(
		checkRange("limits.max_retry_after_ms", l.MaxRetryAfterMs, 0, timeMostMs),
		checkRange("limits.over_share_worth", l.OverShareWorth, 0, 1))
}

func (c *ColdDocument) check() error {
	if c == nil {
		return nil
	}
	return firstError(
		checkRange("cold.from", c.From, aboveZero, 1), // a start file's 0 stands for 1, which a document says as 1
		checkRange("cold.ramp_ms", c.RampMs, 0, timeMostMs),
		checkRange("cold.fall_multiple", c.FallMultiple, 0, numberMost),
		checkRange("cold.fall_ms", c.FallMs, 0, timeMostMs))
}

// aboveZero is the least value of what may be small but not 0: a thousandth, of a millisecond or of a share.
const aboveZero = 0.001

func checkRange(path string, value *float64, least, most float64) error {
	if value == nil || *value >= least && *value <= most && !math.Signbit(*value) {
		return nil
	}
	return rangeError(path, *value, least, most)
}

func rangeError(path string, value, least, most float64) error {
	return fieldError(path, number(value)+" is not within "+number(least)+" and "+number(most))
}

func number(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

// checkSettingName refuses names of classes and tenants that no message could carry.
func checkSettingName(path, name string) error {
	if name == "" || len(name) > NameMost || !utf8.ValidString(name) {
		return fieldError(path, strconv.Quote(name)+" is no name of 1 to "+strconv.Itoa(NameMost)+" bytes")
	}
	return nil
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}
