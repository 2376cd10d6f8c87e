package workerhealth

import "time"

const (
	// minStallTimeout is the least stall timeout of a run with an estimate that reports
	// its progress, or is known to.
	minStallTimeout = 2 * time.Second
	// fineGrainedAdvances is the number of advances of the percent from which on a run,
	// or the runs of its queue, are known to report in small steps.
	fineGrainedAdvances = 3
	// estimatePerStallTimeout divides the estimate of a run that reports in small steps
	// into its timeout: a worker 25 times slower still advances within it.
	estimatePerStallTimeout = 4
	// unreportedEstimateFactor multiplies the estimate of a run without any report into
	// its timeout, which is minUnreportedTimeout at least.
	unreportedEstimateFactor = 8
	minUnreportedTimeout     = 10 * time.Second
	// advanceIntervalFactor multiplies the mean time between the advances of a run
	// without an estimate into its timeout, which is minTimeoutWithoutEstimate at least.
	advanceIntervalFactor     = 20
	minTimeoutWithoutEstimate = 30 * time.Second
	// completePercent is the percent of a run that only has to end, which may take long.
	completePercent = 100
	// maxStallStops is the number of times that one task is stopped for a stall. The
	// timeout doubles each time, so that slow but sound work ends.
	maxStallStops = 4
	// minMeasuredPercent is the least progress from which a duration is extrapolated.
	minMeasuredPercent = 5
)

// Progress is the progress of one run as its worker reported it. It belongs to the
// leader that follows the run.
type Progress struct {
	// StartedAt is when the run was first reported as running.
	StartedAt time.Duration
	// AdvancedAt is when the percent last grew; StartedAt before the first report.
	AdvancedAt time.Duration
	// Percent is the highest percent reported, FirstPercent the first. The first is over
	// 0 for a run that resumes from a checkpoint.
	Percent, FirstPercent int
	// FirstReportedAt is when FirstPercent was reported.
	FirstReportedAt time.Duration
	// Advances is the number of times that the percent grew.
	Advances int
	// Reported is true once any percent was reported.
	Reported bool
}

// NewProgress returns the progress of a run that is reported as running for the first
// time.
func NewProgress(now time.Duration) Progress { return Progress{StartedAt: now, AdvancedAt: now} }

// Observe records a reported percent, and reports whether the run advanced. It ignores
// a percent that is not higher than before. The first report is no advance.
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

// IsFineGrained reports whether the run is known to report in small steps.
func (p *Progress) IsFineGrained() bool { return p.Advances >= fineGrainedAdvances }

// DurationRatio is the time that the run will take, extrapolated from its progress
// since the first report, over its estimate. It is 0 if that cannot be told.
func (p *Progress) DurationRatio(estimate time.Duration) float64 {
	measured := p.Percent - p.FirstPercent
	if estimate <= 0 || measured < minMeasuredPercent || p.AdvancedAt <= p.FirstReportedAt {
		return 0
	}
	total := float64(p.AdvancedAt-p.FirstReportedAt) * completePercent / float64(measured)
	return total / float64(estimate)
}

// StallTimeout is how long the run may go without progress before it counts as
// stalled; 0 if that cannot be told, and the run is never stalled. fineGrained says
// that runs of this kind report in small steps; earlierStops is how often the task
// was stopped for a stall before.
func (p *Progress) StallTimeout(estimate time.Duration, fineGrained bool, earlierStops int) time.Duration {
	if earlierStops >= maxStallStops {
		return 0
	}
	timeout := p.baseStallTimeout(estimate, fineGrained || p.IsFineGrained())
	return timeout << earlierStops
}

// baseStallTimeout is the timeout of a task that was not stopped before.
func (p *Progress) baseStallTimeout(estimate time.Duration, fineGrained bool) time.Duration {
	switch {
	case estimate > 0 && !p.Reported && !fineGrained:
		return max(unreportedEstimateFactor*estimate, minUnreportedTimeout)
	case estimate > 0 && p.Reported && fineGrained && p.Percent < completePercent:
		return max(estimate/estimatePerStallTimeout, minStallTimeout)
	case estimate > 0:
		return max(estimate*3/2, minStallTimeout)
	case p.IsFineGrained():
		meanInterval := (p.AdvancedAt - p.FirstReportedAt) / time.Duration(p.Advances)
		return max(advanceIntervalFactor*meanInterval, minTimeoutWithoutEstimate)
	default:
		return 0
	}
}

// IsStalled reports whether the run has made no progress for its timeout. lastSeen is
// when its worker's last heartbeat came: time without heartbeats does not count, as
// reports are then missing and not progress.
func (p *Progress) IsStalled(lastSeen, timeout time.Duration) bool {
	return timeout > 0 && lastSeen-p.AdvancedAt >= timeout
}
