package configuration

// Document is a partial set of settings. A field that is nil or absent leaves the value of the wider scope or
// of the start file unchanged. Times are in milliseconds, as in the platform's settings; classes and tenants
// have the platform's names. Settings that can't change while an agent runs are not part of it:
// RestartReasons lists them, and docs/operations/configuration.md has the table.
type Document struct {
	Format  int                       `json:"format"` // Format of the program that wrote the document
	Classes map[string]ClassDocument  `json:"classes,omitempty"`
	Tenants map[string]TenantDocument `json:"tenants,omitempty"`
	Limits  *LimitsDocument           `json:"limits,omitempty"`
	Cold    *ColdDocument             `json:"cold,omitempty"`
}

// ClassDocument changes the settings of a class of requests.
type ClassDocument struct {
	AimMs      *float64 `json:"aim_ms,omitempty"`      // an answer within this time earns the full worth
	DeadlineMs *float64 `json:"deadline_ms,omitempty"` // at most the longest deadline of the start file
	Worth      *float64 `json:"worth,omitempty"`       // worth of a request, or of a unit of work where work is counted
	LateWorth  *float64 `json:"late_worth,omitempty"`  // share of the worth that an answer after the aim earns
}

// TenantDocument changes a tenant's share.
type TenantDocument struct {
	PerSecond *float64 `json:"per_second,omitempty"` // requests per second within the tenant's share, over all agents
	Portion   *float64 `json:"portion,omitempty"`    // the tenant's share of the service, from 0 to 1; package balance doesn't use it
}

// LimitsDocument changes the limits on attempts.
type LimitsDocument struct {
	Attempts        *int     `json:"attempts,omitempty"`           // per request, including the first attempt
	SecondCopies    *bool    `json:"second_copies,omitempty"`      // two attempts of one request may be open together
	MaxRetryAfterMs *float64 `json:"max_retry_after_ms,omitempty"` // longest wait that clients respect
	OverShareWorth  *float64 `json:"over_share_worth,omitempty"`   // worth of a request beyond its tenant's share, as a share of its class's worth
}

// ColdDocument changes how load on backends that have just started is ramped up.
type ColdDocument struct {
	From         *float64 `json:"from,omitempty"`          // share of its capacity at which a backend starts
	RampMs       *float64 `json:"ramp_ms,omitempty"`       // time after its start at which a backend is warm at the latest
	FallMultiple *float64 `json:"fall_multiple,omitempty"` // a cold backend fails when it is sent more than this multiple of its capacity ...
	FallMs       *float64 `json:"fall_ms,omitempty"`       // ... over this time
}
