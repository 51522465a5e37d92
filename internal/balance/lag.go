package balance

import "time"

// LatencyCorrection corrects estimates of the time to the first event from measured times. It learns what an estimate
// leaves out: engine overhead outside its passes, network latency, and which fraction of the other requests' queued
// prompts delays a new request. The rest of these prompts are read before the request reaches the engine, or in
// passes after its own.
type LatencyCorrection struct {
	// residuals holds measured minus predicted times to the first event; the prediction leaves the residual itself
	// out. baseline is a low quantile of it over a longer time.
	residuals window[time.Duration]
	baseline  time.Duration
	// fraction is the part of Estimate.QueuedPrefill that a request waits for. It is fitted from the running means
	// below.
	fraction                                                     float64
	meanQueued, meanRest, meanQueuedSquare, meanProduct, samples float64
	// groups holds the offsets of single groups.
	groups map[string]*groupOffset
}

// groupOffset is how much slower a group is than the others, as a moving average that decays while it gets no
// samples.
type groupOffset struct {
	offset  time.Duration
	updated time.Time
}

const (
	// typicalQuantile is the fraction of first events that should meet their objective in a group filled to its
	// limit. A larger one would leave groups emptier than most requests need.
	typicalQuantile = 0.6
	// residualValidFor is how long the measured residuals are used without new samples. After that the baseline
	// applies and halves every residualHalfLife. Otherwise a residual learned under overload would keep all work
	// away, and with it the samples that show that the overload has ended.
	residualValidFor = time.Second
	residualHalfLife = time.Second
	// baselineMinSamples is the number of recent residuals that an update of the baseline needs, baselineQuantile the
	// quantile that it follows, and baselineRiseWeight the weight of a quantile above the baseline.
	baselineMinSamples = 64
	baselineQuantile   = 0.25
	baselineRiseWeight = 0.05
	// fractionMaxSamples bounds the effective number of samples in the fit of the fraction, fractionMinSamples is the
	// number before which the fit is not used.
	fractionMaxSamples = 2000
	fractionMinSamples = 200
	// initialFraction is used until there are enough samples; minFraction and maxFraction bound the fitted value.
	initialFraction = 0.5
	minFraction     = 0.15
	maxFraction     = 0.9
	// groupSampleWeight is the weight of one sample in the moving average of its group.
	groupSampleWeight = 0.2
	// groupHalfLife is the time in which a group's offset halves while the group gets no requests, so that a group
	// that was slow is tried again.
	groupHalfLife = time.Second
)

// NewLatencyCorrection returns a LatencyCorrection without samples.
func NewLatencyCorrection() *LatencyCorrection {
	return &LatencyCorrection{fraction: initialFraction, groups: map[string]*groupOffset{}}
}

// Observe records the measured time to the first event of a request in a group.
func (l *LatencyCorrection) Observe(now time.Time, group string, e Estimate, took time.Duration) {
	if !e.Full {
		l.fitFraction(e.QueuedPrefill.Seconds(), (took - e.Passes).Seconds())
	}
	residual := took - l.Expect(e)
	l.residuals.add(now, residual)
	if !l.residuals.known() {
		return
	}
	if now.Equal(l.residuals.sortedAt) && len(l.residuals.sorted) >= baselineMinSamples {
		l.updateBaseline(l.residuals.quantile(baselineQuantile))
	}
	g := l.groups[group]
	if g == nil {
		g = &groupOffset{updated: now}
		l.groups[group] = g
	}
	g.offset = time.Duration((1-groupSampleWeight)*float64(g.decayed(now)) + groupSampleWeight*float64(residual-l.residuals.quantile(0.5)))
	g.updated = now
}

// updateBaseline moves the baseline to a low quantile of the residuals: down at once, up slowly.
func (l *LatencyCorrection) updateBaseline(q time.Duration) {
	if l.baseline == 0 || q < l.baseline {
		l.baseline = q
		return
	}
	l.baseline += time.Duration(baselineRiseWeight * float64(q-l.baseline))
}

// fitFraction fits rest = constant + fraction * queued by least squares over the recent first events.
func (l *LatencyCorrection) fitFraction(queued, rest float64) {
	l.samples = min(l.samples+1, fractionMaxSamples)
	average := func(sum *float64, v float64) { *sum += (v - *sum) / l.samples }
	average(&l.meanQueued, queued)
	average(&l.meanRest, rest)
	average(&l.meanQueuedSquare, queued*queued)
	average(&l.meanProduct, queued*rest)
	if variance := l.meanQueuedSquare - l.meanQueued*l.meanQueued; l.samples >= fractionMinSamples && variance > 0 {
		l.fraction = min(max((l.meanProduct-l.meanQueued*l.meanRest)/variance, minFraction), maxFraction)
	}
}

// Expect returns the predicted time to the first event, without the typical residual.
func (l *LatencyCorrection) Expect(e Estimate) time.Duration {
	return e.Passes + time.Duration(l.fraction*float64(e.QueuedPrefill))
}

// TypicalResidual returns the residual that most first events stay below.
func (l *LatencyCorrection) TypicalResidual(now time.Time) time.Duration {
	if age := now.Sub(l.residuals.sortedAt); age > residualValidFor {
		return time.Duration(float64(l.baseline) * halfLifeDecay(age-residualValidFor, residualHalfLife))
	}
	return l.residuals.quantile(typicalQuantile)
}

// GroupOffset returns how much slower a group is than the others; never negative.
func (l *LatencyCorrection) GroupOffset(now time.Time, group string) time.Duration {
	g := l.groups[group]
	if g == nil {
		return 0
	}
	return max(g.decayed(now), 0)
}

// decayed returns the offset that remains at the given time.
func (g *groupOffset) decayed(now time.Time) time.Duration {
	return time.Duration(float64(g.offset) * halfLifeDecay(now.Sub(g.updated), groupHalfLife))
}

// Forget drops the groups for which kept is false.
func (l *LatencyCorrection) Forget(kept func(group string) bool) {
	for key := range l.groups {
		if !kept(key) {
			delete(l.groups, key)
		}
	}
}
