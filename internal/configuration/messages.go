package configuration

import "encoding/json"

// Paths of the control process, HTTP/1.1. Errors come as ErrorBody with a 4xx or 5xx status.
const (
	WatchPath       = "/configuration/watch"       // GET with WatchQuery's parameters: a chunked answer, an Update a line, an empty line every Heartbeat
	ReportPath      = "/configuration/report"      // POST a Report: what an agent has in force; 204
	PutPath         = "/configuration/put"         // POST a Change: an Accepted
	ShowPath        = "/configuration/show"        // GET ?scope=S: a Revision
	StatusPath      = "/configuration/status"      // GET ?scope=S&revision=N: a Status over all machines that can be reached
	LocalStatusPath = "/configuration/localstatus" // GET: the []AgentStatus that this machine has itself
	HistoryPath     = "/configuration/history"     // GET ?scope=S: []Revision, the latest first
	MachinePath     = "/configuration/machine"     // GET: how this machine stands in its groups
)

// Position is how far somebody is in a scope. Epoch is the term of the group in which the revision was written; a
// greater revision is later, whatever its epoch.
type Position struct {
	Revision uint64 `json:"revision"`
	Epoch    uint64 `json:"epoch"`
}

// Revision is a document that a scope has had.
type Revision struct {
	Scope    Scope           `json:"scope"`
	Position                 // rises by one with each change of the scope
	Document json.RawMessage `json:"document"` // canonical, see Canonical
	Digest   string          `json:"digest"`   // of Document, see Digest
	Change   string          `json:"change"`   // identity of the change that made it
	By       string          `json:"by"`
	Why      string          `json:"why"`
	At       string          `json:"at"` // RFC 3339, by the clock of the machine that took the change: for people only
}

// Change asks for a new revision of a scope. Sent again with the same ID it is done once.
type Change struct {
	ID       string          `json:"id"`
	Scope    Scope           `json:"scope"`
	Base     uint64          `json:"base"` // revision that the writer has seen; another one in force is a conflict
	Document json.RawMessage `json:"document"`
	By       string          `json:"by"`
	Why      string          `json:"why"`
	At       string          `json:"at"` // set by the machine that takes it
}

// Update is a line of a watch: a scope's document, whole or as a patch, possibly in parts.
type Update struct {
	Scope    Scope `json:"scope"`
	Position       // after it
	// From is the revision that Patch (RFC 7396) is to be laid upon; 0: Patch is the whole document.
	From  uint64          `json:"from"`
	Patch json.RawMessage `json:"patch,omitempty"`
	// Text is a part of the whole document's text, where it comes in parts (Parts over 1, Part from 0 on).
	Text   string `json:"text,omitempty"`
	Part   int    `json:"part,omitempty"`
	Parts  int    `json:"parts,omitempty"`
	Digest string `json:"digest"`         // of the scope's document after it
	More   bool   `json:"more,omitempty"` // further updates follow at once and are to take effect together with it
}

// Report is what an agent has in force. It is sent after settings have taken effect, never before; also as soon as a
// watch has been answered, since what was reported before doesn't count from then on.
type Report struct {
	Place
	Format  int                `json:"format"`
	InForce map[Scope]Position `json:"in_force"`
	Digest  string             `json:"digest"` // of the effective document
	Refused []Refusal          `json:"refused,omitempty"`
	// Leaving: the agent stops as planned and has nothing in force any more. A tracker forgets it.
	Leaving bool `json:"leaving,omitempty"`
}

// Refusal is a revision that an agent doesn't take, and why. It keeps what it had.
type Refusal struct {
	Scope Scope `json:"scope"`
	Position
	Why string `json:"why"`
}

// AgentStatus is what a control machine knows of an agent.
type AgentStatus struct {
	Report
	Connected bool    `json:"connected"` // its watch is open at Machine
	Machine   string  `json:"machine"`
	AgeMs     float64 `json:"age_ms"` // since the report came, or since the watch began for which none has come yet
}

// Status answers whether a revision is in force everywhere.
type Status struct {
	Scope Scope `json:"scope"`
	Position
	Everywhere  bool          `json:"everywhere"`
	Agents      int           `json:"agents"` // that the scope holds for
	InForce     int           `json:"in_force"`
	Behind      []AgentBehind `json:"behind,omitempty"`
	Unreachable []string      `json:"unreachable,omitempty"` // machines that didn't answer: their agents may be missing
}

// AgentBehind is an agent that doesn't have a revision in force.
type AgentBehind struct {
	Place
	Position        // that it has in force
	Why      string `json:"why"` // refused: reason; away; not yet reported
}

// Accepted answers a change.
type Accepted struct {
	Scope Scope `json:"scope"`
	Position
	Digest string `json:"digest"`
}

// ErrorKind says what a failed call comes to.
type ErrorKind string

// The kinds, and the HTTP status that each goes with.
const (
	ErrorInvalid  ErrorKind = "invalid"   // 422: the document or the call makes no sense; nothing was written
	ErrorConflict ErrorKind = "conflict"  // 409: the scope is at another revision than Base; nothing was written
	ErrorNoQuorum ErrorKind = "no-quorum" // 503: the group that writes the scope has no majority here; nothing was written
	ErrorUnknown  ErrorKind = "unknown"   // 504: it may have been written or may yet be: send it again with the same ID
	ErrorNotHere  ErrorKind = "not-here"  // 421: this machine doesn't hold the scope; Machines do
	ErrorMissing  ErrorKind = "missing"   // 404: the scope has no document
)

// ErrorBody is the body of an answer that is no yes.
type ErrorBody struct {
	Kind     ErrorKind `json:"kind"`
	Message  string    `json:"message"`
	Machines []string  `json:"machines,omitempty"` // to ask instead
	Leader   string    `json:"leader,omitempty"`   // with not-here: the machine that leads the scope's group, if known
	Position           // with conflict: the scope's
}

func (e *ErrorBody) Error() string { return string(e.Kind) + ": " + e.Message }
