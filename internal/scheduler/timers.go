package scheduler

import (
	"container/heap"

	"github.com/decklever/decklever/internal/record"
)

// timedTask is a waiting task and the cluster time at which its timer expires.
type timedTask struct {
	due  record.Millis
	task record.TaskID
}

// taskTimers is a heap of timers of waiting tasks, earliest expiry first. A task may have
// several.
type taskTimers []timedTask

func (t taskTimers) Len() int           { return len(t) }
func (t taskTimers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t taskTimers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *taskTimers) Push(item any) { *t = append(*t, item.(timedTask)) }

// Pop implements heap.Interface.
func (t *taskTimers) Pop() any {
	last := len(*t) - 1
	item := (*t)[last]
	*t = (*t)[:last]
	return item
}

func (t *taskTimers) add(due record.Millis, task record.TaskID) {
	heap.Push(t, timedTask{due: due, task: task})
}

// takeDue removes the timers that have expired by now and returns their tasks.
func (t *taskTimers) takeDue(now record.Millis) []record.TaskID {
	var due []record.TaskID
	for t.Len() > 0 && (*t)[0].due <= now {
		due = append(due, heap.Pop(t).(timedTask).task)
	}
	return due
}
