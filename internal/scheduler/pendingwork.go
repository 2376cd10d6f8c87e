package scheduler

import "github.com/decklever/decklever/internal/record"

// countWaiting counts a waiting task that is due and can still end within three
// times its objective: others go after whatever comes new.
func (l *leader) countWaiting(entry *waitingTask) {
	l.setCounted(entry, entry.due && !entry.urgency.lost)
}

// uncountWaiting counts a task no longer that waits no longer.
func (l *leader) uncountWaiting(entry *waitingTask) { l.setCounted(entry, false) }

func (l *leader) setCounted(entry *waitingTask, counted bool) {
	if counted == entry.counted {
		return
	}
	entry.counted = counted
	change := 1
	if !counted {
		change = -1
	}
	l.admission.slo.countWaiting(entry.task.Queue, change)
}

// taskPlaced takes a waiting task out that was given a place, and into its
// queue's rate.
func (l *leader) taskPlaced(id record.TaskID) {
	entry, waits := l.waiting[id]
	if !waits {
		return
	}
	if entry.counted {
		l.admission.slo.countStarted(entry.task.Queue)
	}
	l.uncountWaiting(entry)
	delete(l.waiting, id)
}
