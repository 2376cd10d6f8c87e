package scenario

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/load"
)

// prepared returns a deployment as a scenario changes it.
func prepared(t *testing.T, name string, prepare func(*deployment.Deployment)) deployment.Deployment {
	t.Helper()
	d, err := deployment.New(name, 0)
	if err != nil {
		t.Fatal(err)
	}
	prepare(&d)
	if wrong := api.ValidateConfig(&d.Config); len(wrong) != 0 {
		t.Fatalf("the prepared configuration is wrong: %v", wrong)
	}
	return d
}

// valid asserts that all jobs are taken and that no id comes twice. It returns
// the number of tasks and their resources by class.
func valid(t *testing.T, d deployment.Deployment, jobs []load.Job) (map[calllog.Class]int, map[calllog.Class]api.Resources) {
	t.Helper()
	ids := map[string]bool{}
	tasks, capacity := map[calllog.Class]int{}, map[calllog.Class]api.Resources{}
	for _, job := range jobs {
		if wrong := api.ValidateJob(job.ID, &job.Spec, &d.Config); len(wrong) != 0 || ids[job.ID] {
			t.Fatalf("%s is doubled or wrong: %v", job.ID, wrong)
		}
		ids[job.ID] = true
		for _, task := range job.Spec.Steps[0].Tasks {
			tasks[job.Class]++
			capacity[job.Class] = capacity[job.Class].Add(task.Resources)
		}
	}
	return tasks, capacity
}

func TestBookedBurst_BurstsEqualBookingSize(t *testing.T) {
	for name, run := range map[string]bookedBurst{"restrepo": swapsRun, "cartago": billingRun} {
		d := prepared(t, name, run.prepare)
		booking := run.booking(workerCapacity(d), time.Unix(60, 0).UTC())
		tasks, capacity := valid(t, d, run.bursts(d, 1))
		if tasks[calllog.ClassBooked] != booking.Slots || tasks[calllog.ClassUnbooked] != booking.Slots {
			t.Errorf("%s: bursts of %v tasks, want %d", name, tasks, booking.Slots)
		}
		if capacity[calllog.ClassBooked] != capacity[calllog.ClassUnbooked] || booking.DailyAt != "00:01" {
			t.Errorf("%s: bursts take %v, the booking is at %s", name, capacity, booking.DailyAt)
		}
		for _, queue := range d.Config.Queues {
			if queue.Priority != 0 {
				t.Errorf("%s: the queue %s has the priority %d", name, queue.Name, queue.Priority)
			}
		}
		if d.Shapes.Short.Queue == run.queue || d.Shapes.Batch.Queue == run.queue {
			t.Errorf("%s: ordinary work is submitted to the booked queue", name)
		}
	}
}

func TestBookedBurst_BackgroundFillsCapacityUntilBurstsEnd(t *testing.T) {
	d := prepared(t, "cartago", billingRun.prepare)
	jobs := billingRun.background(d, 1, 90*time.Second)
	_, capacity := valid(t, d, jobs)
	turns := capacity[calllog.ClassBackground].CPUMillis / (workerCapacity(d).CPUMillis * deployment.Workers)
	least := int64((90*time.Second+burstTimeout)/firmShortest) + int64((90*time.Second+burstTimeout)/preemptibleRun)
	if turns < least {
		t.Errorf("the background fills the fleet %d times, want %d", turns, least)
	}
	firm, preemptible := jobs[0].Spec.Steps[0].Tasks[0], jobs[len(jobs)-1].Spec.Steps[0].Tasks[0]
	if firm.Preemptible || firm.MaxDuration.Std() >= bookingLead || !preemptible.Preemptible {
		t.Errorf("tasks are %+v and %+v", firm, preemptible)
	}
}

func TestNextMinute_IsFarEnoughAhead(t *testing.T) {
	for lead, want := range map[time.Duration]time.Duration{
		0: time.Minute, 30 * time.Second: time.Minute, 30*time.Second + 1: 2 * time.Minute, 59 * time.Second: 2 * time.Minute,
	} {
		if got := nextMinute(time.Unix(0, 0).Add(lead)); !got.Equal(time.Unix(0, 0).Add(want)) {
			t.Errorf("%v after the minute: %v, want %v", lead, got, want)
		}
	}
}

func TestFlood_OnlyDiscardedJobsAreAcceptable(t *testing.T) {
	d := prepared(t, "restrepo", prepareFlood)
	kinds := newFloodTemplates(d)
	next := kinds.nextRejected(1)
	ids := map[string]bool{}
	classes := map[calllog.Class]int{}
	for number := range 300 {
		job := next(number)
		ids[job.ID] = true
		classes[job.Class]++
	}
	if len(ids) != 300 || classes[calllog.ClassImpossible] != 200 || classes[calllog.ClassOverQuota] != 100 {
		t.Errorf("%d ids, classes %v", len(ids), classes)
	}
	if tasks, _ := valid(t, d, kinds.discarded.jobs(1, 5)); tasks[calllog.ClassDiscarded] != 5 {
		t.Errorf("tasks to be cancelled are %v", tasks)
	}
	if kinds.filler.tasks != quotaTasks || kinds.filler.tasks-1+overQuotaTasks <= quotaTasks {
		t.Error("a job fits beside the one that fills the quota")
	}
	if large := kinds.rejected[1].task.Resources; large.Fits(workerCapacity(d)) {
		t.Errorf("%+v fits on a worker", large)
	}
}
