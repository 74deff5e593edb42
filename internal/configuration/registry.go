package configuration

// Registry is the state machine that the control machines of one group replicate: the latest revision of each scope
// that the group writes, with what it takes to make patches from earlier ones. It satisfies replica.StateMachine.
// No two of its methods may run at the same time, also of those that only read.
type Registry struct {
	// OnRevision, unless nil, is told of each new revision as it is applied, for a history. A log that is read again
	// after a restart tells it again; revisions that came with a snapshot aren't told.
	OnRevision func(Revision)
}

// NewRegistry returns the empty registry of a group.
func NewRegistry(group string) *Registry { return &Registry{} }

// EncodeChange makes a change a command for Apply.
func EncodeChange(c Change) ([]byte, error) { return nil, errStub }

// DecodeResult reads what Apply returned. The error is an *ErrorBody where the change was refused.
func DecodeResult(result []byte) (Accepted, error) { return Accepted{}, errStub }

// Check refuses a change before it is proposed, at least as strictly as Apply would; the error is an *ErrorBody. A
// change that was taken before passes, so that Apply can give its first result again.
func (r *Registry) Check(c Change) error { return errStub }

// Apply carries out a command of EncodeChange at the epoch (the term of the log entry) and returns a result for
// DecodeResult. The same Change.ID again gets its first result.
func (r *Registry) Apply(epoch uint64, command []byte) (result []byte) { return nil }

// Snapshot returns the whole state. Equal states have equal snapshots.
func (r *Registry) Snapshot() ([]byte, error) { return nil, errStub }

// Restore replaces the state by a snapshot's.
func (r *Registry) Restore(snapshot []byte) error { return errStub }

// Revision returns the latest revision of a scope.
func (r *Registry) Revision(scope Scope) (Revision, bool) { return Revision{}, false }

// Scopes are those with a document, in the order of their text.
func (r *Registry) Scopes() []Scope { return nil }

// Updates are what takes an agent from the position it has to the latest revision of a scope: none, a patch, or the
// whole in one or more parts. All but the last have More set; where updates of further scopes follow at once, the
// caller sets it on the last one too. A position with an Epoch of 0 asks for the whole, if it is newer.
func (r *Registry) Updates(scope Scope, have Position) []Update { return nil }
