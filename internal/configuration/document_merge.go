package configuration

// Merge returns wide overlaid with narrow, field by field. It modifies neither; either may be nil.
func Merge(wide, narrow *Document) *Document {
	merged := &Document{Format: Format}
	for _, d := range []*Document{wide, narrow} {
		if d != nil {
			merged.overlay(d)
		}
	}
	return merged
}

// overlay sets in d the fields that narrow sets. d must share no map with another document.
func (d *Document) overlay(narrow *Document) {
	d.Classes = overlayMap(d.Classes, narrow.Classes, ClassDocument.overlay)
	d.Tenants = overlayMap(d.Tenants, narrow.Tenants, TenantDocument.overlay)
	if narrow.Limits != nil {
		d.Limits = d.Limits.overlay(narrow.Limits)
	}
	if narrow.Cold != nil {
		d.Cold = d.Cold.overlay(narrow.Cold)
	}
}

// overlayMap overlays each element of merged with the element of the same name in narrow. It modifies merged.
func overlayMap[T any](merged, narrow map[string]T, overlay func(wide, narrow T) T) map[string]T {
	if merged == nil && len(narrow) > 0 {
		merged = map[string]T{}
	}
	for name, n := range narrow {
		merged[name] = overlay(merged[name], n)
	}
	return merged
}

func (c ClassDocument) overlay(narrow ClassDocument) ClassDocument {
	return ClassDocument{
		AimMs:      preferNarrow(c.AimMs, narrow.AimMs),
		DeadlineMs: preferNarrow(c.DeadlineMs, narrow.DeadlineMs),
		Worth:      preferNarrow(c.Worth, narrow.Worth),
		LateWorth:  preferNarrow(c.LateWorth, narrow.LateWorth),
	}
}

func (t TenantDocument) overlay(narrow TenantDocument) TenantDocument {
	return TenantDocument{
		PerSecond: preferNarrow(t.PerSecond, narrow.PerSecond),
		Portion:   preferNarrow(t.Portion, narrow.Portion),
	}
}

func (l *LimitsDocument) overlay(narrow *LimitsDocument) *LimitsDocument {
	if l == nil {
		l = &LimitsDocument{}
	}
	return &LimitsDocument{
		Attempts:        preferNarrow(l.Attempts, narrow.Attempts),
		SecondCopies:    preferNarrow(l.SecondCopies, narrow.SecondCopies),
		MaxRetryAfterMs: preferNarrow(l.MaxRetryAfterMs, narrow.MaxRetryAfterMs),
		OverShareWorth:  preferNarrow(l.OverShareWorth, narrow.OverShareWorth),
	}
}

func (c *ColdDocument) overlay(narrow *ColdDocument) *ColdDocument {
	if c == nil {
		c = &ColdDocument{}
	}
	return &ColdDocument{
		From:         preferNarrow(c.From, narrow.From),
		RampMs:       preferNarrow(c.RampMs, narrow.RampMs),
		FallMultiple: preferNarrow(c.FallMultiple, narrow.FallMultiple),
		FallMs:       preferNarrow(c.FallMs, narrow.FallMs),
	}
}

// preferNarrow returns narrow, or wide if narrow is nil.
func preferNarrow[T any](wide, narrow *T) *T {
	if narrow != nil {
		return narrow
	}
	return wide
}
