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

// Queues beside those of the deployment.
const (
	// queueOthers takes the ordinary load of the booked queue.
	queueOthers      = "others"
	queueFirm        = "firm-background"
	queuePreemptible = "preemptible-background"
	queueUnbooked    = "unbooked"
)

// The window and what is submitted at its start.
const (
	// windowAhead is the least time until the booked minute.
	windowAhead    = 30 * time.Second
	windowDuration = 2 * time.Minute
	bookingLead    = 25 * time.Second

	// slicesPerWorker and slicesBooked: a slice is one of that many parts of a
	// worker's capacity, and that many of the parts are booked on average.
	slicesPerWorker = 64
	slicesBooked    = 20
	burstJobs       = deployment.Workers
	// burstRun is so long that a burst cannot use its own capacity twice.
	burstRun     = 10 * time.Second
	burstTimeout = 45 * time.Second
)

// The background: more than all capacity, in tasks of twice a slice.
const (
	backgroundPerWorker = slicesPerWorker / 2
	backgroundCapacity  = backgroundPerWorker * deployment.Workers
	backgroundTasks     = 16
	// Firm tasks that were placed just before the lead end before the window.
	firmMaxDuration = 20 * time.Second
	firmShortest    = 12 * time.Second
	firmLongest     = 18 * time.Second
	preemptibleRun  = 60 * time.Second
	// ordinaryPerSecond is the rate of each kind of ordinary job. The booked
	// burst is to compete with the background, not with ordinary work.
	ordinaryPerSecond = 0.25
	// cancelWidth is how many jobs are cancelled at once.
	cancelWidth = 16
)

// bookedBurst is a full fleet at a booked moment.
type bookedBurst struct {
	// queue has the booking, service is that of its tasks.
	queue   string
	service string
}

var (
	swapsRun   = bookedBurst{queue: "swaps", service: "swap"}
	billingRun = bookedBurst{queue: "billing", service: "bill"}
)

// prepare gives all queues the same priority, so that nothing but the booking
// distinguishes them, and moves ordinary work out of the booked queue.
func (b bookedBurst) prepare(d *deployment.Deployment) {
	for _, name := range []string{queueOthers, queueFirm, queuePreemptible, queueUnbooked} {
		d.Config.Queues = append(d.Config.Queues, api.QueueConfig{Name: name})
	}
	for index := range d.Config.Queues {
		d.Config.Queues[index].Priority = 0
		d.Config.Queues[index].Weight = 0
	}
	for _, shape := range []*deployment.Shape{&d.Shapes.Short, &d.Shapes.Batch} {
		shape.PerSecond = ordinaryPerSecond
		if shape.Queue == b.queue {
			shape.Queue = queueOthers
		}
	}
}

// run fills the fleet, books the next minute, and submits two equal bursts when it
// begins.
func (b bookedBurst) run(ctx context.Context, env Env) error {
	moment := nextMinute(time.Now())
	if err := b.putBooking(ctx, env, moment); err != nil {
		return err
	}
	anchor := monoclock.NewAnchor()
	background := b.background(env.Fleet.Deployment(), env.Seed, time.Until(moment))
	for _, job := range background {
		env.Callers.Submit(job)
	}
	if err := sleep(ctx, time.Until(moment)); err != nil {
		return err
	}
	env.Callers.RecordMilestone(calllog.MilestoneBooked, anchor.At(moment))
	err := b.burst(ctx, env)
	env.Callers.Cancel(ctx, cancelWidth, idsOf(background))
	return err
}

// nextMinute returns the first full minute that is far enough ahead.
func nextMinute(now time.Time) time.Time {
	earliest := now.Add(windowAhead)
	return earliest.Add(time.Minute - time.Nanosecond).Truncate(time.Minute).UTC()
}

// putBooking puts the configuration in force with the booking.
func (b bookedBurst) putBooking(ctx context.Context, env Env, moment time.Time) error {
	present, err := env.Operator.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	index := slices.IndexFunc(present.Config.Queues, func(queue api.QueueConfig) bool { return queue.Name == b.queue })
	if index < 0 {
		return fmt.Errorf("the deployment %s has no queue %s", env.Fleet.Deployment().Name, b.queue)
	}
	// The call log holds what was read.
	present.Config.Queues = slices.Clone(present.Config.Queues)
	present.Config.Queues[index].Bookings = []api.BookingConfig{b.booking(workerCapacity(env.Fleet.Deployment()), moment)}
	if _, err := env.Operator.Put(ctx, present.Version, "lab-booking", present.Config); err != nil {
		return fmt.Errorf("put the booking: %w", err)
	}
	return nil
}

func (b bookedBurst) booking(capacity api.Resources, moment time.Time) api.BookingConfig {
	return api.BookingConfig{
		Name: "lab", DailyAt: moment.Format("15:04"), TimeZone: "UTC",
		Duration: api.Duration(windowDuration), Lead: api.Duration(bookingLead),
		Slots: slicesBooked * deployment.Workers, Slice: fractionOf(capacity, slicesPerWorker), Service: b.service,
	}
}

// workerCapacity returns the capacity of one worker; all have the same.
func workerCapacity(d deployment.Deployment) api.Resources {
	return d.ByRole(deployment.RoleWorker)[0].Capacity
}

// background returns jobs that use all capacity until the bursts have ended: half of it
// by tasks that may not be preempted, the other half by preemptible ones, in one turn
// after the other. Both queues wait for more than their half.
func (b bookedBurst) background(d deployment.Deployment, seed uint64, lead time.Duration) []load.Job {
	task := api.TaskSpec{Service: b.service, Resources: fractionOf(workerCapacity(d), backgroundPerWorker)}
	firm := jobTemplate{
		name: "firm", class: calllog.ClassBackground, queue: queueFirm, tasks: backgroundTasks, task: task,
		shortest: firmShortest, longest: firmLongest,
	}
	firm.task.MaxDuration = api.Duration(firmMaxDuration)
	preemptible := jobTemplate{
		name: "preemptible", class: calllog.ClassBackground, queue: queuePreemptible, tasks: backgroundTasks, task: task,
		shortest: preemptibleRun, longest: preemptibleRun,
	}
	preemptible.task.Preemptible = true
	needed := lead + burstTimeout
	return slices.Concat(
		firm.jobs(seed, backgroundJobs(needed, firmShortest)),
		preemptible.jobs(seed, backgroundJobs(needed, preemptibleRun)),
	)
}

// backgroundJobs is the number of jobs whose tasks of that length use all capacity for
// a time.
func backgroundJobs(needed, length time.Duration) int {
	turns := int(needed/length) + 1
	return (turns*backgroundCapacity + backgroundTasks - 1) / backgroundTasks
}

// bursts returns the jobs of both bursts, one of each in turn.
func (b bookedBurst) bursts(d deployment.Deployment, seed uint64) []load.Job {
	booked := jobTemplate{
		name: "booked", class: calllog.ClassBooked, queue: b.queue, tasks: slicesBooked,
		task:     api.TaskSpec{Service: b.service, Resources: fractionOf(workerCapacity(d), slicesPerWorker)},
		shortest: burstRun, longest: burstRun,
	}
	unbooked := booked
	unbooked.name, unbooked.class, unbooked.queue = "unbooked", calllog.ClassUnbooked, queueUnbooked
	var jobs []load.Job
	for number := range burstJobs {
		jobs = append(jobs, booked.job(seed, number), unbooked.job(seed, number))
	}
	return jobs
}

// burst submits both bursts at once and waits until all their jobs have ended.
func (b bookedBurst) burst(ctx context.Context, env Env) error {
	jobs := b.bursts(env.Fleet.Deployment(), env.Seed)
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
