package placement

import "slices"

// preemptLaterKept is the least length at which Engine.preemptLater is cleared of
// lanes without tasks.
const preemptLaterKept = 256

// addPreemptLater lists a blocked lane for another trial to preempt: runs that
// could make room for it may have come since.
func (e *Engine) addPreemptLater(l *lane) {
	if l.listedLater {
		return
	}
	if len(e.preemptLater) >= preemptLaterKept && len(e.preemptLater) == cap(e.preemptLater) {
		e.preemptLater = slices.DeleteFunc(e.preemptLater, func(l *lane) bool { return len(l.tasks) == 0 })
	}
	l.listedLater = true
	e.preemptLater = append(e.preemptLater, l)
}

// takeUpAgain lets the pass look at lanes that the last one had no allowance
// for, and at some of those that may preempt, in turn.
func (p *pass) takeUpAgain() {
	e := p.engine
	unfinished := e.unfinished
	e.unfinished = nil
	for _, l := range unfinished {
		if len(l.tasks) > 0 {
			l.preemptNow = l.class == nil || l.class.blocked
			l.makeReady()
		}
	}
	if len(e.victims) == 0 {
		return
	}
	count := min(maxTrialsPerPass, len(e.preemptLater))
	turn := slices.Clone(e.preemptLater[:count])
	e.preemptLater = slices.Delete(e.preemptLater, 0, count)
	for _, l := range turn {
		l.listedLater = false
		switch {
		case len(l.tasks) == 0:
		case !e.hasVictims(l.line.level.priority):
			e.addPreemptLater(l)
		default:
			l.preemptNow = true
			l.makeReady()
		}
	}
}
