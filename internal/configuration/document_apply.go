package configuration

import (
	"lemonrail/balance"
	"lemonrail/internal/wire"
)

// Apply lays a document over the settings that an agent was started with, whose classes and tenants go by names. It
// changes nothing of base. Errors name the field by its path. A nil document changes nothing.
func (d *Document) Apply(base balance.Settings, names wire.Names) (balance.Settings, error) {
	return base, errStub
}

// NotChangeable says of each field of balance.Settings that no document changes why it needs a restart. Fields of
// classes, tenants and the like go by their path, as in Classes.Effect.
var NotChangeable = map[string]string{}
