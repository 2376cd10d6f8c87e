package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

// deferringEngine returns an engine with workers "w1", "w2", ... of 4 CPU each, the
// queues "burst" and "calm" with BySlack, and the given deferences.
func deferringEngine(workers int, deferences ...Deference) *Engine {
	var all []Worker
	for number := range workers {
		all = append(all, testWorker(fmt.Sprintf("w%d", number+1), cpu(4)))
	}
	e := newEngine(all...)
	e.SetQueues([]QueueRule{{Name: "burst", Weight: 1, BySlack: true}, {Name: "calm", Weight: 1, BySlack: true}})
	e.SetDeferences(deferences)
	return e
}

var burstDefers = Deference{Queue: "burst", To: []string{"calm"}}

func queueTask(queue, job string, sequence int, need int64) Task {
	task := testTask(job, sequence, need)
	task.Queue = queue
	return task
}

// holdBurst adds count runs of "burst" to a worker, of one CPU each, and returns their
// tasks.
func holdBurst(e *Engine, worker string, count int) []Task {
	var running []Task
	for number := range count {
		task := queueTask("burst", "held-"+worker, number, 1)
		e.AddRun(task, worker+"-1")
		running = append(running, task)
	}
	return running
}

// TestBackfill_WorkerReservedForLargeTask: two workers are full of small runs of "burst",
// which has more small tasks waiting with a lower Sequence. A task of "calm" needs a
// complete worker. Unless "burst" defers to "calm", small tasks take each freed piece.
func TestBackfill_WorkerReservedForLargeTask(t *testing.T) {
	cases := []struct {
		name       string
		deferences []Deference
		// want lists what is placed after each run of w1 ends, then after one run of w2
		// ends.
		want string
	}{
		{"no queue defers", nil, "s0@w1, s1@w1, s2@w1, s3@w1, s4@w2"},
		{"the burst defers", []Deference{burstDefers}, ", , , large@w1, s0@w2"},
		{"the burst defers to another", []Deference{{Queue: "burst", To: []string{"other"}}}, "s0@w1, s1@w1, s2@w1, s3@w1, s4@w2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := deferringEngine(2, c.deferences...)
			ending := append(holdBurst(e, "w1", 4), holdBurst(e, "w2", 4)[0])
			e.Add(queueTask("calm", "large", 100, 4))
			for number := range 10 {
				e.Add(queueTask("burst", fmt.Sprintf("s%d", number), number, 1))
			}
			e.Plan(99)
			var steps []string
			for _, task := range ending {
				e.Release(task.ID)
				steps = append(steps, jobsPlaced(e))
			}
			expect(t, "placed", strings.Join(steps, ", "), c.want)
		})
	}
}

// jobsPlaced plans and returns "JOB@WORKER" in the order of decisions.
func jobsPlaced(e *Engine) string {
	var texts []string
	for _, d := range e.Plan(99) {
		texts = append(texts, d.Task.Job+"@"+d.Worker)
	}
	return strings.Join(texts, " ")
}

// TestBackfill_OnlyEarlierTasksUseReservedWorker: w1 has three of four CPU free and is
// reserved for a task that needs all four. w2 is full, so w1 has the only free capacity.
// A task of the queue that defers waits in each case, in addition to the tasks of the
// case.
func TestBackfill_OnlyEarlierTasksUseReservedWorker(t *testing.T) {
	gang := gangOf("group", 1, 1)
	for at := range gang {
		gang[at].Queue = "burst"
	}
	cases := []struct {
		name  string
		tasks []Task
		want  string
	}{
		{"the queue that defers", nil, ""},
		{"a gang of the queue that defers", gang, ""},
		{"a later task of the same queue", []Task{queueTask("calm", "small", 101, 1)}, ""},
		{"an earlier task of the same queue", []Task{queueTask("calm", "small", 99, 1)}, "small@w1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := deferringEngine(2, burstDefers)
			running := holdBurst(e, "w1", 4)
			holdBurst(e, "w2", 4)
			e.Add(queueTask("calm", "large", 100, 4))
			e.Plan(99)
			for _, task := range running[1:] {
				e.Release(task.ID)
			}
			e.Add(queueTask("burst", "more", 0, 1))
			addAll(e, c.tasks...)
			expect(t, "placed", jobsPlaced(e), c.want)
			if c.want != "" {
				return
			}
			e.Remove(queueTask("calm", "large", 100, 4).ID)
			if len(e.Plan(99)) != len(c.tasks)+1 {
				t.Error("tasks that waited because of the reservation were not all placed once the large task was removed")
			}
		})
	}
}

// TestBackfill_LongRunningTasksIgnoreReservation: a task that runs until cancelled may
// use any free capacity, on reserved workers too.
func TestBackfill_LongRunningTasksIgnoreReservation(t *testing.T) {
	e := deferringEngine(2, burstDefers)
	running := holdBurst(e, "w1", 4)
	holdBurst(e, "w2", 4)
	e.Add(queueTask("calm", "large", 100, 4))
	e.Plan(99)
	e.Release(running[0].ID)
	longRunning := queueTask("burst", "lasting", 0, 1)
	longRunning.UntilCancelled = true
	addAll(e, longRunning, queueTask("burst", "more", 1, 1))
	expect(t, "placed", jobsPlaced(e), "lasting@w1")
}

// TestBackfill_NoReservationAtLowUtilization: most capacity of the service is free, so no
// task should wait because of a reservation.
func TestBackfill_NoReservationAtLowUtilization(t *testing.T) {
	e := deferringEngine(2, burstDefers)
	holdBurst(e, "w1", 1)
	holdBurst(e, "w2", 1)
	e.Add(queueTask("calm", "large", 100, 4))
	e.Plan(99)
	for number := range 6 {
		e.Add(queueTask("burst", fmt.Sprintf("s%d", number), number, 1))
	}
	if placed := e.Plan(2); len(placed) != 2 || placed[0].Worker != "w1" {
		t.Errorf("got decisions %v, want two, the first on w1", placed)
	}
}

// TestBackfill_ReservationDroppedWhenUseless: a run until cancelled takes a part of w1, so
// a task that needs all of w1 will not fit there, and w2 is too small. Neither worker may
// stay reserved for it.
func TestBackfill_ReservationDroppedWhenUseless(t *testing.T) {
	e := deferringEngine(1, burstDefers)
	e.SetWorker(testWorker("w2", cpu(2)))
	longRunning := queueTask("burst", "lasting", 0, 1)
	longRunning.UntilCancelled = true
	e.AddRun(longRunning, "w1-1")
	e.Add(queueTask("calm", "large", 100, 4))
	e.Plan(99)
	e.Add(queueTask("burst", "small", 1, 1))
	if placed := e.Plan(99); len(placed) != 1 {
		t.Errorf("got decisions %v, want one", placed)
	}
	e.Release(longRunning.ID)
	e.SetWorker(testWorker("w1", api.Resources{CPUMillis: 5}))
	expect(t, "placed once the run until cancelled was released", jobsPlaced(e), "large@w1")
}

// TestBackfill_ReservesAtMostHalfOfWorkers: each of four workers has one CPU free, and
// each of four equivalence classes needs more.
func TestBackfill_ReservesAtMostHalfOfWorkers(t *testing.T) {
	e := deferringEngine(4, burstDefers)
	for number := range 4 {
		holdBurst(e, fmt.Sprintf("w%d", number+1), 3)
		large := queueTask("calm", fmt.Sprintf("large%d", number), 100+number, 4)
		large.Spec.Resources.MemoryMB = int64(-number)
		e.Add(large)
	}
	e.Plan(99)
	for number := range 4 {
		e.Add(queueTask("burst", fmt.Sprintf("s%d", number), number, 1))
	}
	expect(t, "placed", jobsPlaced(e), "s0@w3 s1@w4")
}

// TestBackfill_NoReservationForNominatedTask: the large task is nominated on w3 by
// preemption of a run of lower priority that was added after it. Another task is placed
// on w2 in the same pass.
func TestBackfill_NoReservationForNominatedTask(t *testing.T) {
	e := deferringEngine(2, burstDefers)
	holdBurst(e, "w1", 4)
	running := holdBurst(e, "w2", 4)
	urgent := func(task Task) Task {
		task.Priority = 1
		return task
	}
	e.Add(urgent(queueTask("calm", "large", 100, 4)))
	e.Plan(99)
	e.Release(running[0].ID)
	victim := queueTask("calm", "victim", 0, 4)
	victim.Spec.Preemptible = true
	e.SetWorker(testWorker("w3", cpu(4)))
	e.AddRun(victim, "w3-1")
	e.Add(urgent(queueTask("burst", "small", 0, 1)))
	expect(t, "placed", jobsPlaced(e), "small@w2")
	expect(t, "preempted", len(e.Preemptions()), 1)
}
