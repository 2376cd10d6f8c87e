package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/utilization"
	"github.com/decklever/decklever/internal/record"
)

// longRunningModel checks one rule of the engine: once passes place nothing more, no task
// or gang that runs until cancelled waits while it fits on usable workers. The model has no
// quotas, reservations and preemption, because they are exceptions to the rule. Members of
// one gang are alike.
type longRunningModel struct {
	engine  *Engine
	workers map[string]Worker
	steps   []longRunningStep
	open    map[record.TaskID]string
	lastJob int
}

// longRunningStep is a gang, or a step of separate tasks.
type longRunningStep struct {
	tasks  []Task
	isGang bool
}

func (m *longRunningModel) setWorker(t *rapid.T) {
	number := rapid.IntRange(0, 4).Draw(t, "worker")
	w := Worker{
		ID: fmt.Sprint("id", number), Name: fmt.Sprint("w", number),
		Capacity:  cpu(rapid.Int64Range(0, 12).Draw(t, "cpu")),
		Services:  []string{"s"},
		Labels:    rapid.SampledFrom([]map[string]string{nil, {"k": "1"}}).Draw(t, "labels"),
		Usable:    rapid.IntRange(0, 4).Draw(t, "usable") > 0,
		Suspect:   rapid.IntRange(0, 2).Draw(t, "suspect") == 0,
		Probation: rapid.IntRange(0, 2).Draw(t, "probation") == 0,
	}
	m.workers[w.ID] = w
	m.engine.SetWorker(w)
}

func (m *longRunningModel) removeWorker(t *rapid.T) {
	id := fmt.Sprint("id", rapid.IntRange(0, 4).Draw(t, "worker"))
	delete(m.workers, id)
	m.engine.RemoveWorker(id)
	maps.DeleteFunc(m.open, func(_ record.TaskID, on string) bool { return on == id })
	m.addAgain()
}

// addAgain adds the tasks without an open run to the engine again. It adds the members of
// a gang only once none of them has an open run.
func (m *longRunningModel) addAgain() {
	for _, step := range m.steps {
		running := slices.ContainsFunc(step.tasks, func(task Task) bool { return m.open[task.ID] != "" })
		for _, task := range step.tasks {
			if m.open[task.ID] == "" && (!step.isGang || !running) {
				m.engine.Add(task)
			}
		}
	}
}

func (m *longRunningModel) add(t *rapid.T) {
	m.lastJob++
	step := longRunningStep{isGang: rapid.Bool().Draw(t, "gang")}
	count, need := rapid.IntRange(1, 4).Draw(t, "count"), rapid.Int64Range(1, 8).Draw(t, "need")
	untilCancelled := rapid.Bool().Draw(t, "until cancelled")
	queue := rapid.SampledFrom([]string{"q", "low"}).Draw(t, "queue")
	spec := &api.TaskSpec{
		Service: "s", Resources: cpu(need), UntilCancelled: untilCancelled,
		Labels: rapid.SampledFrom([]map[string]string{nil, {"k": "1"}}).Draw(t, "labels"),
		Spread: rapid.SampledFrom([]*api.Spread{nil, {By: "worker", MaxPerDomain: 1}, {By: "worker", MaxPerDomain: 2}}).Draw(t, "spread"),
	}
	for i := range count {
		task := testTask(fmt.Sprint("job", m.lastJob), i, need)
		task.Queue, task.Spec, task.UntilCancelled, task.Sequence = queue, spec, untilCancelled, uint64(m.lastJob)
		task.AllowsProbation = !step.isGang && rapid.Bool().Draw(t, "may try")
		task.Priority = rapid.IntRange(0, 1).Draw(t, "priority")
		if step.isGang {
			task.Gang, task.GangSize, task.Priority = task.ID.Job+"/a", count, 0
		}
		step.tasks = append(step.tasks, task)
	}
	m.steps = append(m.steps, step)
	m.addAgain()
}

// endRuns ends the run of one task of a step, or all runs of a gang.
func (m *longRunningModel) endRuns(t *rapid.T) {
	if len(m.steps) == 0 {
		return
	}
	step := m.steps[rapid.IntRange(0, len(m.steps)-1).Draw(t, "step")]
	first := rapid.IntRange(0, len(step.tasks)-1).Draw(t, "task")
	for i, task := range step.tasks {
		if _, runs := m.open[task.ID]; runs && (step.isGang || i == first) {
			delete(m.open, task.ID)
			m.engine.Release(task.ID)
		}
	}
	m.addAgain()
}

// remove removes a step with its waiting tasks and open runs.
func (m *longRunningModel) remove(t *rapid.T) {
	if len(m.steps) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.steps)-1).Draw(t, "step")
	for _, task := range m.steps[at].tasks {
		m.engine.Remove(task.ID)
		m.engine.Release(task.ID)
		delete(m.open, task.ID)
	}
	m.steps = slices.Delete(m.steps, at, at+1)
}

func (m *longRunningModel) setHeadroom(t *rapid.T) {
	m.engine.SetQueues([]QueueRule{{Name: "q", Weight: 1}, {Name: "low", Weight: 1, HeadroomPercent: rapid.IntRange(0, 60).Draw(t, "headroom")}})
}

func (m *longRunningModel) plan(limit int) bool {
	decisions := m.engine.Plan(limit)
	for _, d := range decisions {
		m.open[d.Task] = d.WorkerID
	}
	return len(decisions) > 0
}

// waitForGangDrain runs enough passes for a gang drain to start.
func (m *longRunningModel) waitForGangDrain(*rapid.T) {
	for range gangDrainAfterPasses + gangDrainSearchInterval {
		m.plan(100)
	}
}

func (m *longRunningModel) free(w Worker) int64 {
	free := w.Capacity.CPUMillis
	for _, step := range m.steps {
		for _, task := range step.tasks {
			if m.open[task.ID] == w.ID {
				free -= task.Spec.Resources.CPUMillis
			}
		}
	}
	return free
}

// fitCount counts how many more tasks of a step fit on usable workers.
func (m *longRunningModel) fitCount(step longRunningStep) int {
	spec, total := step.tasks[0].Spec, 0
	for _, w := range m.workers {
		if !w.Usable || !w.HasLabels(spec.Labels) {
			continue
		}
		workerFits := int(max(m.free(w), 0) / spec.Resources.CPUMillis)
		if spec.Spread != nil {
			running := 0
			for _, task := range step.tasks {
				if m.open[task.ID] == w.ID {
					running++
				}
			}
			workerFits = min(workerFits, max(spec.Spread.MaxPerDomain-running, 0))
		}
		total += workerFits
	}
	return total
}

func (m *longRunningModel) check(t *rapid.T) {
	// Two passes without decisions are needed: a gang whose drain has all its capacity is
	// placed only in the next pass.
	for idle := 0; idle < 2; idle++ {
		if m.plan(100) {
			idle = 0
		}
	}
	for _, step := range m.steps {
		waiting := 0
		for _, task := range step.tasks {
			if m.open[task.ID] == "" {
				waiting++
			}
		}
		wanted := 1
		if step.isGang {
			wanted = len(step.tasks)
		}
		if places := m.fitCount(step); step.tasks[0].UntilCancelled && waiting >= wanted && places >= wanted {
			t.Fatalf("%d of %d tasks of %s wait though %d fit: %s", waiting, len(step.tasks),
				step.tasks[0].ID.Job, places, m.engine.Reason(step.tasks[0].ID))
		}
	}
	for id, w := range m.workers {
		if got, want := m.engine.workers.byID[id].freeNow().CPUMillis, m.free(w); got != want {
			t.Fatalf("free CPU of worker %s: got %d, want %d", id, got, want)
		}
	}
}

func TestLongRunning_NeverWaitsWhileAWorkerFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &longRunningModel{
			engine: New(Config{Seed: 1}), workers: map[string]Worker{}, open: map[record.TaskID]string{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"":             m.check,
			"add":          m.add,
			"addMore":      m.add,
			"end":          m.endRuns,
			"endAnother":   m.endRuns,
			"remove":       m.remove,
			"setWorker":    m.setWorker,
			"addWorker":    m.setWorker,
			"removeWorker": m.removeWorker,
			"setHeadroom":  m.setHeadroom,
			"wait":         m.waitForGangDrain,
		})
	})
}

func restricted(w Worker) bool { return w.Probation || w.Suspect }

// admits reports whether the rules for restricted workers allow the task on the worker.
func (m *model) admits(task Task, w Worker) bool {
	if !restricted(w) || task.UntilCancelled {
		return true
	}
	for id, p := range m.open {
		if p.worker == w.ID && id != task.ID {
			return false
		}
	}
	if task.AllowsProbation && (!w.Suspect || !m.isHighlyUtilized(task.Spec.Service)) {
		return true
	}
	return m.hasOnlyRestricted(task)
}

// hasOnlyRestricted reports whether only restricted workers could hold the task.
func (m *model) hasOnlyRestricted(task Task) bool {
	for _, other := range m.workers {
		if other.Usable && !restricted(other) && other.Offers(task.Spec.Service) &&
			other.HasLabels(task.Spec.Labels) && task.Spec.Resources.Fits(other.Capacity) {
			return false
		}
	}
	return true
}

// isHighlyUtilized computes utilization.Table.IsHigh from the complete state of the model.
func (m *model) isHighlyUtilized(service string) bool {
	var capacity, used api.Resources
	for id, w := range m.workers {
		if w.Offers(service) {
			capacity, used = capacity.Add(w.Capacity), used.Add(m.used(id))
		}
	}
	isShort := func(used, capacity int64) bool {
		return used > capacity*utilization.HighPercent/100 || capacity*utilization.HighPercent/100 == 0
	}
	return isShort(used.CPUMillis, capacity.CPUMillis) && isShort(used.MemoryMB, capacity.MemoryMB)
}

// checkLongRunning checks that the task was not placed on a restricted worker while an
// unrestricted one had capacity. Exempt are tasks that allow probation on a worker that is
// not suspect, tasks that only restricted workers could hold, and gang members. Capacity
// nominated for others may also explain such a placement.
func (m *model) checkLongRunning(t *rapid.T, task Task, on Worker) {
	if !restricted(on) || task.AllowsProbation && !on.Suspect || m.hasOnlyRestricted(task) || task.Gang != "" {
		return
	}
	for _, other := range m.workers {
		if !restricted(other) && m.accepts(task, other) && !m.isAffectedByNominations(other.ID, task) {
			t.Fatalf("task %v placed on restricted worker %s though unrestricted worker %s has capacity", task.ID, on.ID, other.ID)
		}
	}
}
