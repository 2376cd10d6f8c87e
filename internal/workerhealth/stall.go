package workerhealth

import "time"

const (
	// minStallTimeout is the least stall timeout of a run with an estimate that reports
	// its progress, or whose queue's runs are known to report in small increments.
	minStallTimeout = 2 * time.Second
	// fineGrainedAdvances is the number of advances of the percent after which a run, and
	// the runs of its queue, are known to report in small increments.
	fineGrainedAdvances = 3
	// stallTimeoutDivisor is what the estimate of a run that reports in small increments is
	// divided by to get its timeout. A run that takes 25 times its estimate still
	// advances by one percent within that timeout.
	stallTimeoutDivisor = 4
	// unreportedEstimateFactor is the multiple of the estimate that is the timeout of a
	// run without any report; minUnreportedTimeout is the least such timeout.
	unreportedEstimateFactor = 8
	minUnreportedTimeout     = 10 * time.Second
	// advanceIntervalFactor is the multiple of the mean time between advances that is the
	// timeout of a run without an estimate; minTimeoutWithoutEstimate is the least such
	// timeout.
	advanceIntervalFactor     = 20
	minTimeoutWithoutEstimate = 30 * time.Second
	// completePercent is the percent of a run that has done its work and only has to end.
	// Ending may take long, so the timeout for small increments does not apply to it.
	completePercent = 100
	// maxStallStops is how often the runs of one task may be stopped for a stall. The
	// timeout doubles each time, so that a slow task eventually completes.
	maxStallStops = 4
	// minMeasuredPercent is the least progress, in percentage points, from which the
	// duration of a run is extrapolated.
	minMeasuredPercent = 5
)

// Progress is the progress of one run as reported by its worker. It is owned by the
// leader that tracks the run.
type Progress struct {
	// StartedAt is when the run was first reported as running.
	StartedAt time.Duration
	// AdvancedAt is when the percent was first reported or last grew; StartedAt before
	// the first report.
	AdvancedAt time.Duration
	// Percent is the highest reported percent, FirstPercent the first one, which is above
	// 0 if the run resumes from a checkpoint.
	Percent, FirstPercent int
	// FirstReportedAt is when FirstPercent was reported.
	FirstReportedAt time.Duration
	// Advances counts how often the percent grew after the first report.
	Advances int
	// Reported is true once a percent has been reported.
	Reported bool
}

// NewProgress returns the progress of a run that is reported as running for the first
// time, at now.
func NewProgress(now time.Duration) Progress { return Progress{StartedAt: now, AdvancedAt: now} }

// Observe records a reported percent and returns whether the run advanced. It ignores a
// percent that is not higher than before. The first report does not count as an advance.
func (p *Progress) Observe(percent int, now time.Duration) (advanced bool) {
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

// IsFineGrained reports whether the run is known to report in small increments.
func (p *Progress) IsFineGrained() bool { return p.Advances >= fineGrainedAdvances }

// DurationRatio returns the run's total duration, extrapolated from its progress since the
// first report, divided by its estimate. It returns 0 if there is no estimate or too
// little progress.
func (p *Progress) DurationRatio(estimate time.Duration) float64 {
	measured := p.Percent - p.FirstPercent
	if estimate <= 0 || measured < minMeasuredPercent || p.AdvancedAt <= p.FirstReportedAt {
		return 0
	}
	total := float64(p.AdvancedAt-p.FirstReportedAt) * completePercent / float64(measured)
	return total / float64(estimate)
}

// StallTimeout returns how long the run may go without progress before it counts as
// stalled. It returns 0 if the run never counts as stalled: after maxStallStops, or if too
// little is known for a timeout. fineGrained is whether runs of this queue are known to
// report in small increments; earlierStops is how often runs of the task were stopped for a
// stall before.
func (p *Progress) StallTimeout(estimate time.Duration, fineGrained bool, earlierStops int) time.Duration {
	if earlierStops >= maxStallStops {
		return 0
	}
	timeout := p.baseStallTimeout(estimate, fineGrained || p.IsFineGrained())
	return timeout << earlierStops
}

// baseStallTimeout returns the timeout for a task that was not stopped before, or 0 if
// too little is known. Without an estimate, a timeout requires that the run itself, not
// only its queue, reports in small increments.
func (p *Progress) baseStallTimeout(estimate time.Duration, fineGrained bool) time.Duration {
	switch {
	case estimate > 0 && !p.Reported && !fineGrained:
		return max(unreportedEstimateFactor*estimate, minUnreportedTimeout)
	case estimate > 0 && p.Reported && fineGrained && p.Percent < completePercent:
		return max(estimate/stallTimeoutDivisor, minStallTimeout)
	case estimate > 0:
		return max(estimate*3/2, minStallTimeout)
	case p.IsFineGrained():
		meanInterval := (p.AdvancedAt - p.FirstReportedAt) / time.Duration(p.Advances)
		return max(advanceIntervalFactor*meanInterval, minTimeoutWithoutEstimate)
	default:
		return 0
	}
}

// IsStalled reports whether the run has made no progress for its timeout; a timeout of 0
// means never. lastSeen is when the last heartbeat of the run's worker was received. Time
// after it does not count: while heartbeats are missing, so are the progress reports.
func (p *Progress) IsStalled(lastSeen, timeout time.Duration) bool {
	return timeout > 0 && lastSeen-p.AdvancedAt >= timeout
}
