package balance

import (
	"cmp"
	"math"
)

// meanLatency returns the mean over the classes of their mean latency, ns.
func (b *Balancer) meanLatency() (mean float64) {
	for i := range b.classes {
		mean += b.classes[i].meanLatency / float64(len(b.classes))
	}
	return mean
}

// expectedLatency returns the expected latency of r in ns: the mean of its class, scaled within bounds by the
// work that the request announced.
func (b *Balancer) expectedLatency(r *request) float64 {
	c := &b.classes[r.class]
	if r.work > 0 && c.meanWork > 0 {
		return c.meanLatency * min(max(r.work/c.meanWork, minWorkFactor), maxWorkFactor)
	}
	return c.meanLatency
}

// slowness returns t's latency as a multiple of the mean, by its own answers or else by those of its kind.
func (b *Balancer) slowness(t *backend) float64 {
	return cmp.Or(t.slowRatio, b.slownessOfKind(t).slowRatio)
}

// slownessOfKind returns the slowness of t's kind, which is used for a backend without answers. Only a quiet
// agent learns it, since it meets few backends twice. A busy agent soon knows each backend, and there the
// answers of a dead zone would count against the other backends of the kind.
func (b *Balancer) slownessOfKind(t *backend) *slowness {
	if b.kindSlowness[t.Kind] == nil {
		b.kindSlowness[t.Kind] = &slowness{slowRatio: 1}
		if t.Weight > 0 && b.meanWeight > 0 { // gives picks by the inverse cube in proportion to the weight
			b.kindSlowness[t.Kind].slowRatio = math.Cbrt(b.meanWeight / t.Weight)
		}
	}
	if !b.quiet() {
		b.kindSlowness[t.Kind].slowRatio = 1
	}
	return b.kindSlowness[t.Kind]
}

// learnSpeed adds a latency, as a multiple of the expected one, to the slowness of t and of its kind. The
// first samples weigh more, since a quiet agent sees few answers of each backend.
func (b *Balancer) learnSpeed(t *backend, sample float64) {
	t.slowRatio = cmp.Or(t.slowRatio, b.slownessOfKind(t).slowRatio)
	for _, s := range []*slowness{&t.slowness, b.slownessOfKind(t)} {
		s.samples++
		s.slowRatio += max(meanStep, 1/(s.samples+priorSamples)) * (min(sample, maxSlowSample) - s.slowRatio)
	}
}
