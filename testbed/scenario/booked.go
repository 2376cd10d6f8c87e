package scenario

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/load"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Queues that are added to those of the deployment.
const (
	// queueOthers gets the ordinary jobs that the deployment submits to the booked queue.
	queueOthers      = "others"
	queueFirm        = "firm-background"
	queuePreemptible = "preemptible-background"
	queueUnbooked    = "unbooked"
)

// The booked window and the bursts that are submitted at its start.
const (
	// minTimeToWindow is the minimum time until the start of the booked window.
	minTimeToWindow = 30 * time.Second
	windowDuration  = 2 * time.Minute
	bookingLead     = 25 * time.Second

	// A slice is 1/slicesPerWorker of a worker's capacity. On average
	// bookedSlicesPerWorker slices of each worker are booked.
	slicesPerWorker       = 64
	bookedSlicesPerWorker = 20
	jobsPerBurst          = deployment.Workers
	// burstTaskDuration is long enough that no task of a burst starts on capacity that
	// another task of the burst has released.
	burstTaskDuration = 10 * time.Second
	burstTimeout      = 45 * time.Second
)

// These constants describe the background load: more work than the fleet has capacity for,
// in tasks of two slices.
const (
	backgroundTasksPerWorker = slicesPerWorker / 2
	backgroundTasksPerRound  = backgroundTasksPerWorker * deployment.Workers
	backgroundTasksPerJob    = 16
	// firmMaxDuration is shorter than bookingLead, so that a task that cannot be preempted
	// ends before the window even if it starts just before the lead time begins.
	firmMaxDuration         = 20 * time.Second
	firmMinTaskDuration     = 12 * time.Second
	firmMaxTaskDuration     = 18 * time.Second
	preemptibleTaskDuration = 60 * time.Second
	// ordinaryJobsPerSecond is the rate of each kind of ordinary job. It is low, as the
	// booked burst should compete with the background load, not with ordinary jobs.
	ordinaryJobsPerSecond = 0.25
	// cancelConcurrency is the number of concurrent cancel calls.
	cancelConcurrency = 16
)

// bookedBurst is a scenario in which a burst for a booked queue arrives at the start of the
// window while the fleet has no free capacity.
type bookedBurst struct {
	// queue is the queue with the booking, service the service of its tasks.
	queue   string
	service string
}

var (
	swapsRun   = bookedBurst{queue: "swaps", service: "swap"}
	billingRun = bookedBurst{queue: "billing", service: "bill"}
)

// prepare gives all queues the same priority and weight, so that only the booking
// distinguishes them, and moves ordinary jobs out of the booked queue.
func (b bookedBurst) prepare(d *deployment.Deployment) {
	for _, name := range []string{queueOthers, queueFirm, queuePreemptible, queueUnbooked} {
		d.Config.Queues = append(d.Config.Queues, api.QueueConfig{Name: name})
	}
	for index := range d.Config.Queues {
		d.Config.Queues[index].Priority = 0
		d.Config.Queues[index].Weight = 0
	}
	for _, shape := range []*deployment.Shape{&d.Shapes.Short, &d.Shapes.Batch} {
		shape.JobsPerSecond = ordinaryJobsPerSecond
		if shape.Queue == b.queue {
			shape.Queue = queueOthers
		}
	}
}

// run books a window at the next full minute, fills the fleet with the background load, and
// submits two equal bursts when the window starts: one to the booked queue, one to another.
func (b bookedBurst) run(ctx context.Context, env Env) error {
	windowStart := nextMinute(time.Now())
	if err := b.putBooking(ctx, env, windowStart); err != nil {
		return err
	}
	anchor := monoclock.NewAnchor()
	background := b.backgroundJobs(env.Fleet.Deployment(), env.Seed, time.Until(windowStart))
	for _, job := range background {
		env.Callers.Submit(job)
	}
	if err := sleep(ctx, time.Until(windowStart)); err != nil {
		return err
	}
	env.Callers.RecordMilestone(calllog.MilestoneBooked, anchor.At(windowStart))
	err := b.runBursts(ctx, env)
	env.Callers.Cancel(ctx, cancelConcurrency, idsOf(background))
	return err
}

// nextMinute returns the first full minute that is at least minTimeToWindow after now.
func nextMinute(now time.Time) time.Time {
	earliest := now.Add(minTimeToWindow)
	return earliest.Add(time.Minute - time.Nanosecond).Truncate(time.Minute).UTC()
}

// putBooking adds the booking to the configuration in force and puts the result.
func (b bookedBurst) putBooking(ctx context.Context, env Env, windowStart time.Time) error {
	present, err := env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	index := slices.IndexFunc(present.Config.Queues, func(queue api.QueueConfig) bool { return queue.Name == b.queue })
	if index < 0 {
		return fmt.Errorf("the deployment %s has no queue %s", env.Fleet.Deployment().Name, b.queue)
	}
	// The call log has a reference to the slice that was read, so only a copy may be changed.
	present.Config.Queues = slices.Clone(present.Config.Queues)
	present.Config.Queues[index].Bookings = []api.BookingConfig{b.booking(workerCapacity(env.Fleet.Deployment()), windowStart)}
	if _, err := env.Operator.Put(ctx, present.Version, "lab-booking", present.Config); err != nil {
		return fmt.Errorf("put the booking: %w", err)
	}
	return nil
}

// booking returns the booking for a window that starts at that time of day.
func (b bookedBurst) booking(capacity api.Resources, windowStart time.Time) api.BookingConfig {
	return api.BookingConfig{
		Name: "lab", DailyAt: windowStart.Format("15:04"), TimeZone: "UTC",
		Duration: api.Duration(windowDuration), Lead: api.Duration(bookingLead),
		Slots: bookedSlicesPerWorker * deployment.Workers, Slice: fractionOf(capacity, slicesPerWorker), Service: b.service,
	}
}

// workerCapacity returns the capacity of one worker; all workers have the same.
func workerCapacity(d deployment.Deployment) api.Resources {
	return d.ByRole(deployment.RoleWorker)[0].Capacity
}

// backgroundJobs returns jobs that use all capacity until the bursts have ended: half of it
// by tasks that cannot be preempted, the other half by preemptible tasks, in consecutive
// rounds. Each queue has more work than its half can run.
func (b bookedBurst) backgroundJobs(d deployment.Deployment, seed uint64, lead time.Duration) []load.Job {
	task := api.TaskSpec{Service: b.service, Resources: fractionOf(workerCapacity(d), backgroundTasksPerWorker)}
	firm := jobTemplate{
		name: "firm", class: calllog.ClassBackground, queue: queueFirm, tasks: backgroundTasksPerJob, task: task,
		minTaskDuration: firmMinTaskDuration, maxTaskDuration: firmMaxTaskDuration,
	}
	firm.task.MaxDuration = api.Duration(firmMaxDuration)
	preemptible := jobTemplate{
		name: "preemptible", class: calllog.ClassBackground, queue: queuePreemptible, tasks: backgroundTasksPerJob, task: task,
		minTaskDuration: preemptibleTaskDuration, maxTaskDuration: preemptibleTaskDuration,
	}
	preemptible.task.Preemptible = true
	period := lead + burstTimeout
	return slices.Concat(
		firm.jobs(seed, backgroundJobCount(period, firmMinTaskDuration)),
		preemptible.jobs(seed, backgroundJobCount(period, preemptibleTaskDuration)),
	)
}

// backgroundJobCount returns the number of jobs that use all capacity for a period if each
// of their tasks runs for taskDuration.
func backgroundJobCount(period, taskDuration time.Duration) int {
	rounds := int(period/taskDuration) + 1
	return (rounds*backgroundTasksPerRound + backgroundTasksPerJob - 1) / backgroundTasksPerJob
}

// burstJobs returns the jobs of both bursts, alternating between the two.
func (b bookedBurst) burstJobs(d deployment.Deployment, seed uint64) []load.Job {
	booked := jobTemplate{
		name: "booked", class: calllog.ClassBooked, queue: b.queue, tasks: bookedSlicesPerWorker,
		task:            api.TaskSpec{Service: b.service, Resources: fractionOf(workerCapacity(d), slicesPerWorker)},
		minTaskDuration: burstTaskDuration, maxTaskDuration: burstTaskDuration,
	}
	unbooked := booked
	unbooked.name, unbooked.class, unbooked.queue = "unbooked", calllog.ClassUnbooked, queueUnbooked
	var jobs []load.Job
	for number := range jobsPerBurst {
		jobs = append(jobs, booked.job(seed, number), unbooked.job(seed, number))
	}
	return jobs
}

// runBursts submits all jobs of both bursts concurrently and waits until they have ended. It
// returns an error if they have not ended within burstTimeout.
func (b bookedBurst) runBursts(ctx context.Context, env Env) error {
	jobs := b.burstJobs(env.Fleet.Deployment(), env.Seed)
	ctx, cancel := context.WithTimeout(ctx, burstTimeout)
	defer cancel()
	accepted := env.Callers.SubmitAll(ctx, len(jobs), jobs)
	if len(accepted) < len(jobs) {
		return fmt.Errorf("%d of %d jobs of the bursts were accepted", len(accepted), len(jobs))
	}
	if ended := env.Callers.Watch(ctx, len(jobs), accepted); ended < len(jobs) {
		return fmt.Errorf("%d of %d jobs of the bursts ended within %v", ended, len(jobs), burstTimeout)
	}
	return nil
}
