package configuration

// Kept returns what is in force, for a disk, with a checksum.
func (f *Follower) Kept() ([]byte, error) { return nil, errStub }

// RestoreKept takes what Kept returned in an earlier process of the same agent; it is to be called before the first
// watch. Pending then offers it. It refuses what is torn, not of this place or of a later Format, and changes nothing.
func (f *Follower) RestoreKept(kept []byte) error { return errStub }
