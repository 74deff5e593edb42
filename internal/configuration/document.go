package configuration

// Document is a partial set of settings; what is nil or absent is left as the wider scope or the start file has it.
// Times are in milliseconds, as in the platform's settings; classes and tenants go by the platform's names. Fields
// that may not change while an agent runs are not part of it: docs/operations/configuration.md has the table.
type Document struct {
	Format  int                       `json:"format"` // Format of the program that wrote it
	Classes map[string]ClassDocument  `json:"classes,omitempty"`
	Tenants map[string]TenantDocument `json:"tenants,omitempty"`
	Limits  *LimitsDocument           `json:"limits,omitempty"`
	Cold    *ColdDocument             `json:"cold,omitempty"`
}

// ClassDocument changes a class of requests.
type ClassDocument struct {
	AimMs      *float64 `json:"aim_ms,omitempty"`
	DeadlineMs *float64 `json:"deadline_ms,omitempty"` // up to the longest deadline of the start file
	Worth      *float64 `json:"worth,omitempty"`
	LateWorth  *float64 `json:"late_worth,omitempty"` // share of the worth that a late answer earns
}

// TenantDocument changes a tenant's share.
type TenantDocument struct {
	PerSecond *float64 `json:"per_second,omitempty"`
	Portion   *float64 `json:"portion,omitempty"`
}

// LimitsDocument changes the limits on attempts.
type LimitsDocument struct {
	Attempts        *int     `json:"attempts,omitempty"` // for a request, the first one included
	SecondCopies    *bool    `json:"second_copies,omitempty"`
	MaxRetryAfterMs *float64 `json:"max_retry_after_ms,omitempty"`
	OverShareWorth  *float64 `json:"over_share_worth,omitempty"`
}

// ColdDocument changes how gently backends that have just started are used.
type ColdDocument struct {
	From         *float64 `json:"from,omitempty"` // share of its capacity that a backend starts with
	RampMs       *float64 `json:"ramp_ms,omitempty"`
	FallMultiple *float64 `json:"fall_multiple,omitempty"`
	FallMs       *float64 `json:"fall_ms,omitempty"`
}
