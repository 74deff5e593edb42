package configuration

import "encoding/json"

// HTTP/1.1 paths of the control process. Errors are answered with an ErrorBody and a 4xx or 5xx status.
const (
	// WatchPath: GET with the parameters agent, region, zone, service, format and, for each scope that the agent
	// has a document of, have=SCOPE@REVISION.EPOCH. The answer is chunked, with one Update per line and an empty
	// line every 2 s as a heartbeat.
	WatchPath       = "/configuration/watch"
	ReportPath      = "/configuration/report"      // POST a Report of what an agent has in force: 204
	PutPath         = "/configuration/put"         // POST a Change: answers an Accepted
	ShowPath        = "/configuration/show"        // GET ?scope=S: answers a Revision
	StatusPath      = "/configuration/status"      // GET ?scope=S&revision=N: answers a Status over all reachable machines
	LocalStatusPath = "/configuration/localstatus" // GET: answers the []AgentStatus of this machine alone
	HistoryPath     = "/configuration/history"     // GET ?scope=S: answers []Revision, the latest first
	MachinePath     = "/configuration/machine"     // GET: answers a MachineStatus, with the machine's state in its groups
)

// Position is a point in the history of a scope: a revision and its Epoch, the raft term of the group in
// which the revision was written. The greater revision is the later one, whatever its epoch.
type Position struct {
	Revision uint64 `json:"revision"`
	Epoch    uint64 `json:"epoch"`
}

// Revision is one version of the document of a scope.
type Revision struct {
	Scope    Scope           `json:"scope"`
	Position                 // Revision rises by one with each change of the scope
	Document json.RawMessage `json:"document"` // canonical, see Canonical
	Digest   string          `json:"digest"`   // of Document, see Digest
	Change   string          `json:"change"`   // ID of the change that created it
	Author   string          `json:"by"`       // author
	Reason   string          `json:"why"`      // reason that the author gave
	At       string          `json:"at"`       // RFC 3339, clock of the machine that received the change; informational only
}

// Change requests a new revision of a scope. A change that is sent again with the same ID is applied once.
type Change struct {
	ID       string          `json:"id"`
	Scope    Scope           `json:"scope"`
	Base     uint64          `json:"base"` // revision that the author has seen; a conflict if the scope is at another one
	Document json.RawMessage `json:"document"`
	Author   string          `json:"by"`
	Reason   string          `json:"why"`
	At       string          `json:"at"` // set by the machine that receives the change
}

// Update is one line of a watch: the document of a scope, whole or as a patch, possibly in parts.
type Update struct {
	Scope    Scope `json:"scope"`
	Position       // position after the update
	// From is the revision to which Patch (RFC 7396) applies. If it is 0, Patch is the whole document.
	From  uint64          `json:"from"`
	Patch json.RawMessage `json:"patch,omitempty"`
	// Text is one part of the text of a whole document that is sent in parts: Parts is above 1, Part counts
	// from 0.
	Text   string `json:"text,omitempty"`
	Part   int    `json:"part,omitempty"`
	Parts  int    `json:"parts,omitempty"`
	Digest string `json:"digest"`         // of the scope's document after the update
	More   bool   `json:"more,omitempty"` // further updates follow at once and take effect together with this one
}

// Report tells what an agent has in force. An agent sends it after settings have taken effect, never before.
// It also sends one as soon as a watch has been answered, because a new watch invalidates its earlier
// reports.
type Report struct {
	Place
	Format  int                `json:"format"`
	InForce map[Scope]Position `json:"in_force"` // revisions in force, by scope
	Digest  string             `json:"digest"`   // of the effective document
	Refused []Refusal          `json:"refused,omitempty"`
	// Leaving is set if the agent stops as planned and has nothing in force any more. A Tracker then forgets
	// the agent.
	Leaving bool `json:"leaving,omitempty"`
}

// Refusal is a revision that an agent refuses, with the reason. The agent keeps the revision that it had in
// force.
type Refusal struct {
	Scope Scope `json:"scope"`
	Position
	Reason string `json:"why"`
}

// AgentStatus is the state of an agent as one control machine knows it.
type AgentStatus struct {
	Report
	Connected bool    `json:"connected"` // the agent has an open watch at Machine
	Machine   string  `json:"machine"`
	AgeMs     float64 `json:"age_ms"` // time since the report came, or since the watch began if no report has come since
}

// Status tells whether a revision is in force everywhere.
type Status struct {
	Scope Scope `json:"scope"`
	Position
	Everywhere  bool          `json:"everywhere"`            // see InForce
	Agents      int           `json:"agents"`                // number of agents to which the scope applies
	InForce     int           `json:"in_force"`              // number of those agents that have the revision in force
	Behind      []AgentBehind `json:"behind,omitempty"`      // those that don't
	Unreachable []string      `json:"unreachable,omitempty"` // machines that didn't answer, so agents may be missing
}

// AgentBehind is an agent that doesn't have a revision in force yet.
type AgentBehind struct {
	Place
	Position        // position that the agent has in force
	Reason   string `json:"why"` // why it is behind: a refusal with its reason, not connected, or no report yet
}

// Accepted is the answer to an accepted change: the revision that the change created.
type Accepted struct {
	Scope Scope `json:"scope"`
	Position
	Digest string `json:"digest"`
}

// ErrorKind is the kind of failure of a call.
type ErrorKind string

// The kinds of errors, with the HTTP status of each.
const (
	ErrorInvalid  ErrorKind = "invalid"   // 422: the document or the call is invalid; nothing was written
	ErrorConflict ErrorKind = "conflict"  // 409: the scope is at another revision than Base; nothing was written
	ErrorNoQuorum ErrorKind = "no-quorum" // 503: the group that writes the scope has no majority here; nothing was written
	ErrorUnknown  ErrorKind = "unknown"   // 504: the change may or may not get written: send it again with the same ID
	ErrorNotHere  ErrorKind = "not-here"  // 421: this machine doesn't hold the scope; those in ErrorBody.Machines do
	ErrorMissing  ErrorKind = "missing"   // 404: the scope has no document
)

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Kind     ErrorKind `json:"kind"`
	Message  string    `json:"message"`
	Machines []string  `json:"machines,omitempty"` // machines that can answer the call, with ErrorNotHere
	Leader   string    `json:"leader,omitempty"`   // with ErrorNotHere: the machine that leads the scope's group, if known
	Position           // with ErrorConflict: the scope's position
}

func (e *ErrorBody) Error() string { return string(e.Kind) + ": " + e.Message }
