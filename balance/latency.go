package balance

import (
	"cmp"
	"math"
)

// usual is the mean latency over the classes.
func (b *Balancer) usual() (mean float64) {
	for i := range b.classes {
		mean += b.classes[i].latency / float64(len(b.classes))
	}
	return mean
}

// expected is the mean latency for a request of this class and told work, as far as latency follows work.
func (b *Balancer) expected(r *request) float64 {
	c := &b.classes[r.class]
	if r.work > 0 && c.work > 0 {
		return c.latency * min(max(r.work/c.work, hintLeast), hintMost)
	}
	return c.latency
}

// slowness is how much longer this backend takes than the mean, by its answers or its kind's.
func (b *Balancer) slowness(t *backend) float64 { return cmp.Or(t.slow, b.kind(t).slow) }

// kind is what a quiet agent knows of a backend's kind, since it meets few twice: an unknown
// one counts at its mean. A busy agent soon knows each; a dead zone would teach it about the rest.
func (b *Balancer) kind(t *backend) *speed {
	if b.kinds[t.Kind] == nil {
		b.kinds[t.Kind] = &speed{slow: 1}
		if t.Weight > 0 && b.rated > 0 { // as slow as gives it its share by weight
			b.kinds[t.Kind].slow = math.Cbrt(b.rated / t.Weight)
		}
	}
	if !b.quiet() {
		b.kinds[t.Kind].slow = 1
	}
	return b.kinds[t.Kind]
}

// learnSpeed takes one latency, as a multiple of the expected, into a backend's slowness.
// The first few weigh more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) learnSpeed(t *backend, sample float64) {
	t.slow = cmp.Or(t.slow, b.kind(t).slow)
	for _, s := range []*speed{&t.speed, b.kind(t)} {
		s.samples++
		s.slow += max(smooth, 1/(s.samples+priorSamples)) * (min(sample, slowBound) - s.slow)
	}
}
