package balance

// hashString hashes a text to a number that is the same at every agent and never 0.
func hashString(text string) uint64 {
	h := uint64(len(text))
	for i := range len(text) {
		h = mix64(h + uint64(text[i]))
	}
	return h | 1
}

// mix64 spreads a number's entropy over all bits (the finalizer of splitmix64).
func mix64(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
