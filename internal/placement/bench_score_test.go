package placement

import (
	"fmt"
	"testing"
)

// BenchmarkPlanWithPreferences measures tasks whose search must look past the worker with
// the least free capacity: because that worker holds half of their step, because they
// prefer a label that no worker has (the worst case: all workers that fit are ranked), or
// because they prefer one zone.
func BenchmarkPlanWithPreferences(b *testing.B) {
	for _, c := range []struct {
		name   string
		change func(*Task)
	}{
		{"none", func(*Task) {}},
		{"step", func(task *Task) { task.StepSize = 20 }},
		{"prefer", func(task *Task) { task.Spec.Prefer = map[string]string{"none": "none"} }},
		{"colocate", func(task *Task) { task.StepSize, task.Colocate = 20, "zone" }},
	} {
		b.Run(c.name, func(b *testing.B) {
			l := newBenchLoad(1200, 22000)
			l.change = c.change
			l.measure(b)
		})
	}
}

// BenchmarkPlanBesidePreferredWorkers measures tasks without preferences on workers that
// other tasks prefer, all of them nearly full (the worst case: all workers that fit are
// ranked).
func BenchmarkPlanBesidePreferredWorkers(b *testing.B) {
	l := newBenchLoad(1200, 22000)
	for number := range 1200 {
		described := l.engine.workers.byID[fmt.Sprint("id", number)].Worker
		described.Labels = map[string]string{"rack": fmt.Sprint("r", number/12)}
		l.engine.SetWorker(described)
	}
	for rack := range 100 {
		task := l.task()
		task.Spec.Prefer = map[string]string{"rack": fmt.Sprint("r", rack)}
		l.engine.Add(task)
		l.engine.Remove(task.ID)
	}
	l.measure(b)
}
