package record

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

// BenchmarkApplySubmitPlaceClose runs one job of ten tasks through its life
// beside 20,000 live jobs.
func BenchmarkApplySubmitPlaceClose(b *testing.B) {
	r := newRig(b)
	r.machine.observers = nil
	worker := testWorker("w")
	worker.Capacity = api.Resources{CPUMillis: 1e9}
	r.register(worker)
	for i := range 20000 {
		r.submit(fmt.Sprintf("live-%05d", i), step("a", 10))
	}
	b.ResetTimer()
	for i := range b.N {
		job := fmt.Sprintf("job-%d", i)
		r.submit(job, step("a", 10))
		place, closing := &Place{}, &Close{}
		for task := range 10 {
			placement := onWorker(id(job, "a", task), 1, "w")
			place.Placements = append(place.Placements, placement)
			closing.Runs = append(closing.Runs, RunEnd{Run: placement.Run, Outcome: api.OutcomeSucceeded})
		}
		r.apply(Command{Place: place})
		r.apply(Command{Close: closing})
	}
}

// BenchmarkCapture is the time that a snapshot holds the lock, with 20,000
// live jobs of ten tasks.
func BenchmarkCapture(b *testing.B) {
	r := newRig(b)
	r.machine.observers = nil
	for i := range 20000 {
		r.submit(fmt.Sprintf("live-%05d", i), step("a", 10))
	}
	for b.Loop() {
		r.machine.capture()
	}
}
