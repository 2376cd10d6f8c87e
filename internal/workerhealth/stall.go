package workerhealth

import "time"

const (
	// minStallTimeout is the least time without progress after which a run counts as
	// standing still.
	minStallTimeout = 2 * time.Second
	// fineGrainedAdvances is the number of moves of the percent from which on a run, or a
	// queue's runs, are known to report in small steps.
	fineGrainedAdvances = 3
	// estimatePerStallTimeout is the part of its estimate for which a run that reports in
	// small steps may stand: a worker 25 times slower still moves within it.
	estimatePerStallTimeout = 4
	// unreportedEstimateFactor is by how much a run without any report may exceed its estimate,
	// and minUnreportedTimeout the least time for it.
	unreportedEstimateFactor = 8
	minUnreportedTimeout     = 10 * time.Second
	// advanceIntervalFactor and minTimeoutWithoutEstimate are for runs without an estimate: so many
	// times the mean time between moves.
	advanceIntervalFactor     = 20
	minTimeoutWithoutEstimate = 30 * time.Second
	// completePercent is the percent of a run that has only its end left, which may take
	// its time.
	completePercent = 100
	// maxStallStops is how often one task is stopped for standing still. The bound
	// doubles each time, so that slow honest work ends.
	maxStallStops = 4
)

// Progress is what was seen of one run.
type Progress struct {
	// StartedAt is when the run was first seen running.
	StartedAt time.Duration
	// AdvancedAt is when the percent last grew; StartedAt before that.
	AdvancedAt time.Duration
	// Percent and First are the newest and the first that were reported.
	Percent, FirstPercent int
	// FirstReportedAt is when First was reported.
	FirstReportedAt time.Duration
	// Advances counts how often the percent grew.
	Advances int
	// Reported is true once any percent was reported.
	Reported bool
}

// NewProgress returns the progress of a run that is seen running for the first time.
func NewProgress(now time.Duration) Progress { return Progress{StartedAt: now, AdvancedAt: now} }

// Observe takes in a percent, and reports whether it moved. One that is lower than
// before says nothing.
func (p *Progress) Observe(percent int, now time.Duration) bool {
	if !p.Reported {
		p.Reported = true
		p.FirstPercent, p.FirstReportedAt = percent, now
		p.Percent, p.AdvancedAt = percent, now
		return false
	}
	if percent <= p.Percent {
		return false
	}
	p.Percent, p.AdvancedAt = percent, now
	p.Advances++
	return true
}

// IsFineGrained reports whether the run is known to report in small steps.
func (p *Progress) IsFineGrained() bool { return p.Advances >= fineGrainedAdvances }

// DurationRatio is the time that the run will take by its progress so far, over its
// estimate; 0 if it cannot be told.
func (p *Progress) DurationRatio(estimate time.Duration) float64 {
	const leastPart = 5 // percent
	done := p.Percent - p.FirstPercent
	if estimate <= 0 || done < leastPart || p.AdvancedAt <= p.FirstReportedAt {
		return 0
	}
	total := float64(p.AdvancedAt-p.FirstReportedAt) * 100 / float64(done)
	return total / float64(estimate)
}

// StallTimeout is how long a run may go without progress before it counts as
// standing still; 0 if that cannot be told and it is left alone. finely tells
// that runs of this kind report in small steps, stops how often the task was
// stopped for standing still before.
func (p *Progress) StallTimeout(estimate time.Duration, fineGrained bool, earlierStops int) time.Duration {
	if earlierStops >= maxStallStops {
		return 0
	}
	bound := p.baseStallTimeout(estimate, fineGrained || p.IsFineGrained())
	return bound << earlierStops
}

func (p *Progress) baseStallTimeout(estimate time.Duration, fineGrained bool) time.Duration {
	switch {
	case estimate > 0 && !p.Reported && !fineGrained:
		return max(unreportedEstimateFactor*estimate, minUnreportedTimeout)
	case estimate > 0 && p.Reported && fineGrained && p.Percent < completePercent:
		return max(estimate/estimatePerStallTimeout, minStallTimeout)
	case estimate > 0:
		return max(estimate*3/2, minStallTimeout)
	case p.IsFineGrained():
		mean := (p.AdvancedAt - p.FirstReportedAt) / time.Duration(p.Advances)
		return max(advanceIntervalFactor*mean, minTimeoutWithoutEstimate)
	default:
		return 0
	}
}

// IsStalled reports whether the run has made no progress for longer than its
// bound. lastSeen is when its worker was last heard: silence is no standstill.
func (p *Progress) IsStalled(lastSeen, bound time.Duration) bool {
	return bound > 0 && lastSeen-p.AdvancedAt >= bound
}
