package checker

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// submitAs records a job of a class, submitted to the queue named like the job.
func (f *fixture) submitAs(class calllog.Class, id string, millis int64, tasks ...api.TaskSpec) {
	f.submit(id, millis, tasks...).Queue = id
	f.Entries[len(f.Entries)-1].Class = class
}

func (f *fixture) milestone(milestone calllog.Milestone, millis int64) {
	f.Entries = append(f.Entries, calllog.Entry{Kind: calllog.KindMilestone, Sent: at(millis), Answered: at(millis), Milestone: milestone})
}

// putBooking puts a booking of three slices in force; a worker has capacity for two.
func (f *fixture) putBooking() {
	booking := api.BookingConfig{Name: "b", Slots: 3, Slice: task().Resources}
	queues := []api.QueueConfig{{Name: "other"}, {Name: "booked", Bookings: []api.BookingConfig{booking}}}
	f.addEntry(calllog.KindConfigPut, 100, calllog.Entry{OrderID: "o", Version: 1, Config: &api.Config{Queues: queues}})
	f.milestone(calllog.MilestoneBooked, 10_000)
}

// runBurst submits a job with one task at the booked moment; the task starts delay
// milliseconds after that moment.
func (f *fixture) runBurst(class calllog.Class, id string, delay int64) {
	f.submitAs(class, id, 10_010, task())
	f.succeed(id+"/s/0", "two", 1, 10_000+delay, 10_100+delay)
	f.poll(id, 40_000, api.StateSucceeded)
}

// runBursts puts a booking in force and runs a booked and an unbooked burst with the
// given delays in milliseconds.
func (f *fixture) runBursts(booked, unbooked int64) {
	f.putBooking()
	f.runBurst(calllog.ClassBooked, "booked", booked)
	f.runBurst(calllog.ClassUnbooked, "unbooked", unbooked)
}

// runBackground runs a task of another queue on the worker "one" until end. The task
// leaves no capacity for a slice there.
func (f *fixture) runBackground(end int64, preemptible bool) {
	large := task()
	large.Resources.CPUMillis = 1500
	large.Preemptible = preemptible
	f.submitAs(calllog.ClassBackground, "other", 9000, large)
	f.succeed("other/s/0", "one", 1, 9100, end)
	f.poll("other", 40_000, api.StateSucceeded)
}

func TestCheckBookings_LateOrSlowBurstIsReported(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(*fixture)
		want    int
	}{
		{"in time", func(f *fixture) { f.runBursts(500, 5000) }, 0},
		{"booked burst slower than a tenth of the unbooked one", func(f *fixture) { f.runBursts(500, 4990) }, 1},
		{"booked start after more than 1 s", func(f *fixture) { f.runBursts(1010, 20_000) }, 1},
		{"late and slower than a tenth of the unbooked one", func(f *fixture) { f.runBursts(1010, 1000) }, 2},
		{"non-preemptible work uses booked capacity", func(f *fixture) { f.runBursts(500, 5000); f.runBackground(11_001, false) }, 1},
		{"non-preemptible work ends in time", func(f *fixture) { f.runBursts(500, 5000); f.runBackground(11_000, false) }, 0},
		{"preemptible work uses booked capacity", func(f *fixture) { f.runBursts(500, 5000); f.runBackground(12_000, true) }, 0},
		{"no booked work", func(f *fixture) { f.putBooking(); f.runBurst(calllog.ClassUnbooked, "unbooked", 5000) }, 1},
		{"no unbooked work to compare with", func(f *fixture) { f.putBooking(); f.runBurst(calllog.ClassBooked, "booked", 500) }, 1},
		{"booking acknowledged after the booked moment", func(f *fixture) { f.runBursts(500, 5000); f.Entries[0].Answered = at(10_001) }, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.arrange(f)
			f.expectViolations(t, P13, test.want)
		})
	}
}

func TestBurstDelays_UnstartedTaskCountsToEnd(t *testing.T) {
	f := newFixture()
	f.runBursts(500, 30_000)
	f.submitAs(calllog.ClassBooked, "second", 10_010, task())
	f.addEntry(calllog.KindCancel, 41_000, calllog.Entry{JobID: "second"})
	f.poll("second", 42_000, api.StateCancelled)
	delays := BurstDelays(f.Input, calllog.ClassBooked)
	if len(delays) != 2 || delays[1] != f.EndedAt.Sub(at(10_000)) {
		t.Fatalf("got delays %v, want 2, the second until the end of the observation", delays)
	}
	f.expectViolations(t, P13, 2)
}

// expectViolations asserts the number of violations, and that all are of one promise.
func (f *fixture) expectViolations(t *testing.T, promise Promise, count int) {
	t.Helper()
	violations := All(f.Input).Violations
	if len(violations) != count {
		t.Fatalf("got violations %v, want %d of them", violations, count)
	}
	for _, violation := range violations {
		if violation.Promise != promise {
			t.Errorf("got violation %v, want %s only", violation, promise)
		}
	}
}
