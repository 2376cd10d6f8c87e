package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/decklever/decklever/internal/indexheap"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/record"
)

// backlog owns the tasks that wait, in the order in which passes look at them: by
// priority, then by queue, then by class or gang. Of these a pass looks at the active
// sub-queues only; one that found no worker is unschedulable and out of the heap until
// something changed that could make it fit.
//
// A pass costs what it places and what was activated, however much waits.
type backlog struct {
	tasks map[record.TaskID]*waiting
	// levels are ordered by priority, highest first.
	levels []*priorityLevel
	// gangs are the sub-queues of gangs by Task.Gang.
	gangs map[string]*subQueue
	// noPreferences is shared by the tasks that have none.
	noPreferences Preferences

	queues *fairshare.Table
}

// priorityLevel holds all that waits with one priority.
type priorityLevel struct {
	priority int
	queues   []*priorityQueue
}

// priorityQueue holds all that waits in one queue with one priority.
type priorityQueue struct {
	level     *priorityLevel
	queue     *fairshare.Queue
	subQueues map[*equivalenceClass]*subQueue
	// gangCount counts the sub-queues of gangs.
	gangCount int
	// active holds the sub-queues to look at, lowest Sequence first.
	active indexheap.Heap[*subQueue]
}

// subQueue holds the tasks of one class, or the members of one gang, in a priority
// queue.
type subQueue struct {
	parent *priorityQueue
	// class is nil for a gang, gang is empty for a class.
	class *equivalenceClass
	gang  string
	tasks indexheap.Heap[*waiting]
	// position is the index in priorityQueue.active; indexheap.None while the
	// sub-queue is not active.
	position int
	// inPreemptRetries is set while the sub-queue is listed for another attempt to
	// preempt; mayPreemptNow lets it make one in this pass though its class is
	// unschedulable.
	inPreemptRetries, mayPreemptNow bool
	// gangState is used for gangs only.
	gangState
}

// waiting is a task that waits.
type waiting struct {
	Task
	class *equivalenceClass
	// subQueue is nil while the task is nominated, nomination otherwise.
	subQueue   *subQueue
	nomination *nomination
	// position is the index in subQueue.tasks.
	position int
}

func newBacklog(queues *fairshare.Table) *backlog {
	return &backlog{tasks: map[record.TaskID]*waiting{}, gangs: map[string]*subQueue{}, queues: queues}
}

// priorityQueue returns the queue of a task at its priority and makes it if there is
// none.
func (b *backlog) priorityQueue(task *Task) *priorityQueue {
	level := b.level(task.Priority)
	q := b.queues.Get(task.Queue)
	for _, other := range level.queues {
		if other.queue == q {
			return other
		}
	}
	made := &priorityQueue{level: level, queue: q, subQueues: map[*equivalenceClass]*subQueue{}}
	level.queues = append(level.queues, made)
	return made
}

// level returns the level of a priority and makes it if there is none.
func (b *backlog) level(priority int) *priorityLevel {
	at, found := slices.BinarySearchFunc(b.levels, priority, compareLevel)
	if found {
		return b.levels[at]
	}
	made := &priorityLevel{priority: priority}
	b.levels = slices.Insert(b.levels, at, made)
	return made
}

// dropIfEmpty removes a priority queue in which nothing waits, and its level with the
// last.
func (b *backlog) dropIfEmpty(q *priorityQueue) {
	if len(q.subQueues) > 0 || q.gangCount > 0 {
		return
	}
	level := q.level
	level.queues = slices.DeleteFunc(level.queues, func(other *priorityQueue) bool { return other == q })
	if len(level.queues) > 0 {
		return
	}
	at, found := slices.BinarySearchFunc(b.levels, level.priority, compareLevel)
	if found {
		b.levels = slices.Delete(b.levels, at, at+1)
	}
}

// ofClass returns the sub-queue of a task that is placed alone and makes it if there
// is none.
func (b *backlog) ofClass(w *waiting) *subQueue {
	return b.priorityQueue(&w.Task).subQueue(w.class)
}

// ofGang returns the sub-queue of a member's gang and makes it if there is none.
func (b *backlog) ofGang(member *Task) *subQueue {
	sub, ok := b.gangs[member.Gang]
	if !ok {
		sub = &subQueue{parent: b.priorityQueue(member), gang: member.Gang, position: indexheap.None}
		sub.parent.gangCount++
		b.gangs[member.Gang] = sub
	}
	sub.size = member.GangSize
	return sub
}

// dequeue removes a task from its sub-queue and drops the sub-queue with its last task.
func (b *backlog) dequeue(w *waiting) {
	sub := w.subQueue
	heap.Remove(&sub.tasks, w.position)
	sub.countMember(w.class, -1)
	if len(sub.tasks) > 0 {
		sub.fixOrder()
		return
	}
	sub.deactivate()
	if sub.class == nil {
		sub.parent.gangCount--
		delete(b.gangs, sub.gang)
	} else {
		delete(sub.parent.subQueues, sub.class)
		delete(sub.class.subQueues, sub)
	}
	b.dropIfEmpty(sub.parent)
}

// find returns a task that waits, nominated or not; nil if it does not.
func (b *backlog) find(task record.TaskID) *waiting { return b.tasks[task] }

// add makes a task known that is to be enqueued.
func (b *backlog) add(w *waiting) { b.tasks[w.ID] = w }

// withoutPreferences is shared by the tasks that have none; none changes it.
func (b *backlog) withoutPreferences() *Preferences { return &b.noPreferences }

// size is the number of tasks that wait.
func (b *backlog) size() int { return len(b.tasks) }

// planOrder returns the levels, highest priority first. It is a copy: levels that run
// empty during a pass are dropped.
func (b *backlog) planOrder() []*priorityLevel { return slices.Clone(b.levels) }

// forget takes a task out of all that waits.
func (b *backlog) forget(w *waiting) {
	delete(b.tasks, w.ID)
	if w.subQueue != nil {
		b.dequeue(w)
	}
}

// matching returns the waiting tasks for which concerned holds, in order of Sequence.
func (b *backlog) matching(concerned func(*Task) bool) []*waiting {
	var tasks []*waiting
	for _, w := range b.tasks {
		if concerned(&w.Task) {
			tasks = append(tasks, w)
		}
	}
	slices.SortFunc(tasks, compareWaiting)
	return tasks
}

// Before implements indexheap.Item: the sub-queue with the first task first.
func (sub *subQueue) Before(other *subQueue) bool {
	return compareWaiting(sub.tasks[0], other.tasks[0]) < 0
}

// SetPosition implements indexheap.Item.
func (sub *subQueue) SetPosition(position int) { sub.position = position }

// Before implements indexheap.Item: the first task first.
func (w *waiting) Before(other *waiting) bool { return compareWaiting(w, other) < 0 }

// SetPosition implements indexheap.Item.
func (w *waiting) SetPosition(position int) { w.position = position }

// compareLevel puts high priorities first.
func compareLevel(l *priorityLevel, priority int) int { return cmp.Compare(priority, l.priority) }

// subQueue returns the sub-queue of a class and makes it if there is none.
func (q *priorityQueue) subQueue(c *equivalenceClass) *subQueue {
	if found, ok := q.subQueues[c]; ok {
		return found
	}
	added := &subQueue{parent: q, class: c, position: indexheap.None}
	q.subQueues[c] = added
	c.subQueues[added] = struct{}{}
	return added
}

// push adds a task to the sub-queue.
func (sub *subQueue) push(w *waiting) {
	w.subQueue = sub
	heap.Push(&sub.tasks, w)
	sub.countMember(w.class, 1)
	sub.fixOrder()
}

// fixOrder moves the sub-queue to its position in the heap after its first task changed.
func (sub *subQueue) fixOrder() {
	if sub.position != indexheap.None {
		heap.Fix(&sub.parent.active, sub.position)
	}
}

// Activate implements fairshare.Waiter: the next pass looks at the sub-queue. An incomplete gang stays out.
func (sub *subQueue) Activate() {
	sub.stopAwaiting()
	if sub.position == indexheap.None && sub.complete() {
		heap.Push(&sub.parent.active, sub)
	}
}

// deactivate takes the sub-queue out of what passes look at: it is unschedulable, or
// must not be looked at again in this pass. Whoever calls it sees to it that something
// activates the sub-queue again.
func (sub *subQueue) deactivate() {
	sub.stopAwaiting()
	if sub.position != indexheap.None {
		heap.Remove(&sub.parent.active, sub.position)
	}
}

// compareWaiting orders by Sequence; the name makes the order total.
func compareWaiting(a, b *waiting) int {
	if bySequence := cmp.Compare(a.Sequence, b.Sequence); bySequence != 0 {
		return bySequence
	}
	return compareTask(a.ID, b.ID)
}

// compareFirstTask orders sub-queues by their first tasks.
func compareFirstTask(a, b *subQueue) int { return compareWaiting(a.tasks[0], b.tasks[0]) }

// compareTask orders task ids.
func compareTask(a, b record.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Occurrence, b.Occurrence))
}
