package configuration

// Merge lays a narrower document over a wider one, field by field. It changes neither; either may be nil.
func Merge(wide, narrow *Document) *Document {
	merged := &Document{Format: Format}
	for _, d := range []*Document{wide, narrow} {
		if d != nil {
			merged.lay(d)
		}
	}
	return merged
}

// lay sets what a narrower document sets. It changes d, which shares no map with another document.
func (d *Document) lay(narrow *Document) {
	d.Classes = layAll(d.Classes, narrow.Classes, ClassDocument.lay)
	d.Tenants = layAll(d.Tenants, narrow.Tenants, TenantDocument.lay)
	if narrow.Limits != nil {
		d.Limits = d.Limits.lay(narrow.Limits)
	}
	if narrow.Cold != nil {
		d.Cold = d.Cold.lay(narrow.Cold)
	}
}

// layAll lays each element of narrow over the one of the same name in merged, which is the merged document's own.
func layAll[T any](merged, narrow map[string]T, lay func(wide, narrow T) T) map[string]T {
	if merged == nil && len(narrow) > 0 {
		merged = map[string]T{}
	}
	for name, n := range narrow {
		merged[name] = lay(merged[name], n)
	}
	return merged
}

func (c ClassDocument) lay(narrow ClassDocument) ClassDocument {
	return ClassDocument{
		AimMs:      latter(c.AimMs, narrow.AimMs),
		DeadlineMs: latter(c.DeadlineMs, narrow.DeadlineMs),
		Worth:      latter(c.Worth, narrow.Worth),
		LateWorth:  latter(c.LateWorth, narrow.LateWorth),
	}
}

func (t TenantDocument) lay(narrow TenantDocument) TenantDocument {
	return TenantDocument{
		PerSecond: latter(t.PerSecond, narrow.PerSecond),
		Portion:   latter(t.Portion, narrow.Portion),
	}
}

func (l *LimitsDocument) lay(narrow *LimitsDocument) *LimitsDocument {
	if l == nil {
		l = &LimitsDocument{}
	}
	return &LimitsDocument{
		Attempts:        latter(l.Attempts, narrow.Attempts),
		SecondCopies:    latter(l.SecondCopies, narrow.SecondCopies),
		MaxRetryAfterMs: latter(l.MaxRetryAfterMs, narrow.MaxRetryAfterMs),
		OverShareWorth:  latter(l.OverShareWorth, narrow.OverShareWorth),
	}
}

func (c *ColdDocument) lay(narrow *ColdDocument) *ColdDocument {
	if c == nil {
		c = &ColdDocument{}
	}
	return &ColdDocument{
		From:         latter(c.From, narrow.From),
		RampMs:       latter(c.RampMs, narrow.RampMs),
		FallMultiple: latter(c.FallMultiple, narrow.FallMultiple),
		FallMs:       latter(c.FallMs, narrow.FallMs),
	}
}

// latter is the narrower value, if there is one.
func latter[T any](wide, narrow *T) *T {
	if narrow != nil {
		return narrow
	}
	return wide
}
