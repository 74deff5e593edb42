// Package deploy embeds settings files of lemonrail, for programs that use them as defaults where no file is given.
package deploy

import _ "embed"

// Load is the text of load.toml: the default rules by which the load player maps the entries of recorded logs to requests.
//
//go:embed load.toml
var Load string
