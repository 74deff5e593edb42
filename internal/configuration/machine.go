package configuration

// MachineStatus is the state of a control machine, the answer at MachinePath.
type MachineStatus struct {
	Name    string        `json:"name"`
	Region  string        `json:"region"`
	Watches int           `json:"watches"` // open watches of agents
	Groups  []GroupStatus `json:"groups"`  // groups that the machine is a member of
}

// GroupStatus is the state of a group as one of its control machines knows it.
type GroupStatus struct {
	Group   string             `json:"group"`
	Voting  bool               `json:"votes"`   // the machine is a voter of the group now
	Reason  string             `json:"why"`     // reason for not voting, such as a disk error, or how the machine joined
	Leader  string             `json:"leader"`  // as this machine knows it; empty: none
	Term    uint64             `json:"term"`    // raft term that the machine is in
	Applied uint64             `json:"applied"` // index of the last log entry that the machine has applied
	Scopes  map[Scope]Position `json:"scopes"`  // scopes with a document, as of the last applied entry
}
