// Package configuration decides about settings that change while a fleet runs. It keeps documents by scope
// with their revisions, checks who may write them, computes the updates that an agent still needs and the
// settings that result at the agent, and determines whether a revision is in force everywhere. A revision is
// in force at an agent once the agent's load balancer works with it. The package has no I/O, no clock and no
// goroutine: callers pass the time. The packages under it drive it: server (the control process), watch (the
// agent's side) and client (the operators' side).
//
// A document is a partial set of settings. Each scope has at most one document, and each change replaces it
// as a whole and creates a new Revision. The effective settings of an agent are those of its start file,
// overlaid with the documents of the scopes that apply to the agent, from the widest scope to the narrowest.
//
// Scopes are written by groups of control machines that agree by raft (internal/replica). The scopes of the
// fleet and of services are written by all machines of both regions, those of a region by the region's
// machines and a witness in the other region. Each scope belongs to one group, so all its revisions are
// totally ordered.
package configuration

// Format is the version of the document format that this program supports. An agent refuses documents of later
// versions.
const Format = 1

// Limits on documents, names and stored state.
const (
	MaxDocumentBytes  = 16 << 10 // bytes of a document
	MaxScopes         = 2048     // scopes with a document, per group
	MaxGroupBytes     = 2 << 20  // bytes of all documents of a group
	MaxNameBytes      = 64       // bytes of a name in a scope, or of the author of a revision
	MaxChangeIDBytes  = 64       // bytes of the ID of a change
	MaxChangeResults  = 256      // number of results that a group keeps, those of the last changes, to recognize a repeated change
	MaxReversePatches = 64       // number of earlier revisions of a scope from which an agent can be sent a patch
	MaxRefusalBytes   = 512      // bytes of the reason for which an agent refuses a revision
	MaxPartBytes      = 2 << 10  // bytes of document text in one part of an update
	FleetGroup        = "fleet"  // the group that writes the scopes of the fleet and of services
	regionGroupPrefix = "region-"
)
