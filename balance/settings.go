package balance

import (
	"fmt"
	"math"
	"time"
)

// check names the first setting that makes no sense. It decides nothing.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return bad("Classes", "none")
	}
	if s.Balancers < 1 {
		return bad("Balancers", s.Balancers)
	}
	if s.Self < 0 || s.Self >= s.Balancers {
		return bad("Self", s.Self)
	}
	if !(s.ColdShare >= 0 && s.ColdShare <= 1) {
		return bad("ColdShare", s.ColdShare)
	}
	if s.Weights > WeightsLive {
		return bad("Weights", s.Weights)
	}
	if s.Reports > ReportsOnProbe {
		return bad("Reports", s.Reports)
	}
	for i, c := range s.Classes {
		if err := c.check(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	for i, t := range s.Tenants {
		at := fmt.Sprintf("Tenants[%d].", i)
		if err := amounts(amount{at + "PerSecond", t.PerSecond}, amount{at + "Portion", t.Portion}); err != nil {
			return err
		}
	}
	return amounts(
		amount{"Zone", float64(s.Zone)}, amount{"Zones", float64(s.Zones)}, amount{"Kinds", float64(s.Kinds)},
		amount{"MaxAttempts", float64(s.MaxAttempts)}, amount{"StreamsPerConn", float64(s.StreamsPerConn)},
		amount{"MaxOpen", float64(s.MaxOpen)}, amount{"OverShare", s.OverShare},
		amount{"FallMultiple", s.FallMultiple},
		span("Tick", s.Tick), span("MaxRetryAfter", s.MaxRetryAfter), span("ConnectTimeout", s.ConnectTimeout),
		span("IdleClose", s.IdleClose), span("CPUPerSecond", s.CPUPerSecond),
		span("CPUPerRequest", s.CPUPerRequest), span("DrainGrace", s.DrainGrace),
		span("AnswerGrace", s.AnswerGrace), span("AskWithin", s.AskWithin), span("RampTime", s.RampTime),
		span("FallWindow", s.FallWindow),
		amount{"GoalWhole", s.GoalWhole}, amount{"GoalWindow", s.GoalWindow},
		amount{"GoalClass", s.GoalClass}, amount{"GoalTenant", s.GoalTenant},
		amount{"Prices.Connection", s.Prices.Connection}, amount{"Prices.CrossZone", s.Prices.CrossZone},
		amount{"Prices.Fleet", s.Prices.Fleet}, amount{"Prices.Handshake", s.Prices.Handshake},
		amount{"Prices.LateFail", s.Prices.LateFail}, amount{"Prices.List", s.Prices.List},
		amount{"Prices.Moves", s.Prices.Moves}, amount{"Prices.Origin", s.Prices.Origin},
		amount{"Prices.Peer", s.Prices.Peer}, amount{"Prices.Probe", s.Prices.Probe},
		amount{"Prices.Waste", s.Prices.Waste})
}

func (c *Class) check(at string) error {
	switch {
	case c.Aim <= 0:
		return bad(at+"Aim", c.Aim)
	case c.Deadline <= 0:
		return bad(at+"Deadline", c.Deadline)
	case c.Effect > Unsafe:
		return bad(at+"Effect", c.Effect)
	case c.Group > GroupCell:
		return bad(at+"Group", c.Group)
	}
	return amounts(amount{at + "Worth", c.Worth}, amount{at + "LateWorth", c.LateWorth},
		span(at+"Window", c.Window), amount{at + "Stretch", c.Stretch})
}

// amount is a setting that must be a finite number, not below 0.
type amount struct {
	field string
	v     float64
}

func span(field string, d time.Duration) amount { return amount{field, d.Seconds()} }

func amounts(all ...amount) error {
	for _, a := range all {
		if !(a.v >= 0) || math.IsInf(a.v, 0) {
			return bad(a.field, a.v)
		}
	}
	return nil
}

func bad(field string, v any) error {
	return fmt.Errorf("balance: settings: %s: %v makes no sense", field, v)
}
