package balance

import (
	"fmt"
	"math"
	"time"
)

// check returns an error that names the first invalid setting.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return invalidSettingError("Classes", "none")
	}
	if s.Balancers < 1 {
		return invalidSettingError("Balancers", s.Balancers)
	}
	if s.Self < 0 || s.Self >= s.Balancers {
		return invalidSettingError("Self", s.Self)
	}
	if !(s.ColdShare >= 0 && s.ColdShare <= 1) {
		return invalidSettingError("ColdShare", s.ColdShare)
	}
	if s.Weights > WeightsLive {
		return invalidSettingError("Weights", s.Weights)
	}
	if s.Reports > ReportsOnProbe {
		return invalidSettingError("Reports", s.Reports)
	}
	for i, c := range s.Classes {
		if err := c.check(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	for i, t := range s.Tenants {
		at := fmt.Sprintf("Tenants[%d].", i)
		if err := checkNonNegative(nonNegative{at + "PerSecond", t.PerSecond},
			nonNegative{at + "Portion", t.Portion}); err != nil {
			return err
		}
	}
	return checkNonNegative(
		nonNegative{"Zone", float64(s.Zone)}, nonNegative{"Zones", float64(s.Zones)}, nonNegative{"Kinds", float64(s.Kinds)},
		nonNegative{"MaxAttempts", float64(s.MaxAttempts)}, nonNegative{"StreamsPerConn", float64(s.StreamsPerConn)},
		nonNegative{"MaxOpen", float64(s.MaxOpen)}, nonNegative{"OverShare", s.OverShare},
		nonNegative{"FallMultiple", s.FallMultiple},
		nonNegativeDuration("Tick", s.Tick), nonNegativeDuration("MaxRetryAfter", s.MaxRetryAfter),
		nonNegativeDuration("ConnectTimeout", s.ConnectTimeout),
		nonNegativeDuration("IdleClose", s.IdleClose), nonNegativeDuration("CPUPerSecond", s.CPUPerSecond),
		nonNegativeDuration("CPUPerRequest", s.CPUPerRequest), nonNegativeDuration("DrainGrace", s.DrainGrace),
		nonNegativeDuration("AnswerGrace", s.AnswerGrace), nonNegativeDuration("AskWithin", s.AskWithin),
		nonNegativeDuration("RampTime", s.RampTime),
		nonNegativeDuration("FallWindow", s.FallWindow),
		nonNegative{"GoalWhole", s.GoalWhole}, nonNegative{"GoalWindow", s.GoalWindow},
		nonNegative{"GoalClass", s.GoalClass}, nonNegative{"GoalTenant", s.GoalTenant},
		nonNegative{"Prices.Connection", s.Prices.Connection}, nonNegative{"Prices.CrossZone", s.Prices.CrossZone},
		nonNegative{"Prices.Fleet", s.Prices.Fleet}, nonNegative{"Prices.Handshake", s.Prices.Handshake},
		nonNegative{"Prices.LateFail", s.Prices.LateFail}, nonNegative{"Prices.List", s.Prices.List},
		nonNegative{"Prices.Moves", s.Prices.Moves}, nonNegative{"Prices.Origin", s.Prices.Origin},
		nonNegative{"Prices.Peer", s.Prices.Peer}, nonNegative{"Prices.Probe", s.Prices.Probe},
		nonNegative{"Prices.Waste", s.Prices.Waste})
}

// check returns an error that names the first invalid field; at is the path of the class in the settings.
func (c *Class) check(at string) error {
	switch {
	case c.Aim <= 0:
		return invalidSettingError(at+"Aim", c.Aim)
	case c.Deadline <= 0:
		return invalidSettingError(at+"Deadline", c.Deadline)
	case c.Effect > Unsafe:
		return invalidSettingError(at+"Effect", c.Effect)
	case c.Group > GroupCell:
		return invalidSettingError(at+"Group", c.Group)
	}
	return checkNonNegative(nonNegative{at + "Worth", c.Worth}, nonNegative{at + "LateWorth", c.LateWorth},
		nonNegativeDuration(at+"Window", c.Window), nonNegative{at + "Stretch", c.Stretch})
}

// nonNegative is a setting that must be finite and not below 0.
type nonNegative struct {
	field string // path of the setting in Settings
	value float64
}

// nonNegativeDuration returns a duration as a nonNegative, in seconds.
func nonNegativeDuration(field string, d time.Duration) nonNegative {
	return nonNegative{field, d.Seconds()}
}

// checkNonNegative returns an error that names the first value that is negative, infinite or not a number.
func checkNonNegative(all ...nonNegative) error {
	for _, a := range all {
		if !(a.value >= 0) || math.IsInf(a.value, 0) {
			return invalidSettingError(a.field, a.value)
		}
	}
	return nil
}

// invalidSettingError returns an error that names a field of Settings and its invalid value.
func invalidSettingError(field string, v any) error {
	return fmt.Errorf("balance: settings: %s: %v makes no sense", field, v)
}
