package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/decklever/decklever/internal/indexheap"
	"github.com/decklever/decklever/internal/record"
)

// priorityLevel holds all that waits with one priority.
type priorityLevel struct {
	priority int
	queues   []*priorityQueue
}

// line holds all that waits in one queue with one priority.
type priorityQueue struct {
	level     *priorityLevel
	queue     *queue
	subQueues map[*equivalenceClass]*subQueue
	// groups counts the lanes of groups.
	gangCount int
	// active holds the lanes to look at, lowest Sequence first.
	active indexheap.Heap[*subQueue]
}

// lane holds the tasks of one class, or the members of one group, in a line.
type subQueue struct {
	parent *priorityQueue
	// equivalenceClass is nil for a group, group is empty for a class.
	class *equivalenceClass
	gang  string
	tasks indexheap.Heap[*waiting]
	// position is the index in line.ready; indexheap.None when it is not there.
	position int
	// inPreemptRetries is set while the lane is listed in Engine.preemptRetries;
	// mayPreemptNow lets it try to preempt in this pass though its class is blocked.
	inPreemptRetries, mayPreemptNow bool
	// gangState is used for groups only.
	gangState
}

// waiting is a task that waits.
type waiting struct {
	Task
	class *equivalenceClass
	// lane is nil while the task is nominated, unit otherwise.
	subQueue   *subQueue
	nomination *nomination
	// position is the index in lane.tasks.
	position int
}

// Before implements indexheap.Item: the lane with the first task first.
func (l *subQueue) Before(other *subQueue) bool {
	return compareWaiting(l.tasks[0], other.tasks[0]) < 0
}

// SetPosition implements indexheap.Item.
func (l *subQueue) SetPosition(position int) { l.position = position }

// Before implements indexheap.Item: the first task first.
func (w *waiting) Before(other *waiting) bool { return compareWaiting(w, other) < 0 }

// SetPosition implements indexheap.Item.
func (w *waiting) SetPosition(position int) { w.position = position }

// line returns the line of a task and makes it if there is none.
func (e *Engine) priorityQueue(task *Task) *priorityQueue {
	lv := e.priorityLevel(task.Priority)
	q := e.queues.get(task.Queue)
	for _, l := range lv.queues {
		if l.queue == q {
			return l
		}
	}
	made := &priorityQueue{level: lv, queue: q, subQueues: map[*equivalenceClass]*subQueue{}}
	lv.queues = append(lv.queues, made)
	return made
}

// priorityLevel returns the level of a priority and makes it if there is none.
func (e *Engine) priorityLevel(priority int) *priorityLevel {
	at, found := slices.BinarySearchFunc(e.levels, priority, compareLevel)
	if found {
		return e.levels[at]
	}
	made := &priorityLevel{priority: priority}
	e.levels = slices.Insert(e.levels, at, made)
	return made
}

// compareLevel puts high priorities first.
func compareLevel(l *priorityLevel, priority int) int { return cmp.Compare(priority, l.priority) }

// dropPriorityQueueIfEmpty removes a line without lanes, and its level with the last.
func (e *Engine) dropPriorityQueueIfEmpty(l *priorityQueue) {
	if len(l.subQueues) > 0 || l.gangCount > 0 {
		return
	}
	lv := l.level
	lv.queues = slices.DeleteFunc(lv.queues, func(other *priorityQueue) bool { return other == l })
	if len(lv.queues) > 0 {
		return
	}
	at, found := slices.BinarySearchFunc(e.levels, lv.priority, compareLevel)
	if found {
		e.levels = slices.Delete(e.levels, at, at+1)
	}
}

// lane returns the lane of a class and makes it if there is none.
func (l *priorityQueue) subQueue(c *equivalenceClass) *subQueue {
	if found, ok := l.subQueues[c]; ok {
		return found
	}
	made := &subQueue{parent: l, class: c, position: indexheap.None}
	l.subQueues[c] = made
	c.subQueues[made] = struct{}{}
	return made
}

// push adds a task to the lane.
func (l *subQueue) push(w *waiting) {
	w.subQueue = l
	heap.Push(&l.tasks, w)
	l.countMember(w.class, 1)
	l.fixOrder()
}

// dequeue removes a task from the lane and drops the lane with its last task.
func (e *Engine) dequeue(w *waiting) {
	l := w.subQueue
	heap.Remove(&l.tasks, w.position)
	l.countMember(w.class, -1)
	if len(l.tasks) > 0 {
		l.fixOrder()
		return
	}
	l.deactivate()
	if l.class == nil {
		l.parent.gangCount--
		delete(e.gangs, l.gang)
	} else {
		delete(l.parent.subQueues, l.class)
		delete(l.class.subQueues, l)
	}
	e.dropPriorityQueueIfEmpty(l.parent)
}

// fixOrder moves the lane to its place after its first task changed.
func (l *subQueue) fixOrder() {
	if l.position != indexheap.None {
		heap.Fix(&l.parent.active, l.position)
	}
}

// activate lets the next pass look at the lane. An incomplete group stays.
func (l *subQueue) activate() {
	l.stopAwaiting()
	if l.position == indexheap.None && l.complete() {
		heap.Push(&l.parent.active, l)
	}
}

// deactivate takes the lane out of what passes look at.
func (l *subQueue) deactivate() {
	l.stopAwaiting()
	if l.position != indexheap.None {
		heap.Remove(&l.parent.active, l.position)
	}
}

// compareWaiting orders by Sequence; the name makes the order total.
func compareWaiting(a, b *waiting) int {
	if bySequence := cmp.Compare(a.Sequence, b.Sequence); bySequence != 0 {
		return bySequence
	}
	return compareTask(a.ID, b.ID)
}

func compareTask(a, b record.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Occurrence, b.Occurrence))
}
