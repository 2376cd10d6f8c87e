package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/decklever/decklever/internal/indexheap"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/record"
)

// backlog owns the waiting tasks, in the order in which passes visit them: by priority,
// then by queue, then by class or gang. A pass visits only active sub-queues. A sub-queue
// for which no worker was found is unschedulable: it leaves the heap until something
// changed that could make it fit.
//
// So the cost of a pass depends on what it places and what was activated, not on the
// number of waiting tasks.
type backlog struct {
	tasks map[record.TaskID]*waitingTask
	// levels are ordered by priority, highest first.
	levels []*priorityLevel
	// gangs holds the sub-queues of gangs by Task.Gang.
	gangs map[string]*subQueue
	// sharedEmptyPreferences is used by all tasks without preferences.
	sharedEmptyPreferences Preferences

	queues *fairshare.Table
}

// priorityLevel holds the waiting tasks of one priority.
type priorityLevel struct {
	priority int
	queues   []*priorityQueue
}

// priorityQueue holds the waiting tasks of one queue and one priority.
type priorityQueue struct {
	level     *priorityLevel
	queue     *fairshare.Queue
	subQueues map[*equivalenceClass]*subQueue
	// gangCount is the number of sub-queues of gangs.
	gangCount int
	// active holds the sub-queues to visit, lowest Sequence first.
	active indexheap.Heap[*subQueue]
}

// subQueue holds the tasks of one class, or the members of one gang, in a heap ordered by
// Sequence.
type subQueue struct {
	parent *priorityQueue
	// class is nil for a gang; gang is empty for a class.
	class *equivalenceClass
	gang  string
	tasks indexheap.Heap[*waitingTask]
	// position is the index in priorityQueue.active; indexheap.None while the sub-queue
	// is not active.
	position int
	// inPreemptRetries is set while the sub-queue is listed for another attempt to
	// preempt. mayPreemptNow allows one such attempt in this pass although the class is
	// unschedulable.
	inPreemptRetries, mayPreemptNow bool
	// gangState is used only for gangs.
	gangState
}

// waitingTask is a waiting task and its position in the backlog.
type waitingTask struct {
	Task
	class *equivalenceClass
	// subQueue is nil while the task is nominated; nomination is nil while it is not.
	subQueue   *subQueue
	nomination *nomination
	// position is the index in subQueue.tasks.
	position int
}

func newBacklog(queues *fairshare.Table) *backlog {
	return &backlog{tasks: map[record.TaskID]*waitingTask{}, gangs: map[string]*subQueue{}, queues: queues}
}

// priorityQueue returns the priority queue of a task, and creates it if there is none.
func (b *backlog) priorityQueue(task *Task) *priorityQueue {
	level := b.level(task.Priority)
	q := b.queues.GetOrCreate(task.Queue)
	for _, other := range level.queues {
		if other.queue == q {
			return other
		}
	}
	created := &priorityQueue{level: level, queue: q, subQueues: map[*equivalenceClass]*subQueue{}}
	level.queues = append(level.queues, created)
	return created
}

// level returns the level of a priority, and creates it if there is none.
func (b *backlog) level(priority int) *priorityLevel {
	at, found := slices.BinarySearchFunc(b.levels, priority, compareLevel)
	if found {
		return b.levels[at]
	}
	created := &priorityLevel{priority: priority}
	b.levels = slices.Insert(b.levels, at, created)
	return created
}

// dropIfEmpty removes a priority queue without waiting tasks, and its level if that was
// its last queue.
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

// classSubQueue returns the sub-queue of a task that is not in a gang, and creates it if
// there is none.
func (b *backlog) classSubQueue(w *waitingTask) *subQueue {
	return b.priorityQueue(&w.Task).subQueue(w.class)
}

// gangSubQueue returns the sub-queue of the gang of a member, and creates it if there is
// none.
func (b *backlog) gangSubQueue(member *Task) *subQueue {
	sub, ok := b.gangs[member.Gang]
	if !ok {
		sub = &subQueue{parent: b.priorityQueue(member), gang: member.Gang, position: indexheap.None}
		sub.parent.gangCount++
		b.gangs[member.Gang] = sub
	}
	sub.size = member.GangSize
	return sub
}

// dequeue removes a task from its sub-queue, and drops the sub-queue if that was its last
// task.
func (b *backlog) dequeue(w *waitingTask) {
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

// find returns a waiting task, nominated or not; nil if the task does not wait.
func (b *backlog) find(task record.TaskID) *waitingTask { return b.tasks[task] }

// add records a waiting task; the caller then enqueues it.
func (b *backlog) add(w *waitingTask) { b.tasks[w.ID] = w }

// emptyPreferences returns the value shared by all tasks without preferences. It must not
// be changed.
func (b *backlog) emptyPreferences() *Preferences { return &b.sharedEmptyPreferences }

// size returns the number of waiting tasks, including nominated ones.
func (b *backlog) size() int { return len(b.tasks) }

// planOrder returns the levels, highest priority first. It returns a copy, because a
// level that becomes empty during a pass is dropped.
func (b *backlog) planOrder() []*priorityLevel { return slices.Clone(b.levels) }

// forget removes a task from the backlog and, unless it is nominated, from its sub-queue.
func (b *backlog) forget(w *waitingTask) {
	delete(b.tasks, w.ID)
	if w.subQueue != nil {
		b.dequeue(w)
	}
}

// matching returns the waiting tasks for which match returns true, ordered by Sequence.
func (b *backlog) matching(match func(*Task) bool) []*waitingTask {
	var tasks []*waitingTask
	for _, w := range b.tasks {
		if match(&w.Task) {
			tasks = append(tasks, w)
		}
	}
	slices.SortFunc(tasks, compareWaiting)
	return tasks
}

// Before implements indexheap.Item: it compares the first tasks of the sub-queues.
func (sub *subQueue) Before(other *subQueue) bool {
	return compareWaiting(sub.tasks[0], other.tasks[0]) < 0
}

// SetPosition implements indexheap.Item.
func (sub *subQueue) SetPosition(position int) { sub.position = position }

// Before implements indexheap.Item: the task with the lower Sequence comes first.
func (w *waitingTask) Before(other *waitingTask) bool { return compareWaiting(w, other) < 0 }

// SetPosition implements indexheap.Item.
func (w *waitingTask) SetPosition(position int) { w.position = position }

// compareLevel compares a level with a priority, highest priority first.
func compareLevel(l *priorityLevel, priority int) int { return cmp.Compare(priority, l.priority) }

// subQueue returns the sub-queue of a class, and creates it if there is none.
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
func (sub *subQueue) push(w *waitingTask) {
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

// Activate implements fairshare.Waiter: the next pass visits the sub-queue. An incomplete
// gang stays inactive.
func (sub *subQueue) Activate() {
	sub.stopAwaiting()
	if sub.position == indexheap.None && sub.isComplete() {
		heap.Push(&sub.parent.active, sub)
	}
}

// deactivate excludes the sub-queue from passes: it is unschedulable, or must not be
// visited again in this pass. The caller must ensure that something activates the
// sub-queue again.
func (sub *subQueue) deactivate() {
	sub.stopAwaiting()
	if sub.position != indexheap.None {
		heap.Remove(&sub.parent.active, sub.position)
	}
}

// compareWaiting orders by Sequence, and by task ID to make the order total.
func compareWaiting(a, b *waitingTask) int {
	if bySequence := cmp.Compare(a.Sequence, b.Sequence); bySequence != 0 {
		return bySequence
	}
	return compareTask(a.ID, b.ID)
}

// compareFirstTask orders sub-queues by their first tasks.
func compareFirstTask(a, b *subQueue) int { return compareWaiting(a.tasks[0], b.tasks[0]) }

// compareTask orders task IDs.
func compareTask(a, b record.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Occurrence, b.Occurrence))
}
