// Package deploy embeds settings files of lemonrail, for programs that use them as defaults where no file is given.
package deploy

import _ "embed"

// Load is the text of load.toml, which defines how recorded entries become requests.
//
//go:embed load.toml
var Load string
