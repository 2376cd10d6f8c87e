package placement

import "testing"

func TestProbation_AdmitsOneRunAtATime(t *testing.T) {
	guarded := func(name string, probation, heldBack bool) Worker {
		w := testWorker(name, cpu(100))
		w.Probation, w.Suspect = probation, heldBack
		return w
	}
	trusted := func(capacity int64) Worker { return testWorker("t", cpu(capacity)) }
	small := guarded("h", false, true)
	small.Capacity = cpu(10)
	cases := []struct {
		name          string
		workers       []Worker
		mayTry, tries bool
		want          string
	}{
		{"one task that tries", []Worker{guarded("p", true, false), trusted(10)}, true, true, "j/a/0@p j/a/1@t"},
		{"one without other room", []Worker{guarded("p", true, false), trusted(10)}, true, false, "j/a/0@t j/a/1@p"},
		{"no last attempt", []Worker{guarded("p", true, false), trusted(10)}, false, false, "j/a/0@t"},
		{"one on one suspect while most is free", []Worker{guarded("h", false, true), trusted(10)}, true, true, "j/a/0@t j/a/1@h"},
		{"none on a last attempt", []Worker{guarded("h", false, true), trusted(10)}, false, false, "j/a/0@t"},
		{"none while the service is crowded", []Worker{small, trusted(20)}, true, true, "j/a/0@t j/a/1@t"},
		{"what no other could hold", []Worker{guarded("h", false, true), trusted(5)}, false, false, "j/a/0@h"},
		{"nothing of an alternative", []Worker{guarded("h", false, true)}, false, false, "j/a/0@h"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(c.workers...)
			for i := range 3 {
				task := testTask("j", i, 10)
				task.AllowsProbation, task.PrefersProbation = c.mayTry, c.tries
				e.Add(task)
			}
			expect(t, "decisions", placed(e, 10), c.want)
		})
	}
}

// TestProbation_LastsUntilCleared: the next task comes once the first has ended, and what
// waited is taken once the worker is trusted again.
func TestProbation_LastsUntilCleared(t *testing.T) {
	w := testWorker("p", cpu(100))
	w.Probation = true
	e := newEngine(w, testWorker("t", cpu(10)))
	var ids []Task
	for i := range 4 {
		task := testTask("j", i, 10)
		task.AllowsProbation = true
		ids = append(ids, task)
	}
	addAll(e, ids...)
	expect(t, "first", placed(e, 10), "j/a/0@t j/a/1@p")
	expect(t, "reason", e.Reason(ids[2].ID), "no room: needs 10 cpu_millis, most free 0")
	e.Release(ids[1].ID)
	expect(t, "then", placed(e, 10), "j/a/2@p")
	w.Probation = false
	e.SetWorker(w)
	expect(t, "at last", placed(e, 10), "j/a/3@p")
	expect(t, "guarded", len(e.workers.restricted), 0)
}

// TestProbation_IgnoredWithoutOtherWorkers: a task that avoids a restricted worker takes it once the last
// other one is gone.
func TestProbation_IgnoredWithoutOtherWorkers(t *testing.T) {
	w := testWorker("h", cpu(100))
	w.Suspect = true
	e := newEngine(w, testWorker("t", cpu(10)))
	addAll(e, testTask("j", 0, 10), testTask("j", 1, 10))
	expect(t, "while there is one", placed(e, 10), "j/a/0@t")
	e.RemoveWorker("t-1")
	expect(t, "after", placed(e, 10), "j/a/1@h")
}

func TestProbation_GangsAvoidRestrictedWorkers(t *testing.T) {
	w := testWorker("p", cpu(100))
	w.Probation = true
	e := newEngine(w, testWorker("t", cpu(20)))
	addAll(e, gangOf("g", 10, 10, 10)...)
	expect(t, "not complete elsewhere", placed(e, 10), "")
	w.Probation = false
	e.SetWorker(w)
	expect(t, "runs", len(e.Plan(10)), 3)
}

// TestProbation_CancelsNomination: capacity that preemption makes on a worker is given up
// once the worker is suspect.
func TestProbation_CancelsNomination(t *testing.T) {
	w := testWorker("w", cpu(10))
	e := newEngine(w)
	low := testTask("low", 0, 10)
	low.Spec.Preemptible = true
	e.AddRun(low, "w-1")
	urgent := testTask("urgent", 1, 10)
	urgent.Priority = 1
	e.Add(urgent)
	expect(t, "waits for capacity", placed(e, 10), "")
	expect(t, "asked to stop", len(e.Preemptions()), 1)
	w.Suspect = true
	e.SetWorker(w)
	e.SetWorker(testWorker("other", cpu(10)))
	e.Release(low.ID)
	expect(t, "elsewhere", placed(e, 10), "urgent/a/1@other")
}
