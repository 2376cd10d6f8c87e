package checker

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// submitAs submits a job of a class to the queue of that name.
func (f *fixture) submitAs(class calllog.Class, id string, millis int64, tasks ...api.TaskSpec) {
	f.submit(id, millis, tasks...).Queue = id
	f.Entries[len(f.Entries)-1].Class = class
}

func (f *fixture) milestone(milestone calllog.Milestone, millis int64) {
	f.Entries = append(f.Entries, calllog.Entry{Kind: calllog.KindMilestone, Sent: at(millis), Answered: at(millis), Milestone: milestone})
}

// putBooking puts a booking of three slices in force; a worker holds two.
func (f *fixture) putBooking() {
	booking := api.BookingConfig{Name: "b", Slots: 3, Slice: task().Resources}
	queues := []api.QueueConfig{{Name: "other"}, {Name: "booked", Bookings: []api.BookingConfig{booking}}}
	f.entry(calllog.KindConfigPut, 100, calllog.Entry{OrderID: "o", Version: 1, Config: &api.Config{Queues: queues}})
	f.milestone(calllog.MilestoneBooked, 10_000)
}

// burst submits a job of one task at the booked moment, which starts that much
// later.
func (f *fixture) burst(class calllog.Class, id string, delay int64) {
	f.submitAs(class, id, 10_010, task())
	f.succeed(id+"/s/0", "two", 1, 10_000+delay, 10_100+delay)
	f.poll(id, 40_000, api.StateSucceeded)
}

// bursts submits two of them.
func (f *fixture) bursts(booked, unbooked int64) {
	f.putBooking()
	f.burst(calllog.ClassBooked, "booked", booked)
	f.burst(calllog.ClassUnbooked, "unbooked", unbooked)
}

// background runs a task of another queue on the first worker that leaves no
// capacity for a slice.
func (f *fixture) background(to int64, preemptible bool) {
	large := task()
	large.Resources.CPUMillis = 1500
	large.Preemptible = preemptible
	f.submitAs(calllog.ClassBackground, "other", 9000, large)
	f.succeed("other/s/0", "one", 1, 9100, to)
	f.poll("other", 40_000, api.StateSucceeded)
}

func TestCheckBookings_ReportsLateOrSlowBursts(t *testing.T) {
	cases := []struct {
		name     string
		arrange  func(*fixture)
		breaches int
	}{
		{"in time", func(f *fixture) { f.bursts(500, 5000) }, 0},
		{"not a tenth of the other", func(f *fixture) { f.bursts(500, 4990) }, 1},
		{"late", func(f *fixture) { f.bursts(1010, 20_000) }, 1},
		{"late and not a tenth of the other", func(f *fixture) { f.bursts(1010, 1000) }, 2},
		{"committed work in the way", func(f *fixture) { f.bursts(500, 5000); f.background(11_001, false) }, 1},
		{"committed work that ends in time", func(f *fixture) { f.bursts(500, 5000); f.background(11_000, false) }, 0},
		{"preemptible work beside it", func(f *fixture) { f.bursts(500, 5000); f.background(12_000, true) }, 0},
		{"nothing booked", func(f *fixture) { f.putBooking(); f.burst(calllog.ClassUnbooked, "unbooked", 5000) }, 1},
		{"nothing to compare with", func(f *fixture) { f.putBooking(); f.burst(calllog.ClassBooked, "booked", 500) }, 1},
		{"no booking in force", func(f *fixture) { f.bursts(500, 5000); f.Entries[0].Answered = at(10_001) }, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.arrange(f)
			f.expect(t, P13, test.breaches)
		})
	}
}

func TestBurstDelays_UnstartedTaskCountsToEnd(t *testing.T) {
	f := newFixture()
	f.bursts(500, 30_000)
	f.submitAs(calllog.ClassBooked, "second", 10_010, task())
	f.entry(calllog.KindCancel, 41_000, calllog.Entry{JobID: "second"})
	f.poll("second", 42_000, api.StateCancelled)
	delays := BurstDelays(f.Input, calllog.ClassBooked)
	if len(delays) != 2 || delays[1] != f.EndedAt.Sub(at(10_000)) {
		t.Fatalf("delays are %v", delays)
	}
	f.expect(t, P13, 2)
}

// expect asserts how many violations there are and that all are of a promise.
func (f *fixture) expect(t *testing.T, promise Promise, count int) {
	t.Helper()
	violations := All(f.Input).Violations
	if len(violations) != count {
		t.Fatalf("reported %v, want %d", violations, count)
	}
	for _, violation := range violations {
		if violation.Promise != promise {
			t.Errorf("reported %v, want %s only", violation, promise)
		}
	}
}
