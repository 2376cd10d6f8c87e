package placement

import "slices"

// hopefulKept is the least length at which the list of hopeful lanes is cleared
// of those without tasks.
const hopefulKept = 256

// hope lists a blocked lane for another trial to preempt: runs that could make
// room for it may have come since.
func (e *Engine) hope(l *lane) {
	if l.hoping {
		return
	}
	if len(e.hopeful) >= hopefulKept && len(e.hopeful) == cap(e.hopeful) {
		e.hopeful = slices.DeleteFunc(e.hopeful, func(l *lane) bool { return len(l.tasks) == 0 })
	}
	l.hoping = true
	e.hopeful = append(e.hopeful, l)
}

// takeUpAgain lets the pass look at lanes that the last one had no allowance
// for, and at some of those that may preempt, in turn.
func (p *pass) takeUpAgain() {
	e := p.engine
	unfinished := e.unfinished
	e.unfinished = nil
	for _, l := range unfinished {
		if len(l.tasks) > 0 {
			l.chance = l.class == nil || l.class.blocked
			l.makeReady()
		}
	}
	if len(e.victims) == 0 {
		return
	}
	count := min(maxTrialsPerPass, len(e.hopeful))
	turn := slices.Clone(e.hopeful[:count])
	e.hopeful = slices.Delete(e.hopeful, 0, count)
	for _, l := range turn {
		l.hoping = false
		switch {
		case len(l.tasks) == 0:
		case !e.hasVictims(l.line.level.priority):
			e.hope(l)
		default:
			l.chance = true
			l.makeReady()
		}
	}
}
