package balance

// updateMean moves an exponentially weighted mean towards a sample; 0 means that there is no sample yet.
func updateMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + meanStep*(sample-mean)
}
