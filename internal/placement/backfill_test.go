package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

// deferringEngine has workers "w1", "w2", ... with 4 cpu each, and "burst" deferring to "calm".
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

// hold has a worker run tasks of "burst" of one cpu each.
func holdBurst(e *Engine, worker string, count int) []Task {
	var running []Task
	for number := range count {
		task := queueTask("burst", "held-"+worker, number, 1)
		e.AddRun(task, worker+"-1")
		running = append(running, task)
	}
	return running
}

// TestBackfill_WorkerReservedForLargeTask: two workers are full of small runs of "burst", which
// has more of them that came first. A task of "calm" needs a whole worker.
func TestBackfill_WorkerReservedForLargeTask(t *testing.T) {
	cases := []struct {
		name   string
		yields []Deference
		// want is what is placed as the runs of w1 end one by one, and then one of w2.
		want string
	}{
		{"no queue defers", nil, "s0@w1, s1@w1, s2@w1, s3@w1, s4@w2"},
		{"the burst defers", []Deference{burstDefers}, ", , , large@w1, s0@w2"},
		{"the burst defers to another", []Deference{{Queue: "burst", To: []string{"other"}}}, "s0@w1, s1@w1, s2@w1, s3@w1, s4@w2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := deferringEngine(2, c.yields...)
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

// TestBackfill_TasksThatRespectReservation: w1 has three free cpu of four and is reserved for a task that
// needs all; w2 is full, so that w1 is the only free capacity. A task of the queue that defers
// waits as well.
func TestBackfill_TasksThatRespectReservation(t *testing.T) {
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
		{"a gang of it", gang, ""},
		{"what comes later in the same queue", []Task{queueTask("calm", "small", 101, 1)}, ""},
		{"not what came first in the same queue", []Task{queueTask("calm", "small", 99, 1)}, "small@w1"},
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
				t.Error("what left the capacity does not get it once nothing waits for it")
			}
		})
	}
}

// TestBackfill_LongRunningTasksIgnoreReservation: a task that runs until cancelled takes whatever
// capacity there is.
func TestBackfill_LongRunningTasksIgnoreReservation(t *testing.T) {
	e := deferringEngine(2, burstDefers)
	running := holdBurst(e, "w1", 4)
	holdBurst(e, "w2", 4)
	e.Add(queueTask("calm", "large", 100, 4))
	e.Plan(99)
	e.Release(running[0].ID)
	lasting := queueTask("burst", "lasting", 0, 1)
	lasting.UntilCancelled = true
	addAll(e, lasting, queueTask("burst", "more", 1, 1))
	expect(t, "placed", jobsPlaced(e), "lasting@w1")
}

// TestBackfill_NoReservationAtLowUtilization: little of the service is used, and nothing shall
// wait beside so much capacity.
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
		t.Errorf("placed %v, want two, the first on w1", placed)
	}
}

// TestBackfill_ReservationDroppedWhenUseless: a run without an end holds a part of w1, so that a task that
// needs a whole worker will not find it there, and w2 is too small.
func TestBackfill_ReservationDroppedWhenUseless(t *testing.T) {
	e := deferringEngine(1, burstDefers)
	e.SetWorker(testWorker("w2", cpu(2)))
	lasting := queueTask("burst", "lasting", 0, 1)
	lasting.UntilCancelled = true
	e.AddRun(lasting, "w1-1")
	e.Add(queueTask("calm", "large", 100, 4))
	e.Plan(99)
	e.Add(queueTask("burst", "small", 1, 1))
	if placed := e.Plan(99); len(placed) != 1 {
		t.Errorf("placed: %v", placed)
	}
	e.Release(lasting.ID)
	e.SetWorker(testWorker("w1", api.Resources{CPUMillis: 5}))
	expect(t, "placed once it has ended", jobsPlaced(e), "large@w1")
}

// TestBackfill_ReservesAtMostHalfOfWorkers: each of four workers has one cpu free, and each
// of four shapes of task needs more.
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

// TestBackfill_NoReservationForNominatedTask: the large task is nominated for what a run of lower
// priority has that came after it, so that w2 is free for others in the same pass.
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
