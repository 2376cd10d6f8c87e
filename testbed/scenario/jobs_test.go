package scenario

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/load"
)

// newPreparedDeployment returns a deployment after a scenario's Prepare. It fails the test
// if the configuration is invalid.
func newPreparedDeployment(t *testing.T, name string, prepare func(*deployment.Deployment)) deployment.Deployment {
	t.Helper()
	d, err := deployment.New(name, 0)
	if err != nil {
		t.Fatal(err)
	}
	prepare(&d)
	if invalid := api.ValidateConfig(&d.Config); len(invalid) != 0 {
		t.Fatalf("got invalid fields %v in the prepared configuration, want none", invalid)
	}
	return d
}

// countTasks returns the number of tasks and the sum of their resources by class. It fails
// the test if a job is invalid or an id is repeated.
func countTasks(t *testing.T, d deployment.Deployment, jobs []load.Job) (map[calllog.Class]int, map[calllog.Class]api.Resources) {
	t.Helper()
	ids := map[string]bool{}
	tasks, capacity := map[calllog.Class]int{}, map[calllog.Class]api.Resources{}
	for _, job := range jobs {
		if invalid := api.ValidateJob(job.ID, &job.Spec, &d.Config); len(invalid) != 0 || ids[job.ID] {
			t.Fatalf("job %s has a repeated id or is invalid: %v", job.ID, invalid)
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
		d := newPreparedDeployment(t, name, run.prepare)
		booking := run.booking(workerCapacity(d), time.Unix(60, 0).UTC())
		tasks, capacity := countTasks(t, d, run.burstJobs(d, 1))
		if tasks[calllog.ClassBooked] != booking.Slots || tasks[calllog.ClassUnbooked] != booking.Slots {
			t.Errorf("%s: got bursts of %v tasks, want %d each", name, tasks, booking.Slots)
		}
		if capacity[calllog.ClassBooked] != capacity[calllog.ClassUnbooked] || booking.DailyAt != "00:01" {
			t.Errorf("%s: got resources of the bursts %v, want equal ones; got a booking at %s, want 00:01", name, capacity, booking.DailyAt)
		}
		for _, queue := range d.Config.Queues {
			if queue.Priority != 0 {
				t.Errorf("%s: queue %s has priority %d, want 0", name, queue.Name, queue.Priority)
			}
		}
		if d.Shapes.Short.Queue == run.queue || d.Shapes.Batch.Queue == run.queue {
			t.Errorf("%s: ordinary jobs are submitted to the booked queue, want another queue", name)
		}
	}
}

func TestBookedBurst_BackgroundFillsCapacityUntilBurstsEnd(t *testing.T) {
	d := newPreparedDeployment(t, "cartago", billingRun.prepare)
	jobs := billingRun.backgroundJobs(d, 1, 90*time.Second)
	_, capacity := countTasks(t, d, jobs)
	rounds := capacity[calllog.ClassBackground].CPUMillis / (workerCapacity(d).CPUMillis * deployment.Workers)
	wantRounds := int64((90*time.Second+burstTimeout)/firmMinTaskDuration) + int64((90*time.Second+burstTimeout)/preemptibleTaskDuration)
	if rounds < wantRounds {
		t.Errorf("the background load fills the fleet %d times, want at least %d", rounds, wantRounds)
	}
	firm, preemptible := jobs[0].Spec.Steps[0].Tasks[0], jobs[len(jobs)-1].Spec.Steps[0].Tasks[0]
	if firm.Preemptible || firm.MaxDuration.Std() >= bookingLead || !preemptible.Preemptible {
		t.Errorf("got tasks %+v and %+v, want one that is not preemptible and shorter than the lead, and a preemptible one", firm, preemptible)
	}
}

func TestNextMinute_IsFarEnoughAhead(t *testing.T) {
	for lead, want := range map[time.Duration]time.Duration{
		0: time.Minute, 30 * time.Second: time.Minute, 30*time.Second + 1: 2 * time.Minute, 59 * time.Second: 2 * time.Minute,
	} {
		if got := nextMinute(time.Unix(0, 0).Add(lead)); !got.Equal(time.Unix(0, 0).Add(want)) {
			t.Errorf("%v after the minute: got %v, want %v", lead, got, want)
		}
	}
}

func TestFlood_OnlyDiscardedJobsAreValid(t *testing.T) {
	d := newPreparedDeployment(t, "restrepo", prepareFlood)
	templates := newFloodTemplates(d)
	next := templates.nextRejected(1)
	ids := map[string]bool{}
	classes := map[calllog.Class]int{}
	for number := range 300 {
		job := next(number)
		ids[job.ID] = true
		classes[job.Class]++
	}
	if len(ids) != 300 || classes[calllog.ClassImpossible] != 200 || classes[calllog.ClassOverQuota] != 100 {
		t.Errorf("got %d ids and classes %v, want 300 ids, 200 impossible jobs and 100 over the quota", len(ids), classes)
	}
	if tasks, _ := countTasks(t, d, templates.discarded.jobs(1, 5)); tasks[calllog.ClassDiscarded] != 5 {
		t.Errorf("got tasks to be cancelled %v, want 5", tasks)
	}
	if templates.filler.tasks != quotaTasks || templates.filler.tasks-1+overQuotaTasks <= quotaTasks {
		t.Error("a job of overQuotaTasks fits into the quota beside the filler job, want it to exceed the quota")
	}
	if large := templates.rejected[1].task.Resources; large.Fits(workerCapacity(d)) {
		t.Errorf("task resources %+v fit on a worker, want them to exceed its capacity", large)
	}
}
