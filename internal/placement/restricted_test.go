package placement

import "testing"

func TestProbation_AdmitsOneRunAtATime(t *testing.T) {
	restrictedWorker := func(name string, probation, suspect bool) Worker {
		w := testWorker(name, cpu(100))
		w.Probation, w.Suspect = probation, suspect
		return w
	}
	unrestricted := func(capacity int64) Worker { return testWorker("t", cpu(capacity)) }
	smallSuspect := restrictedWorker("h", false, true)
	smallSuspect.Capacity = cpu(10)
	cases := []struct {
		name                              string
		workers                           []Worker
		allowsProbation, prefersProbation bool
		want                              string
	}{
		{"one task that prefers probation", []Worker{restrictedWorker("p", true, false), unrestricted(10)}, true, true, "j/a/0@p j/a/1@t"},
		{"one task once no other worker has capacity", []Worker{restrictedWorker("p", true, false), unrestricted(10)}, true, false, "j/a/0@t j/a/1@p"},
		{"none on a last attempt", []Worker{restrictedWorker("p", true, false), unrestricted(10)}, false, false, "j/a/0@t"},
		{"one on a suspect worker at low utilization", []Worker{restrictedWorker("h", false, true), unrestricted(10)}, true, true, "j/a/0@t j/a/1@h"},
		{"none on a suspect worker on a last attempt", []Worker{restrictedWorker("h", false, true), unrestricted(10)}, false, false, "j/a/0@t"},
		{"none on a suspect worker at high utilization", []Worker{smallSuspect, unrestricted(20)}, true, true, "j/a/0@t j/a/1@t"},
		{"one task that no other worker could hold", []Worker{restrictedWorker("h", false, true), unrestricted(5)}, false, false, "j/a/0@h"},
		{"one task without any other worker", []Worker{restrictedWorker("h", false, true)}, false, false, "j/a/0@h"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(c.workers...)
			for i := range 3 {
				task := testTask("j", i, 10)
				task.AllowsProbation, task.PrefersProbation = c.allowsProbation, c.prefersProbation
				e.Add(task)
			}
			expect(t, "decisions", placed(e, 10), c.want)
		})
	}
}

// TestProbation_LastsUntilCleared: a worker on probation gets its next run once the first
// has ended, and the remaining waiting tasks once the probation is over.
func TestProbation_LastsUntilCleared(t *testing.T) {
	w := testWorker("p", cpu(100))
	w.Probation = true
	e := newEngine(w, testWorker("t", cpu(10)))
	var tasks []Task
	for i := range 4 {
		task := testTask("j", i, 10)
		task.AllowsProbation = true
		tasks = append(tasks, task)
	}
	addAll(e, tasks...)
	expect(t, "decisions at first", placed(e, 10), "j/a/0@t j/a/1@p")
	expect(t, "reason", e.Reason(tasks[2].ID), "no room: needs 10 cpu_millis, most free 0")
	e.Release(tasks[1].ID)
	expect(t, "decisions after the run on probation ended", placed(e, 10), "j/a/2@p")
	w.Probation = false
	e.SetWorker(w)
	expect(t, "decisions after probation", placed(e, 10), "j/a/3@p")
	expect(t, "restricted workers", len(e.workers.restricted), 0)
}

// TestProbation_IgnoredWithoutOtherWorkers: a task that waits rather than use a restricted
// worker is placed there once the last other worker that could hold it is removed.
func TestProbation_IgnoredWithoutOtherWorkers(t *testing.T) {
	w := testWorker("h", cpu(100))
	w.Suspect = true
	e := newEngine(w, testWorker("t", cpu(10)))
	addAll(e, testTask("j", 0, 10), testTask("j", 1, 10))
	expect(t, "decisions while another worker exists", placed(e, 10), "j/a/0@t")
	e.RemoveWorker("t-1")
	expect(t, "decisions after its removal", placed(e, 10), "j/a/1@h")
}

func TestProbation_GangsAvoidRestrictedWorkers(t *testing.T) {
	w := testWorker("p", cpu(100))
	w.Probation = true
	e := newEngine(w, testWorker("t", cpu(20)))
	addAll(e, gangOf("g", 10, 10, 10)...)
	expect(t, "decisions while the gang does not fit elsewhere", placed(e, 10), "")
	w.Probation = false
	e.SetWorker(w)
	expect(t, "placed members", len(e.Plan(10)), 3)
}

// TestProbation_CancelsNomination: the nomination for capacity that preemption frees on a
// worker is revoked once the worker is suspect.
func TestProbation_CancelsNomination(t *testing.T) {
	w := testWorker("w", cpu(10))
	e := newEngine(w)
	low := testTask("low", 0, 10)
	low.Spec.Preemptible = true
	e.AddRun(low, "w-1")
	urgent := testTask("urgent", 1, 10)
	urgent.Priority = 1
	e.Add(urgent)
	expect(t, "decisions before capacity is free", placed(e, 10), "")
	expect(t, "preemptions", len(e.Preemptions()), 1)
	w.Suspect = true
	e.SetWorker(w)
	e.SetWorker(testWorker("other", cpu(10)))
	e.Release(low.ID)
	expect(t, "decisions once the worker is suspect", placed(e, 10), "urgent/a/1@other")
}
