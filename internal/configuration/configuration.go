// Package configuration decides about settings that change while a fleet runs: documents by scope, their revisions,
// who may write them, what an agent is still to be sent, what it does with it, and whether a revision is in force
// everywhere. It has no I/O, no clock and no goroutine: time is passed in. The packages under it drive it: server (the
// control process), watch (the agent's side) and client (the operators' side).
//
// A document is a partial set of settings. Each scope has at most one, replaced as a whole by a new Revision; the
// effective settings of an agent are its start file's, with the documents of the scopes that hold for it laid over them
// from the widest to the narrowest.
//
// Scopes are written by groups of control machines that agree by raft (internal/replica): the fleet's and the services'
// by all machines of both regions, those of a region by the region's machines and a witness in the other one. A scope
// belongs to one group, so all its revisions stand in one order.
package configuration

// Format is the version of documents that this program understands. An agent refuses a document of a later one.
const Format = 1

// Bounds.
const (
	DocumentMost  = 16 << 10 // bytes of a document
	ScopesMost    = 2048     // scopes with a document, in one group
	GroupMost     = 2 << 20  // bytes of all documents of a group
	NameMost      = 64       // bytes of a name in a scope, or of who wrote a revision
	ChangeIDMost  = 64       // bytes of a change's identity
	ChangesKept   = 256      // identities of the last changes of a group, so that one that is sent again is known
	PatchesKept   = 64       // revisions of a scope from which an agent is sent a patch instead of the whole
	RefusalMost   = 512      // bytes of an agent's reason
	PartMost      = 2 << 10  // bytes of a document in one part
	FleetGroup    = "fleet"  // the group of the fleet's and the services' scopes
	regionsPrefix = "region-"
)
