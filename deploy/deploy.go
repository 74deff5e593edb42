// Package deploy holds the files by which lemonrail is set up, for the programs that need their
// text where no file is given.
package deploy

import _ "embed"

// Load is load.toml: how recorded entries become requests.
//
//go:embed load.toml
var Load string
