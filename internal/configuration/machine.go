package configuration

// MachineStatus is how a control machine stands: the answer at MachinePath.
type MachineStatus struct {
	Name    string        `json:"name"`
	Region  string        `json:"region"`
	Watches int           `json:"watches"` // that are open
	Groups  []GroupStatus `json:"groups"`  // that it is a member of
}

// GroupStatus is how a control machine stands in a group.
type GroupStatus struct {
	Group   string             `json:"group"`
	Votes   bool               `json:"votes"`
	Why     string             `json:"why"`    // it doesn't vote, such as the disk's error, or how it began
	Leader  string             `json:"leader"` // as this machine knows it; empty: none
	Term    uint64             `json:"term"`
	Applied uint64             `json:"applied"` // index of the last log entry that it has applied
	Scopes  map[Scope]Position `json:"scopes"`  // with a document, as far as it has applied
}
