package wire

import (
	"encoding/json"
	"fmt"

	"lemonrail/balance"
)

// settingsObject mirrors the settings object of an OpenInstance message, with the field names of the wire. Fields that
// end in Ms are in milliseconds.
type settingsObject struct {
	Balancers int
	Me        int
	Zone      int
	CountedBy string
	Weights   string
	Profiles  []struct {
		Name       string
		AimMs      float64
		DeadlineMs float64
		Worth      float64
		LateValue  float64
		Semantics  string
		Group      string
		WindowMs   float64
		AimStretch float64
		Stream     bool
	}
	Tenants []struct {
		Name               string
		QuotaPerS, Portion float64
	}
	OverShareWorth float64
	Dcs, Kinds     []string
	Clients        struct{ MarksRetry bool }
	FamilyInfo     struct{ WarmKeys bool }
	Report         struct {
		Source string
		Fields []string
	}
	MembershipMode string
	TickMs         float64
	PolicyLimits   struct {
		TryLimit, MaxOpen, StreamsPerConn                 int
		SecondCopies, MayProbe, Cancel, RetryAfter, Peers bool
		MaxRetryAfterMs, ConnectTimeoutMs, IdleCloseMs    float64
		CpuUsPerS, CpuUsPerRequest                        float64
	}
	Contract struct {
		DrainGraceMs, GraceToAnswerMs, AskWithinMs float64
		ColdFrom, RampTimeMs, FallMultiple, FallMs float64
	}
	Goal   struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }
	Prices struct {
		Connection, CrossZone, Fleet, Handshake, LateFail, MembershipMode float64
		Moves, Origin, Peer, Probe, Waste                                 float64
	}
}

// Enum values of the settings object. A value may be absent where its map has an entry for the empty string.
var (
	effectsBySemantics = map[string]balance.Effect{
		"repeatable": balance.Safe, "by_key": balance.Keyed, "once": balance.Unsafe}
	groups = map[string]balance.Group{
		"": balance.GroupAll, "all": balance.GroupAll,
		"zone": balance.GroupZone, "cell": balance.GroupCell}
	weightMeanings = map[string]balance.WeightMeaning{
		"": balance.WeightsOff, "off": balance.WeightsOff, "nominal": balance.WeightsNominal,
		"rough": balance.WeightsRough, "live": balance.WeightsLive}
	reportSources = map[string]balance.ReportSource{
		"": balance.ReportsOff, "off": balance.ReportsOff,
		"inline": balance.ReportsInline, "on_probe": balance.ReportsOnProbe}
)

// Names holds the names of what the settings list and package balance knows by index only: element i of a
// slice is the name of index i.
type Names struct {
	Classes, Tenants, Zones, Kinds []string
}

// ParseSettings decodes the settings object of an OpenInstance message and the names in it. Unknown keys are
// ignored.
func ParseSettings(raw []byte) (balance.Settings, Names, error) {
	var f settingsObject
	if err := json.Unmarshal(raw, &f); err != nil {
		return balance.Settings{}, Names{}, fmt.Errorf("settings: %w", err)
	}
	names := Names{Zones: f.Dcs, Kinds: f.Kinds}
	for _, p := range f.Profiles {
		names.Classes = append(names.Classes, p.Name)
	}
	for _, t := range f.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	s, err := f.settings()
	return s, names, err
}

// settings converts the object to the settings of package balance.
func (f *settingsObject) settings() (balance.Settings, error) {
	s := balance.Settings{
		Balancers:      f.Balancers,
		Self:           f.Me,
		Zone:           f.Zone,
		Zones:          len(f.Dcs),
		Kinds:          len(f.Kinds),
		ByWork:         f.CountedBy == "work",
		Subscribe:      f.MembershipMode == "subscribe",
		OverShare:      f.OverShareWorth,
		Tick:           Duration(f.TickMs),
		Marked:         f.Clients.MarksRetry,
		WarmKeys:       f.FamilyInfo.WarmKeys,
		MaxAttempts:    f.PolicyLimits.TryLimit,
		SecondCopies:   f.PolicyLimits.SecondCopies,
		MayProbe:       f.PolicyLimits.MayProbe,
		MayCancel:      f.PolicyLimits.Cancel,
		RetryAfter:     f.PolicyLimits.RetryAfter,
		Peers:          f.PolicyLimits.Peers,
		MaxRetryAfter:  Duration(f.PolicyLimits.MaxRetryAfterMs),
		ConnectTimeout: Duration(f.PolicyLimits.ConnectTimeoutMs),
		IdleClose:      Duration(f.PolicyLimits.IdleCloseMs),
		StreamsPerConn: f.PolicyLimits.StreamsPerConn,
		MaxOpen:        f.PolicyLimits.MaxOpen,
		CPUPerSecond:   Duration(f.PolicyLimits.CpuUsPerS / 1000),
		CPUPerRequest:  Duration(f.PolicyLimits.CpuUsPerRequest / 1000),
		DrainGrace:     Duration(f.Contract.DrainGraceMs),
		AnswerGrace:    Duration(f.Contract.GraceToAnswerMs),
		AskWithin:      Duration(f.Contract.AskWithinMs),
		ColdShare:      f.Contract.ColdFrom,
		RampTime:       Duration(f.Contract.RampTimeMs),
		FallMultiple:   f.Contract.FallMultiple,
		FallWindow:     Duration(f.Contract.FallMs),
		GoalWhole:      f.Goal.Whole,
		GoalWindow:     f.Goal.WorstWindow,
		GoalClass:      f.Goal.WorstClass,
		GoalTenant:     f.Goal.WorstTenant,
		Prices: balance.Prices{
			Connection: f.Prices.Connection, CrossZone: f.Prices.CrossZone, Fleet: f.Prices.Fleet,
			Handshake: f.Prices.Handshake, LateFail: f.Prices.LateFail, List: f.Prices.MembershipMode,
			Moves: f.Prices.Moves, Origin: f.Prices.Origin, Peer: f.Prices.Peer,
			Probe: f.Prices.Probe, Waste: f.Prices.Waste},
	}
	var ok bool
	if s.Weights, ok = weightMeanings[f.Weights]; !ok {
		//lint:ignore ST1005 the error begins with the name of the field
		return s, fmt.Errorf("Weights: unknown meaning %q", f.Weights)
	}
	if s.Reports, ok = reportSources[f.Report.Source]; !ok {
		return s, fmt.Errorf("Report.Source: unknown source %q", f.Report.Source)
	}
	for _, name := range f.Report.Fields { // skips unknown fields, since new ones may be added
		switch name {
		case "outstanding":
			s.Fields.Outstanding = true
		case "backlog":
			s.Fields.Queue = true
		case "utilization":
			s.Fields.Utilization = true
		case "recent_ms":
			s.Fields.Service = true
		case "throughput":
			s.Fields.Throughput = true
		case "errors_per_s":
			s.Fields.ErrorsPerSec = true
		}
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, balance.Tenant{PerSecond: t.QuotaPerS, Portion: t.Portion})
	}
	for i, p := range f.Profiles {
		effect, ok := effectsBySemantics[p.Semantics]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Semantics: unknown kind %q", i, p.Semantics)
		}
		group, ok := groups[p.Group]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Group: unknown group %q", i, p.Group)
		}
		s.Classes = append(s.Classes, balance.Class{
			Aim: Duration(p.AimMs), Deadline: Duration(p.DeadlineMs),
			Worth: p.Worth, LateWorth: p.LateValue,
			Effect: effect, Group: group, Window: Duration(p.WindowMs),
			Stretch: p.AimStretch, Stream: p.Stream,
		})
	}
	return s, nil
}
