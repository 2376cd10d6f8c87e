package placement

import "slices"

// minPreemptRetryCompaction is the least length at which Engine.preemptRetries is cleared of
// lanes without tasks.
const minPreemptRetryCompaction = 256

// addPreemptRetry lists a blocked lane for another trial to preempt: runs that
// could make room for it may have come since.
func (e *Engine) addPreemptRetry(l *subQueue) {
	if l.inPreemptRetries {
		return
	}
	if len(e.preemptRetries) >= minPreemptRetryCompaction && len(e.preemptRetries) == cap(e.preemptRetries) {
		e.preemptRetries = slices.DeleteFunc(e.preemptRetries, func(l *subQueue) bool { return len(l.tasks) == 0 })
	}
	l.inPreemptRetries = true
	e.preemptRetries = append(e.preemptRetries, l)
}

// activatePreemptRetries lets the pass look at lanes that the last one had no allowance
// for, and at some of those that may preempt, in turn.
func (p *pass) activatePreemptRetries() {
	e := p.engine
	unfinished := e.overAllowance
	e.overAllowance = nil
	for _, l := range unfinished {
		if len(l.tasks) > 0 {
			l.mayPreemptNow = l.class == nil || l.class.unschedulable
			l.activate()
		}
	}
	if len(e.runs.preemptible) == 0 {
		return
	}
	count := min(maxPreemptionAttemptsPerPass, len(e.preemptRetries))
	turn := slices.Clone(e.preemptRetries[:count])
	e.preemptRetries = slices.Delete(e.preemptRetries, 0, count)
	for _, l := range turn {
		l.inPreemptRetries = false
		switch {
		case len(l.tasks) == 0:
		case !e.runs.anyPreemptible(l.parent.level.priority):
			e.addPreemptRetry(l)
		default:
			l.mayPreemptNow = true
			l.activate()
		}
	}
}
