package placement

import "testing"

// BenchmarkPlanWithWishes has tasks that look past the fullest worker: for
// others once it holds half of their step, for a label that no worker has (the
// worst case: all that fit are looked at), or for room in one zone.
func BenchmarkPlanWithWishes(b *testing.B) {
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
			l := newLoad(1200, 22000)
			l.change = c.change
			l.measure(b)
		})
	}
}
