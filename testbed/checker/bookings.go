package checker

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

const (
	// bookedStartBound is the time after the booked moment within which booked tasks
	// must start.
	bookedStartBound = time.Second
	// bookedSpeedup is how many times faster booked work must start than equal work
	// without a booking.
	bookedSpeedup = 10
	// burstPercentile is the percentile of the delays by which bursts are compared.
	burstPercentile = 99
)

// BurstDelays returns how long each task of a burst waited from the booked moment, or
// from the submission of its job if that was later. A task that never started counts as
// waiting until the end of the observation.
func BurstDelays(input Input, class calllog.Class) []time.Duration {
	return newFacts(input).burstDelays(class)
}

func (f *facts) burstDelays(class calllog.Class) []time.Duration {
	bookedAt := f.milestone(calllog.MilestoneBooked)
	var delays []time.Duration
	for _, job := range f.burst(class) {
		due := max(bookedAt, job.submits[0].Sent)
		f.forEachTask(job, func(name eventlog.TaskName) {
			started := f.input.EndedAt
			if runs := f.byTask[name.String()]; len(runs) > 0 {
				started = runs[0].Mono
			}
			delays = append(delays, started.Sub(due))
		})
	}
	return delays
}

// burst returns the accepted jobs of a class.
func (f *facts) burst(class calllog.Class) []*jobFacts {
	var jobs []*jobFacts
	for _, id := range f.jobIDs {
		if job := f.jobs[id]; job.acceptedAt != 0 && job.class() == class {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// checkBookings (P13): a burst of booked work starts within 1 s of the booked moment
// and in at most a tenth of the time of an equal burst without a booking.
// Non-preemptible work of other queues does not use the booked capacity.
func (f *facts) checkBookings() []Violation {
	bookedAt := f.milestone(calllog.MilestoneBooked)
	if bookedAt == 0 {
		return nil
	}
	booked := f.burstDelays(calllog.ClassBooked)
	if len(booked) == 0 {
		return []Violation{{P13, "booked", "no booked task was accepted", []monoclock.Nanos{bookedAt}}}
	}
	found := lateStarts(bookedAt, booked)
	found = append(found, compareBursts(bookedAt, booked, f.burstDelays(calllog.ClassUnbooked))...)
	return append(found, f.checkReservedCapacity(bookedAt)...)
}

// lateStarts reports booked tasks that started later than bookedStartBound.
func lateStarts(bookedAt monoclock.Nanos, booked []time.Duration) []Violation {
	late, worst := 0, time.Duration(0)
	for _, delay := range booked {
		if delay > bookedStartBound {
			late++
		}
		worst = max(worst, delay)
	}
	if late == 0 {
		return nil
	}
	text := fmt.Sprintf("%d of %d booked tasks started over %v after their moment, the last after %v", late, len(booked), bookedStartBound, worst)
	return []Violation{{P13, "booked", text, []monoclock.Nanos{bookedAt}}}
}

// compareBursts reports a booked burst that is not bookedSpeedup times faster than the
// unbooked one at burstPercentile.
func compareBursts(bookedAt monoclock.Nanos, booked, unbooked []time.Duration) []Violation {
	if len(unbooked) == 0 {
		return []Violation{{P13, "unbooked", "no task without a booking was accepted to compare with", []monoclock.Nanos{bookedAt}}}
	}
	bookedDelay, unbookedDelay := nearestRank(booked, burstPercentile), nearestRank(unbooked, burstPercentile)
	if bookedDelay*bookedSpeedup <= unbookedDelay {
		return nil
	}
	text := fmt.Sprintf("99 of 100 booked tasks started within %v, without a booking within %v: not a tenth", bookedDelay, unbookedDelay)
	return []Violation{{P13, "booked", text, []monoclock.Nanos{bookedAt}}}
}

// checkReservedCapacity (P13): bookedStartBound after the booked moment,
// non-preemptible work of other queues leaves capacity for all slices of the booking.
func (f *facts) checkReservedCapacity(bookedAt monoclock.Nanos) []Violation {
	queue, booking := f.bookingAt(bookedAt)
	if booking == nil {
		return []Violation{{P13, "booked", "no configuration with a booking was acknowledged before the moment", []monoclock.Nanos{bookedAt}}}
	}
	at := bookedAt.Add(bookedStartBound)
	used := f.committedCapacity(queue, at)
	slots := 0
	for _, worker := range f.input.Workers {
		slots += slicesThatFit(worker.Capacity.Sub(used[worker.Name]), booking.Slice)
	}
	if slots >= booking.Slots {
		return nil
	}
	text := fmt.Sprintf("committed work of other queues left capacity for %d of %d slices", slots, booking.Slots)
	return []Violation{{P13, queue + "/" + booking.Name, text, []monoclock.Nanos{at}}}
}

// bookingAt returns the first booking, with its queue, of the highest configuration
// version acknowledged by a time; nil if that configuration has none.
func (f *facts) bookingAt(at monoclock.Nanos) (string, *api.BookingConfig) {
	var queue string
	var booking *api.BookingConfig
	for _, put := range f.acceptedPuts() {
		if put.Answered > at || put.Config == nil {
			continue
		}
		queue, booking = firstBooking(put.Config)
	}
	return queue, booking
}

func firstBooking(config *api.Config) (string, *api.BookingConfig) {
	for _, queue := range config.Queues {
		if len(queue.Bookings) > 0 {
			return queue.Name, &queue.Bookings[0]
		}
	}
	return "", nil
}

// committedCapacity returns, by worker, the resources in use at a moment by
// non-preemptible runs of other queues.
func (f *facts) committedCapacity(queue string, at monoclock.Nanos) map[string]api.Resources {
	used := map[string]api.Resources{}
	for _, taskRun := range f.runs {
		spec := f.spec(taskRun.name)
		if taskRun.Mono > at || taskRun.endedBy <= at || spec.Preemptible || f.jobs[taskRun.name.Job].spec.Queue == queue {
			continue
		}
		used[taskRun.Worker] = used[taskRun.Worker].Add(spec.Resources)
	}
	return used
}

// slicesThatFit returns how many slices fit into a capacity.
func slicesThatFit(capacity, slice api.Resources) int {
	slots := 0
	for total := slice; total.Fits(capacity); total = total.Add(slice) {
		slots++
	}
	return slots
}
