package configuration

// Follower is the agent's side: it puts the updates of a watch together, checks them, says which effective document
// is to be applied, and reports what is in force.
//
//	follower.Connected()                  // a watch begins: ask with follower.Have()
//	result := follower.Take(update)       // for each line; ResultAskWhole: end the watch, begin a new one after a pause
//	effective, ok := follower.Pending()   // after each Take: apply it, then
//	follower.InForce(effective)           // or follower.Failed(effective, err); then look at Pending again
//	follower.Report()                     // send it when it has changed since the last one sent, and now and then
type Follower struct{}

// Effective is what all documents of an agent come to. It isn't changed after Pending has returned it.
type Effective struct {
	Document  *Document
	Positions map[Scope]Position // revisions that it is made of
	Digest    string             // of Document
}

// ResultKind says what became of an update.
type ResultKind uint8

// The kinds.
const (
	ResultTaken    ResultKind = iota // the scope has a new revision
	ResultPart                       // further parts are to come
	ResultKnown                      // this or a later revision was there before; nothing has changed
	ResultForeign                    // the scope isn't this agent's; nothing has changed
	ResultAskWhole                   // it doesn't fit what is there; see NeedsWhole
)

// Result answers an update.
type Result struct {
	Kind ResultKind
	Why  string // with ResultKnown, ResultForeign and ResultAskWhole
}

// NewFollower returns the follower of the agent at a place. check refuses an effective document that the agent can't
// apply to the settings it was started with; it is called with partial merges too, from the widest scope on.
func NewFollower(place Place, check func(effective *Document) error) *Follower { return &Follower{} }

// Connected says that a new watch begins: parts and sets that the last one left incomplete are given up. To be
// called before Have.
func (f *Follower) Connected() {}

// Have are the positions to watch from. A scope that needs the whole has an Epoch of 0.
func (f *Follower) Have() map[Scope]Position { return nil }

// Take takes the next update of the watch.
func (f *Follower) Take(u Update) Result { return Result{} }

// NeedsWhole are scopes of which an update didn't fit. A new watch that asks with Have gets them whole.
func (f *Follower) NeedsWhole() []Scope { return nil }

// Pending returns the effective document that is to be applied, if it isn't in force yet and no update is awaited.
func (f *Follower) Pending() (*Effective, bool) { return nil, false }

// InForce says that an effective document was applied.
func (f *Follower) InForce(e *Effective) {}

// Failed says that applying an effective document was refused. Where several scopes had changed they are tried one by
// one, from the widest on; one alone is refused until its next revision.
func (f *Follower) Failed(e *Effective, cause error) {}

// Report says what is in force and what is refused.
func (f *Follower) Report() Report { return Report{} }
