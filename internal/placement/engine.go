package placement

import (
	"maps"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// Config configures an Engine.
type Config struct {
	// Seed is for choices among equals. Names break every tie today, so it
	// has no effect yet.
	Seed int64
}

// Engine implements Planner. It is not safe for concurrent use.
type Engine struct {
	workers workerIndex
	classes map[classKey]*class
	steps   map[stepKey]*step
	queues  map[string]*queue
	// levels are ordered by priority, highest first.
	levels []*level
	// groups are the lanes of groups by Task.Group.
	groups  map[string]*lane
	waiting map[record.TaskID]*waiting
	runs    map[record.TaskID]*run
	// passes counts calls of Plan.
	passes uint64
}

var _ Planner = (*Engine)(nil)

// run is an open run: it holds room on its worker.
type run struct {
	task   record.TaskID
	need   api.Resources
	worker *worker
	queue  *queue
	step   *step
}

// New returns an Engine that knows no worker, queue or task.
func New(_ Config) *Engine {
	return &Engine{
		workers: newWorkerIndex(),
		classes: map[classKey]*class{},
		steps:   map[stepKey]*step{},
		queues:  map[string]*queue{},
		groups:  map[string]*lane{},
		waiting: map[record.TaskID]*waiting{},
		runs:    map[record.TaskID]*run{},
	}
}

// SetQueues implements Planner. A queue that is not named has weight 1 and no
// bound.
func (e *Engine) SetQueues(rules []QueueRule) {
	for name, q := range e.queues {
		q.rule = QueueRule{Name: name, Weight: 1}
	}
	for _, rule := range rules {
		rule.Weight = max(rule.Weight, 1)
		e.queue(rule.Name).rule = rule
	}
	for _, q := range e.queues {
		q.wake()
	}
}

// SetWorker implements Planner.
func (e *Engine) SetWorker(to Worker) {
	w := e.workers.get(to.ID)
	if w.known && sameWorker(&w.Worker, &to) {
		return
	}
	runs := w.runsByStep()
	for s, count := range runs {
		s.count(w, -count)
	}
	e.workers.set(w, to)
	for s, count := range runs {
		s.count(w, count)
		wakeStep(s)
	}
}

func sameWorker(a, b *Worker) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Zone == b.Zone &&
		a.Capacity == b.Capacity && a.Usable == b.Usable &&
		slices.Equal(a.Services, b.Services) && maps.Equal(a.Labels, b.Labels)
}

func (w *worker) runsByStep() map[*step]int {
	counts := map[*step]int{}
	for r := range w.runs {
		counts[r.step]++
	}
	return counts
}

// RemoveWorker implements Planner.
func (e *Engine) RemoveWorker(id string) {
	w, ok := e.workers.byID[id]
	if !ok {
		return
	}
	for r := range w.runs {
		e.end(r)
	}
	e.workers.remove(w)
}

// Hold implements Planner. A task held elsewhere moves; one that waits no
// longer does. A worker that is not known yet is accounted for by SetWorker.
func (e *Engine) Hold(task Task, workerID string) {
	if held, ok := e.runs[task.ID]; ok {
		if held.worker.ID == workerID {
			return
		}
		e.Release(task.ID)
	}
	e.Remove(task.ID)
	e.open(&task, e.workers.get(workerID))
}

// Release implements Planner.
func (e *Engine) Release(task record.TaskID) {
	r, ok := e.runs[task]
	if !ok {
		return
	}
	e.end(r)
	if !r.worker.known && len(r.worker.runs) == 0 {
		e.workers.remove(r.worker)
	}
}

// end closes a run and lets what may now have room be looked at again.
func (e *Engine) end(r *run) {
	e.close(r)
	e.workers.markChanged(r.worker)
	r.queue.wake()
	wakeStep(r.step)
}

// open takes room for a run.
func (e *Engine) open(task *Task, on *worker) *run {
	r := &run{
		task:   task.ID,
		need:   task.Spec.Resources,
		worker: on,
		queue:  e.queue(task.Queue),
		step:   e.step(stepKeyOf(task.ID)),
	}
	e.runs[r.task] = r
	on.runs[r] = struct{}{}
	e.workers.take(on, r.need)
	r.queue.running++
	r.step.count(on, 1)
	return r
}

// close gives back the room of a run; it is the exact reverse of open.
func (e *Engine) close(r *run) {
	delete(e.runs, r.task)
	delete(r.worker.runs, r)
	e.workers.take(r.worker, api.Resources{}.Sub(r.need))
	r.queue.running--
	r.step.count(r.worker, -1)
	e.forgetIfUnused(r.step)
}

// Add implements Planner. A task whose run is still held does not wait:
// Release it first. A task that waits already is replaced if it differs.
func (e *Engine) Add(task Task) {
	if _, held := e.runs[task.ID]; held {
		return
	}
	if present, ok := e.waiting[task.ID]; ok {
		if present.Task == task {
			return
		}
		e.Remove(task.ID)
	}
	w := &waiting{Task: task, class: e.joinClass(&task)}
	e.waiting[task.ID] = w
	if task.Group != "" && task.GroupSize > 1 {
		e.addToGroup(w)
		return
	}
	l := e.line(&task).lane(w.class)
	l.push(w)
	if !w.class.blocked {
		l.makeReady()
	}
}

func (e *Engine) addToGroup(w *waiting) {
	l := e.joinGroup(&w.Task)
	// Out of the heap first: a group without tasks has no place in it.
	l.makeUnready()
	l.push(w)
	l.reconsider()
}

// Remove implements Planner.
func (e *Engine) Remove(task record.TaskID) {
	w, ok := e.waiting[task]
	if !ok {
		return
	}
	e.forget(w)
	if l := w.lane; l.class == nil && len(l.tasks) > 0 {
		l.reconsider()
	}
}

// forget takes a task out of all that waits.
func (e *Engine) forget(w *waiting) {
	delete(e.waiting, w.ID)
	e.takeFromLane(w)
	e.leaveClass(w.class)
}

// Waiting implements Planner.
func (e *Engine) Waiting() int { return len(e.waiting) }
