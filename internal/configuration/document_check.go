package configuration

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"
)

// Upper bounds of values in a document. They guard against typing errors and overflow.
const (
	maxTimeMs   = 24 * 60 * 60 * 1000 // of all times in milliseconds: a day
	maxAttempts = 64                  // of limits.attempts
	maxNumber   = 1e12                // of worth, requests per second and similar values
)

// Check returns an error that begins with the path of the first field with an invalid value. The rules of a
// Format never change, because the replicas of a Registry must agree on the result: a new rule or field needs
// a new Format.
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
	path := joinPath("classes", name)
	return firstError(
		checkSettingName(path, name),
		checkRange(joinPath(path, "aim_ms"), c.AimMs, minPositive, maxTimeMs),
		checkRange(joinPath(path, "deadline_ms"), c.DeadlineMs, minPositive, maxTimeMs),
		checkRange(joinPath(path, "worth"), c.Worth, 0, maxNumber),
		checkRange(joinPath(path, "late_worth"), c.LateWorth, 0, 1))
}

func (t TenantDocument) check(name string) error {
	path := joinPath("tenants", name)
	return firstError(
		checkSettingName(path, name),
		checkRange(joinPath(path, "per_second"), t.PerSecond, 0, maxNumber),
		checkRange(joinPath(path, "portion"), t.Portion, 0, 1))
}

func (l *LimitsDocument) check() error {
	if l == nil {
		return nil
	}
	if l.Attempts != nil && (*l.Attempts < 1 || *l.Attempts > maxAttempts) {
		return rangeError("limits.attempts", float64(*l.Attempts), 1, maxAttempts)
	}
	return firstError(
		checkRange("limits.max_retry_after_ms", l.MaxRetryAfterMs, 0, maxTimeMs),
		checkRange("limits.over_share_worth", l.OverShareWorth, 0, 1))
}

func (c *ColdDocument) check() error {
	if c == nil {
		return nil
	}
	return firstError(
		checkRange("cold.from", c.From, minPositive, 1), // in a start file 0 stands for 1; a document has to write 1
		checkRange("cold.ramp_ms", c.RampMs, 0, maxTimeMs),
		checkRange("cold.fall_multiple", c.FallMultiple, 0, maxNumber),
		checkRange("cold.fall_ms", c.FallMs, 0, maxTimeMs))
}

// minPositive is the least value of fields that must be above 0: a thousandth of a millisecond or of a share.
const minPositive = 0.001

// checkRange returns an error if a value is set and not within minimum and maximum.
func checkRange(path string, value *float64, minimum, maximum float64) error {
	if value == nil || *value >= minimum && *value <= maximum && !math.Signbit(*value) {
		return nil
	}
	return rangeError(path, *value, minimum, maximum)
}

// rangeError returns the error for a value that is out of range.
func rangeError(path string, value, minimum, maximum float64) error {
	return fieldError(path, formatNumber(value)+" is not within "+formatNumber(minimum)+" and "+formatNumber(maximum))
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

// checkSettingName refuses names of classes and tenants that are empty, too long or not valid UTF-8.
func checkSettingName(path, name string) error {
	if name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) {
		return fieldError(path, strconv.Quote(name)+" is no name of 1 to "+strconv.Itoa(MaxNameBytes)+" bytes")
	}
	return nil
}

// firstError returns the first error that isn't nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
