package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/decklever/decklever/internal/indexheap"
	"github.com/decklever/decklever/internal/record"
)

// queue is a queue's rule and its open runs.
type queue struct {
	rule    QueueRule
	running int
	// team is nil if the queue is of no team.
	team *team
	// booked is set while a window of the queue is kept.
	booked bool
	// yieldsTo are the queues that go first while this one has more than its share.
	yieldsTo map[*queue]bool
	// groups are those parked until a run of the queue ends or its rule changes.
	groups map[*lane]struct{}
}

// level holds all that waits with one priority.
type level struct {
	priority int
	lines    []*line
}

// line holds all that waits in one queue with one priority.
type line struct {
	level *level
	queue *queue
	lanes map[*class]*lane
	// groups counts the lanes of groups.
	groups int
	// ready holds the lanes to look at, lowest Sequence first.
	ready indexheap.Heap[*lane]
}

// lane holds the tasks of one class, or the members of one group, in a line.
type lane struct {
	line *line
	// class is nil for a group, group is empty for a class.
	class *class
	group string
	tasks indexheap.Heap[*waiting]
	// position is the index in line.ready; indexheap.None when it is not there.
	position int
	// listedLater is set while the lane is listed in Engine.preemptLater;
	// preemptNow lets it try to preempt in this pass though its class is blocked.
	listedLater, preemptNow bool
	// groupState is used for groups only.
	groupState
}

// waiting is a task that waits.
type waiting struct {
	Task
	class *class
	// lane is nil while the task is nominated, unit otherwise.
	lane *lane
	unit *unit
	// position is the index in lane.tasks.
	position int
}

// Before implements indexheap.Item: the lane with the first task first.
func (l *lane) Before(other *lane) bool { return compareWaiting(l.tasks[0], other.tasks[0]) < 0 }

// SetPosition implements indexheap.Item.
func (l *lane) SetPosition(position int) { l.position = position }

// Before implements indexheap.Item: the first task first.
func (w *waiting) Before(other *waiting) bool { return compareWaiting(w, other) < 0 }

// SetPosition implements indexheap.Item.
func (w *waiting) SetPosition(position int) { w.position = position }

func newQueue(name string) *queue {
	return &queue{rule: QueueRule{Name: name, Weight: 1}, groups: map[*lane]struct{}{}}
}

// queue returns the queue of that name; one without a rule has weight 1 and
// no bound.
func (e *Engine) queue(name string) *queue {
	if found, ok := e.queues[name]; ok {
		return found
	}
	made := newQueue(name)
	e.queues[name] = made
	return made
}

// wake makes groups that the limit held back ready to be looked at again.
func (q *queue) wake() {
	for l := range q.groups {
		l.makeReady()
	}
}

// compareShare orders queues by running/weight.
func compareShare(a, b *queue) int {
	return cmp.Compare(a.running*b.rule.Weight, b.running*a.rule.Weight)
}

// line returns the line of a task and makes it if there is none.
func (e *Engine) line(task *Task) *line {
	lv := e.level(task.Priority)
	q := e.queue(task.Queue)
	for _, l := range lv.lines {
		if l.queue == q {
			return l
		}
	}
	made := &line{level: lv, queue: q, lanes: map[*class]*lane{}}
	lv.lines = append(lv.lines, made)
	return made
}

// level returns the level of a priority and makes it if there is none.
func (e *Engine) level(priority int) *level {
	at, found := slices.BinarySearchFunc(e.levels, priority, compareLevel)
	if found {
		return e.levels[at]
	}
	made := &level{priority: priority}
	e.levels = slices.Insert(e.levels, at, made)
	return made
}

// compareLevel puts high priorities first.
func compareLevel(l *level, priority int) int { return cmp.Compare(priority, l.priority) }

// dropLineIfEmpty removes a line without lanes, and its level with the last.
func (e *Engine) dropLineIfEmpty(l *line) {
	if len(l.lanes) > 0 || l.groups > 0 {
		return
	}
	lv := l.level
	lv.lines = slices.DeleteFunc(lv.lines, func(other *line) bool { return other == l })
	if len(lv.lines) > 0 {
		return
	}
	at, found := slices.BinarySearchFunc(e.levels, lv.priority, compareLevel)
	if found {
		e.levels = slices.Delete(e.levels, at, at+1)
	}
}

// lane returns the lane of a class and makes it if there is none.
func (l *line) lane(c *class) *lane {
	if found, ok := l.lanes[c]; ok {
		return found
	}
	made := &lane{line: l, class: c, position: indexheap.None}
	l.lanes[c] = made
	c.lanes[made] = struct{}{}
	return made
}

// push adds a task to the lane.
func (l *lane) push(w *waiting) {
	w.lane = l
	heap.Push(&l.tasks, w)
	l.countMember(w.class, 1)
	l.reorder()
}

// takeFromLane removes a task from the lane and drops the lane with its last task.
func (e *Engine) takeFromLane(w *waiting) {
	l := w.lane
	heap.Remove(&l.tasks, w.position)
	l.countMember(w.class, -1)
	if len(l.tasks) > 0 {
		l.reorder()
		return
	}
	l.makeUnready()
	if l.class == nil {
		l.line.groups--
		delete(e.groups, l.group)
	} else {
		delete(l.line.lanes, l.class)
		delete(l.class.lanes, l)
	}
	e.dropLineIfEmpty(l.line)
}

// reorder moves the lane to its place after its first task changed.
func (l *lane) reorder() {
	if l.position != indexheap.None {
		heap.Fix(&l.line.ready, l.position)
	}
}

// makeReady lets the next pass look at the lane. An incomplete group stays.
func (l *lane) makeReady() {
	l.unpark()
	if l.position == indexheap.None && l.complete() {
		heap.Push(&l.line.ready, l)
	}
}

// makeUnready takes the lane out of what passes look at.
func (l *lane) makeUnready() {
	l.unpark()
	if l.position != indexheap.None {
		heap.Remove(&l.line.ready, l.position)
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
