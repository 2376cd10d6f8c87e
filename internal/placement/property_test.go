package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// model is a simple reference implementation that the engine is compared with.
type model struct {
	engine       *Engine
	secondEngine *Engine // gets the same calls as engine, and must return the same decisions
	workers      map[string]Worker
	queues       map[string]QueueRule
	waiting      map[record.TaskID]Task
	open         map[record.TaskID]openRun
	tasks        map[record.TaskID]Task
	lastNumber   int
	reservationModel
}

// openRun is an open run in the model.
type openRun struct {
	task    Task
	worker  string
	started record.Millis
}

// onBothEngines makes the same call on engine and twin.
func (m *model) onBothEngines(call func(*Engine)) {
	call(m.engine)
	call(m.secondEngine)
}

func (m *model) used(worker string) api.Resources {
	var sum api.Resources
	for _, p := range m.open {
		if p.worker == worker {
			sum = sum.Add(p.task.Spec.Resources)
		}
	}
	return sum
}

func (m *model) running(queue string) int {
	count := 0
	for _, p := range m.open {
		if p.task.Queue == queue {
			count++
		}
	}
	return count
}

// runsInDomain counts other open runs of the task's step in the worker's domain.
func (m *model) runsInDomain(task Task, domain string) int {
	count := 0
	for id, p := range m.open {
		w, known := m.workers[p.worker]
		if !known || id == task.ID || id.StepID() != task.ID.StepID() {
			continue
		}
		if other, ok := w.Domain(task.Spec.Spread.By); ok && other == domain {
			count++
		}
	}
	return count
}

// accepts reports whether the worker may hold the task by every rule but the limits of
// queues and teams, computed from the complete state of the model.
func (m *model) accepts(task Task, w Worker) bool {
	if !w.Usable || !w.Offers(task.Spec.Service) || !w.HasLabels(task.Spec.Labels) {
		return false
	}
	if !task.Spec.Resources.Fits(w.Capacity.Sub(m.used(w.ID))) {
		return false
	}
	if !m.admits(task, w) {
		return false
	}
	if !m.inReservedSlot(task.ID) && !m.fitsBesideReservedSlots(task, w) {
		return false
	}
	if task.Spec.Spread == nil {
		return true
	}
	domain, ok := w.Domain(task.Spec.Spread.By)
	return ok && m.runsInDomain(task, domain) < max(task.Spec.Spread.MaxPerDomain, 1)
}

// mayRun reports whether the limits of the queue and its team allow one more run.
func (m *model) mayRun(queue string) bool {
	limit := m.queues[queue].MaxRunning
	return (limit == 0 || m.running(queue) < limit) && m.teamMayRun(m.queues[queue].Team)
}

func drawWorker(t *rapid.T) Worker {
	number := rapid.IntRange(0, 5).Draw(t, "worker")
	return Worker{
		ID: fmt.Sprint("id", number), Name: fmt.Sprint("w", number),
		Zone:      rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"),
		Capacity:  api.Resources{CPUMillis: rapid.Int64Range(0, 12).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 12).Draw(t, "memory")},
		Services:  rapid.SampledFrom([][]string{{"s"}, {"s", "x"}, {"x"}}).Draw(t, "services"),
		Labels:    rapid.SampledFrom([]map[string]string{nil, {"k": "1"}, {"k": "2"}}).Draw(t, "labels"),
		Usable:    rapid.IntRange(0, 3).Draw(t, "usable") > 0,
		Suspect:   rapid.IntRange(0, 5).Draw(t, "suspect") == 0,
		Probation: rapid.IntRange(0, 3).Draw(t, "probation") == 0,
		Slow:      rapid.IntRange(0, 3).Draw(t, "slow") == 0,
	}
}

func drawSpec(t *rapid.T) *api.TaskSpec {
	return &api.TaskSpec{
		Service:   rapid.SampledFrom([]string{"s", "x"}).Draw(t, "service"),
		Resources: api.Resources{CPUMillis: rapid.Int64Range(0, 6).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 6).Draw(t, "memory")},
		Labels:    rapid.SampledFrom([]map[string]string{nil, nil, {"k": "1"}}).Draw(t, "labels"),
		Spread: rapid.SampledFrom([]*api.Spread{
			nil, nil, {By: "worker"}, {By: "zone", MaxPerDomain: 2}, {By: "label:k"},
		}).Draw(t, "spread"),
		Preemptible: rapid.IntRange(0, 2).Draw(t, "preemptible") == 0,
		Prefer:      rapid.SampledFrom([]map[string]string{nil, nil, {"k": "2"}}).Draw(t, "prefer"),
		MaxDuration: api.Duration(rapid.SampledFrom([]time.Duration{0, 0, 5 * time.Second, 30 * time.Second}).Draw(t, "duration")),
	}
}

// add adds a step of separate tasks, or a gang.
func (m *model) add(t *rapid.T) {
	m.lastNumber++
	name := fmt.Sprint("job", m.lastNumber)
	queue := rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "queue")
	priority := rapid.IntRange(0, 2).Draw(t, "priority")
	count := rapid.IntRange(1, 5).Draw(t, "count")
	isGang := rapid.IntRange(0, 2).Draw(t, "together") == 0
	spec := drawSpec(t)
	untilCancelled := rapid.IntRange(0, 3).Draw(t, "until cancelled") == 0
	colocate := rapid.SampledFrom([]string{"", "", "zone", "label:k"}).Draw(t, "colocate")
	for i := range count {
		if rapid.IntRange(0, 3).Draw(t, "mixed") == 0 {
			spec = drawSpec(t)
		}
		task := Task{
			ID: record.TaskID{Job: name, Step: "a", Index: i}, Queue: queue, Priority: priority,
			Sequence: uint64(m.lastNumber), Spec: spec, UntilCancelled: untilCancelled, Preferences: &Preferences{
				Colocate: colocate, StepSize: rapid.SampledFrom([]int{0, count}).Draw(t, "size"),
				AllowsProbation: rapid.Bool().Draw(t, "may try"), PrefersProbation: rapid.Bool().Draw(t, "tries"),
				Avoid: rapid.SampledFrom([][]string{nil, nil, {"w1"}, {"w1", "w2"}}).Draw(t, "avoid"),
			},
		}
		if isGang {
			task.Gang, task.GangSize = name+"/a", count
		}
		m.tasks[task.ID], m.waiting[task.ID] = task, task
		m.onBothEngines(func(e *Engine) { e.Add(task) })
	}
}

func (m *model) drawKnownTask(t *rapid.T) (Task, bool) {
	if m.lastNumber == 0 {
		return Task{}, false
	}
	id := record.TaskID{
		Job: fmt.Sprint("job", rapid.IntRange(1, m.lastNumber).Draw(t, "job")), Step: "a",
		Index: rapid.IntRange(0, 4).Draw(t, "index"),
	}
	task, ok := m.tasks[id]
	return task, ok
}

func (m *model) release(t *rapid.T) {
	if task, ok := m.drawKnownTask(t); ok {
		delete(m.open, task.ID)
		delete(m.stopRequested, task.ID)
		m.onBothEngines(func(e *Engine) { e.Release(task.ID) })
	}
}

func (m *model) remove(t *rapid.T) {
	if task, ok := m.drawKnownTask(t); ok {
		delete(m.waiting, task.ID)
		m.onBothEngines(func(e *Engine) { e.Remove(task.ID) })
	}
}

// addAgain adds a known task again: unchanged, or without its gang as in a retry.
func (m *model) addAgain(t *rapid.T) {
	task, ok := m.drawKnownTask(t)
	if !ok {
		return
	}
	if rapid.Bool().Draw(t, "alone") {
		task.GangSize = min(task.GangSize, 1)
	}
	if _, isOpen := m.open[task.ID]; !isOpen {
		m.tasks[task.ID], m.waiting[task.ID] = task, task
	}
	m.onBothEngines(func(e *Engine) { e.Add(task) })
}

func (m *model) addRun(t *rapid.T) {
	worker := fmt.Sprint("id", rapid.IntRange(0, 5).Draw(t, "worker"))
	if task, ok := m.drawKnownTask(t); ok {
		delete(m.waiting, task.ID)
		started := max(m.now-record.Millis(rapid.IntRange(0, 9).Draw(t, "age"))*1000, 1)
		if p, isOpen := m.open[task.ID]; isOpen && p.worker == worker {
			started = p.started
		}
		m.open[task.ID] = openRun{task, worker, started}
		task.StartedAt = started
		delete(m.stopRequested, task.ID)
		m.onBothEngines(func(e *Engine) { e.AddRun(task, worker) })
	}
}

func (m *model) setWorker(t *rapid.T) {
	w := drawWorker(t)
	m.workers[w.ID] = w
	m.onBothEngines(func(e *Engine) { e.SetWorker(w) })
}

func (m *model) removeWorker(t *rapid.T) {
	id := fmt.Sprint("id", rapid.IntRange(0, 5).Draw(t, "worker"))
	delete(m.workers, id)
	for task, p := range m.open {
		if p.worker == id {
			delete(m.open, task)
			delete(m.stopRequested, task)
		}
	}
	m.onBothEngines(func(e *Engine) { e.RemoveWorker(id) })
}

func (m *model) setQueues(t *rapid.T) {
	var rules []QueueRule
	for _, name := range []string{"q1", "q2"} {
		rule := QueueRule{
			Name: name, Weight: rapid.IntRange(1, 3).Draw(t, "weight"),
			MaxRunning: rapid.SampledFrom([]int{0, 0, 3, 8}).Draw(t, "limit"),
			BySlack:    rapid.Bool().Draw(t, "by slack"),
			Team:       rapid.SampledFrom([]string{"", "t1", "t1", "t2"}).Draw(t, "team"),
		}
		rules = append(rules, rule)
		m.queues[name] = rule
	}
	m.onBothEngines(func(e *Engine) { e.SetQueues(rules) })
}

// plan runs a pass and checks each decision against the model's state at that decision. It
// returns the number of decisions.
func (m *model) plan(t *rapid.T, limit int) int {
	decisions := m.engine.Plan(limit)
	expectEqualDecisions(t, decisions, m.secondEngine.Plan(limit))
	defer m.checkPreemptions(t)
	members := map[string]int{}
	for _, d := range decisions {
		task, waits := m.waiting[d.Task]
		if !waits || d.Worker != m.workers[d.WorkerID].Name || d.Gang != task.Gang {
			t.Fatalf("decision %v is not for a waiting task and a known worker: waiting %v, task %v", d, waits, task)
		}
		if !m.accepts(task, m.workers[d.WorkerID]) || !m.mayRun(task.Queue) {
			t.Fatalf("%v breaks a rule", d)
		}
		m.checkLongRunning(t, task, m.workers[d.WorkerID])
		delete(m.waiting, d.Task)
		m.open[d.Task] = openRun{task, d.WorkerID, m.now}
		if task.GangSize > 1 {
			members[task.Gang]++
		}
		if members[task.Gang] == task.GangSize {
			delete(members, task.Gang)
		}
	}
	if len(members) > 0 {
		t.Fatalf("gangs placed only in part, with placed members: %v", members)
	}
	return len(decisions)
}

// setDeferences changes which queues defer to which.
func (m *model) setDeferences(t *rapid.T) {
	deferences := rapid.SampledFrom([][]Deference{
		nil,
		{{Queue: "q1", To: []string{"q2"}}},
		{{Queue: "q2", To: []string{"q1"}}},
		{{Queue: "q1", To: []string{"q2"}}, {Queue: "q2", To: []string{"q1"}}},
	}).Draw(t, "deferences")
	m.onBothEngines(func(e *Engine) { e.SetDeferences(deferences) })
}

// planAll plans until nothing more is placed, first with the current deferences and then
// without any, and checks that no task still waits that could be placed alone. One pass is
// not enough: a run in a reserved slot may move slots in the middle of a pass, which frees
// capacity for tasks that the pass has already skipped.
func (m *model) planAll(t *rapid.T) {
	for m.plan(t, 1_000_000) > 0 {
		continue
	}
	m.onBothEngines(func(e *Engine) { e.SetDeferences(nil) })
	for m.plan(t, 1_000_000) > 0 {
		continue
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.waiting), compareTask) {
		task := m.waiting[id]
		if (task.Gang != "" && task.GangSize > 1) || !m.mayRun(task.Queue) || m.isNominated(task.ID) {
			continue
		}
		for _, w := range m.workers {
			if m.accepts(task, w) && !m.isAffectedByNominations(w.ID, task) {
				t.Fatalf("%v still waits but fits on %s: %s", task.ID, w.ID, m.engine.Reason(task.ID))
			}
		}
	}
}

func expectEqualDecisions(t *rapid.T, a, b []Decision) {
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Fatalf("two engines returned different decisions after the same calls:\n%v\n%v", a, b)
	}
}

// check compares the state of the engine with that of the model.
func (m *model) check(t *rapid.T) {
	if m.engine.Waiting() != len(m.waiting) {
		t.Fatalf("waiting tasks: got %d, want %d", m.engine.Waiting(), len(m.waiting))
	}
	for id, w := range m.workers {
		if got, want := m.engine.workers.byID[id].freeNow(), w.Capacity.Sub(m.used(id)); got != want {
			t.Fatalf("free capacity of worker %s: got %v, want %v", id, got, want)
		}
	}
	m.checkSums(t)
	m.checkReservedSlots(t)
	for id := range m.waiting {
		if m.engine.Reason(id) == "" {
			t.Fatalf("waiting task %v has no reason", id)
		}
	}
}

func TestEngine_MatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			engine: New(Config{Seed: 1}), secondEngine: New(Config{Seed: 1}),
			workers: map[string]Worker{}, queues: map[string]QueueRule{},
			waiting: map[record.TaskID]Task{}, open: map[record.TaskID]openRun{}, tasks: map[record.TaskID]Task{},
			reservationModel: newReservationModel(),
		}
		t.Repeat(map[string]func(*rapid.T){
			"":             m.check,
			"add":          m.add,
			"addMore":      m.add,
			"addAgain":     m.addAgain,
			"release":      m.release,
			"remove":       m.remove,
			"hold":         m.addRun,
			"setWorker":    m.setWorker,
			"addWorker":    m.setWorker,
			"removeWorker": m.removeWorker,
			"setQueues":    m.setQueues,
			"setTeams":     m.setTeams,
			"setYields":    m.setDeferences,
			"setTime":      m.setTime,
			"reserve":      m.reserve,
			"obey":         m.releaseStopped,
			"setMost":      m.setMaxPreemptions,
			"planSome":     func(t *rapid.T) { m.plan(t, rapid.IntRange(1, 4).Draw(t, "limit")) },
			"planAll":      m.planAll,
		})
	})
}
