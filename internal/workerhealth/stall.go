package workerhealth

import "time"

const (
	// leastQuiet is the least time without progress after which a run counts as
	// standing still.
	leastQuiet = 2 * time.Second
	// movesSeen is the number of moves of the percent from which on a run, or a
	// queue's runs, are known to report in small steps.
	movesSeen = 3
	// quietOfEstimate is the part of its estimate for which a run that reports in
	// small steps may stand: a worker 25 times slower still moves within it.
	quietOfEstimate = 4
	// muteTimes is by how much a run without any report may exceed its estimate,
	// and leastMute the least time for it.
	muteTimes = 8
	leastMute = 10 * time.Second
	// quietMoves and leastQuietUnknown are for runs without an estimate: so many
	// times the mean time between moves.
	quietMoves        = 20
	leastQuietUnknown = 30 * time.Second
	// allDone is the percent of a run that has only its end left, which may take
	// its time.
	allDone = 100
	// maxStops is how often one task is stopped for standing still. The bound
	// doubles each time, so that slow honest work ends.
	maxStops = 4
)

// Progress is what was seen of one run.
type Progress struct {
	// StartedAt is when the run was first seen running.
	StartedAt time.Duration
	// MovedAt is when the percent last grew; StartedAt before that.
	MovedAt time.Duration
	// Percent and First are the newest and the first that were reported.
	Percent, First int
	// FirstAt is when First was reported.
	FirstAt time.Duration
	// Moves counts how often the percent grew.
	Moves int
	// Reported is true once any percent was reported.
	Reported bool
}

// Began returns the progress of a run that is seen running for the first time.
func Began(now time.Duration) Progress { return Progress{StartedAt: now, MovedAt: now} }

// Report takes in a percent, and reports whether it moved. One that is lower than
// before says nothing.
func (p *Progress) Report(percent int, now time.Duration) bool {
	if !p.Reported {
		p.Reported = true
		p.First, p.FirstAt = percent, now
		p.Percent, p.MovedAt = percent, now
		return false
	}
	if percent <= p.Percent {
		return false
	}
	p.Percent, p.MovedAt = percent, now
	p.Moves++
	return true
}

// ReportsFinely reports whether the run is known to report in small steps.
func (p *Progress) ReportsFinely() bool { return p.Moves >= movesSeen }

// Ratio is the time that the run will take by its progress so far, over its
// estimate; 0 if it cannot be told.
func (p *Progress) Ratio(estimate time.Duration) float64 {
	const leastPart = 5 // percent
	done := p.Percent - p.First
	if estimate <= 0 || done < leastPart || p.MovedAt <= p.FirstAt {
		return 0
	}
	whole := float64(p.MovedAt-p.FirstAt) * 100 / float64(done)
	return whole / float64(estimate)
}

// QuietBound is how long a run may go without progress before it counts as
// standing still; 0 if that cannot be told and it is left alone. finely tells
// that runs of this kind report in small steps, stops how often the task was
// stopped for standing still before.
func (p *Progress) QuietBound(estimate time.Duration, finely bool, stops int) time.Duration {
	if stops >= maxStops {
		return 0
	}
	bound := p.quiet(estimate, finely || p.ReportsFinely())
	return bound << stops
}

func (p *Progress) quiet(estimate time.Duration, finely bool) time.Duration {
	switch {
	case estimate > 0 && !p.Reported && !finely:
		return max(muteTimes*estimate, leastMute)
	case estimate > 0 && p.Reported && finely && p.Percent < allDone:
		return max(estimate/quietOfEstimate, leastQuiet)
	case estimate > 0:
		return max(estimate*3/2, leastQuiet)
	case p.ReportsFinely():
		mean := (p.MovedAt - p.FirstAt) / time.Duration(p.Moves)
		return max(quietMoves*mean, leastQuietUnknown)
	default:
		return 0
	}
}

// StandsStill reports whether the run has made no progress for longer than its
// bound. heardAt is when its worker was last heard: silence is no standstill.
func (p *Progress) StandsStill(heardAt, bound time.Duration) bool {
	return bound > 0 && heardAt-p.MovedAt >= bound
}
