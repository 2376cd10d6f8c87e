package stored

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// startTime is the cluster time of the first command, in Unix milliseconds.
const startTime record.Millis = 1_767_225_600_000

// command is one command of the script.
type command struct {
	// name says what the command shows in the golden files; resends share a name.
	name string
	// offset is the time of the command since startTime.
	offset time.Duration
	record.Command
}

// script returns the commands that the replicas of the corpus apply, in order. They
// include every kind of command, and set every field of each kind at least once.
func script() []command {
	var commands []command
	commands = append(commands, configurations()...)
	commands = append(commands, registrations()...)
	commands = append(commands, submissions()...)
	commands = append(commands, singleRuns()...)
	commands = append(commands, gangRuns()...)
	commands = append(commands, repeatingJobs()...)
	commands = append(commands, largeJobs()...)
	commands = append(commands, operatorCommands()...)
	for i := range commands {
		commands[i].Time = startTime + record.MillisOf(commands[i].offset)
	}
	return commands
}

// submittedJobs returns the ids in the script's submissions, in order. An id that is
// submitted several times occurs as often.
func submittedJobs() []string {
	var ids []string
	for _, c := range script() {
		if c.SubmitJob != nil {
			ids = append(ids, c.SubmitJob.ID)
		}
	}
	return ids
}

func putConfig(orderID string, base uint64, config api.Config, refusal *api.Error) *record.PutConfig {
	return &record.PutConfig{OrderID: orderID, Base: base, Config: config, Digest: config.Digest(), Refusal: refusal}
}

func submit(id string, spec api.JobSpec) *record.SubmitJob {
	return &record.SubmitJob{ID: id, Spec: spec, Digest: spec.Digest()}
}

func runOf(job, step string, index int, number uint32) record.RunID {
	return record.RunID{Task: record.TaskID{Job: job, Step: step, Index: index}, Number: number}
}

func occurrenceRun(job, step string, occurrence int, number uint32) record.RunID {
	return record.RunID{Task: record.TaskID{Job: job, Step: step, Occurrence: occurrence}, Number: number}
}

// placementOn returns the placement of a run on the first incarnation of a worker.
func placementOn(worker string, run record.RunID) record.Placement {
	return record.Placement{Run: run, WorkerID: worker + "-life-1", Worker: worker}
}

func place(placements ...record.Placement) *record.PlaceTasks {
	return &record.PlaceTasks{Placements: placements}
}

func closeRuns(ends ...record.RunEnd) *record.CloseRuns { return &record.CloseRuns{Runs: ends} }

func runEnd(run record.RunID, outcome api.Outcome, message string) record.RunEnd {
	return record.RunEnd{Run: run, Outcome: outcome, Message: message}
}

// configuration returns a configuration that sets every field of api.Config.
func configuration() api.Config {
	return api.Config{
		Annotations: map[string]string{"owner": "operations", "change": "17"},
		Queues: []api.QueueConfig{
			{
				Name:                   "batch",
				Annotations:            map[string]string{"cost-center": "42"},
				Service:                "convert",
				Objective:              &api.ObjectiveConfig{Target: api.Duration(90 * time.Second), Stretch: 1.5, RefuseBeyond: 20},
				Priority:               7,
				Weight:                 3,
				MaxRunningTasks:        40,
				MaxPendingTasks:        5000,
				HeadroomPercent:        10,
				CallerShare:            0.25,
				DefaultAllowedFailures: 2,
				Team:                   "media",
				Bookings:               bookings(),
			},
			{Name: "narrow", MaxRunningTasks: 1, Team: "media"},
			{Name: "open"},
		},
		Teams:   []api.TeamConfig{{Name: "media", MaxRunningTasks: 30, MaxPendingTasks: 4000}},
		Drains:  api.DrainConfig{Workers: []string{"retired"}, Zones: []string{"south"}},
		Limits:  api.LimitConfig{MaxJobBytes: 2 << 20, MaxTasksPerJob: 800, MaxPendingTasks: 90_000, SubmitsPerSecond: 250},
		Timings: timings(),
	}
}

func bookings() []api.BookingConfig {
	return []api.BookingConfig{
		{
			Name: "evening", DailyAt: "18:30", TimeZone: "America/Bogota",
			Duration: api.Duration(2 * time.Hour), Lead: api.Duration(10 * time.Minute),
			Slots: 4, Slice: api.Resources{CPUMillis: 500, MemoryMB: 256, Accelerators: 1},
			Service: "convert", Labels: map[string]string{"disk": "fast"}, BestEffort: true,
		},
		{Name: "hourly", Cron: "5 * * * *", Duration: api.Duration(time.Minute), Slots: 1},
	}
}

func timings() api.TimingConfig {
	return api.TimingConfig{
		HeartbeatInterval: api.Duration(250 * time.Millisecond),
		Hold:              api.Duration(4 * time.Second),
		DriftMargin:       api.Duration(400 * time.Millisecond),
		RetryDelay:        api.Duration(300 * time.Millisecond),
		DrainGrace:        api.Duration(15 * time.Second),
		MaxPreemptions:    5,
		Retention:         api.Duration(100 * time.Hour),
	}
}

func configurations() []command {
	first, second := configuration(), configuration()
	second.Annotations = nil
	second.Queues[1].MaxRunningTasks = 2
	refusal := &api.Error{
		Status: 422, Code: api.CodeInvalid, Message: "the configuration has wrong fields", RetryAfterMillis: 1500,
		Fields: []api.FieldError{{Field: "queues[0].weight", Value: "-1", Expected: "1 to 1000"}},
	}
	return []command{
		{"first configuration", 0, record.Command{Token: 2, PutConfig: putConfig("order-1", 0, first, nil)}},
		{"same order again", 10 * time.Millisecond, record.Command{Token: 2, PutConfig: putConfig("order-1", 0, first, nil)}},
		{"same order with another configuration", 20 * time.Millisecond, record.Command{Token: 2, PutConfig: putConfig("order-1", 0, second, nil)}},
		{"order that lost the race", 30 * time.Millisecond, record.Command{Token: 2, PutConfig: putConfig("order-2", 9, second, nil)}},
		{"order refused by validation", 40 * time.Millisecond, record.Command{Token: 2, PutConfig: putConfig("order-3", 1, second, refusal)}},
		{"second configuration", 50 * time.Millisecond, record.Command{Token: 2, PutConfig: putConfig("order-4", 1, second, nil)}},
	}
}

func workerNamed(name, incarnation, zone string) record.Worker {
	return record.Worker{
		Name: name, ID: name + "-" + incarnation, Zone: zone,
		Capacity:     api.Resources{CPUMillis: 16_000, MemoryMB: 32_768, Accelerators: 4},
		Services:     []string{"convert", "index"},
		Labels:       map[string]string{"disk": "fast", "zone": zone},
		RegisteredAt: 5,
		Address:      "127.0.0.1:7001/" + name,
	}
}

func registrations() []command {
	plain := record.Worker{Name: "plain", ID: "plain-life-1", Zone: "north", Services: []string{"convert"}}
	workers := []record.Worker{workerNamed("w1", "life-1", "north"), workerNamed("w2", "life-1", "south"), plain}
	stranger := workerNamed("stranger", "life-1", "north")
	stranger.ID = "w1-life-1"
	return []command{
		{"three workers", time.Second, record.Command{Token: 2, RegisterWorkers: &record.RegisterWorkers{Workers: workers}}},
		{"worker under the id of another", 1010 * time.Millisecond, record.Command{Token: 2, RegisterWorkers: &record.RegisterWorkers{Workers: []record.Worker{stranger}}}},
		{"worker that comes back in another life", 1020 * time.Millisecond, record.Command{Token: 2, RegisterWorkers: &record.RegisterWorkers{Workers: []record.Worker{{Name: "plain", ID: "plain-life-2"}}}}},
	}
}

// taskWithEveryField returns a task that sets every field of api.TaskSpec except
// UntilCancelled.
func taskWithEveryField() api.TaskSpec {
	failures := 4
	return api.TaskSpec{
		Service:         "convert",
		Payload:         json.RawMessage(`{"film": "the long one", "from": 3}`),
		Resources:       api.Resources{CPUMillis: 1500, MemoryMB: 2048, Accelerators: 1},
		Labels:          map[string]string{"disk": "fast"},
		Prefer:          map[string]string{"zone": "north", "film": "cached"},
		Estimate:        api.Duration(45 * time.Second),
		Resumable:       true,
		BackupRuns:      true,
		Spread:          &api.Spread{By: api.SpreadByLabelPrefix + "zone", MaxPerDomain: 2},
		AllowedFailures: &failures,
		MaxDuration:     api.Duration(10 * time.Minute),
		Preemptible:     true,
	}
}

func smallTask() api.TaskSpec {
	return api.TaskSpec{Service: "convert", Resources: api.Resources{CPUMillis: 100}}
}

func stepOf(name string, count int, after ...string) api.StepSpec {
	step := api.StepSpec{Name: name, After: after}
	for range count {
		step.Tasks = append(step.Tasks, smallTask())
	}
	return step
}

// detailedJob returns a job that sets every field of api.JobSpec except Repeat, and
// every field of api.StepSpec except Lockstep and Replicas.
func detailedJob() api.JobSpec {
	notBefore := time.UnixMilli(int64(startTime)).Add(90*time.Second + 678*time.Millisecond).UTC()
	load := stepOf("load", 0, "extract", "transform")
	load.NotBefore = &notBefore
	load.Tasks = []api.TaskSpec{{Resources: api.Resources{MemoryMB: 64}}}
	transform := stepOf("transform", 2, "extract")
	transform.Together, transform.Colocate = true, "label:zone"
	return api.JobSpec{
		Queue: "batch", Priority: -3, Caller: "alice", Payload: json.RawMessage(`[1,2.50,"x"]`),
		Steps: []api.StepSpec{
			{Name: "extract", Tasks: []api.TaskSpec{taskWithEveryField(), smallTask()}},
			transform,
			load,
		},
	}
}

func jobOf(queue string, steps ...api.StepSpec) api.JobSpec {
	return api.JobSpec{Queue: queue, Steps: steps}
}

func submissions() []command {
	gang := stepOf("members", 3)
	gang.Together = true
	lockstep := api.StepSpec{Name: "members", Lockstep: true, Replicas: 3, Tasks: []api.TaskSpec{{
		Service: "convert", Resources: api.Resources{CPUMillis: 200}, Resumable: true,
	}}}
	resumable, failing, untilCancelled := stepOf("work", 1), stepOf("try", 2), stepOf("serve", 1)
	resumable.Tasks[0].Resumable = true
	failures := 1
	failing.Tasks[0].AllowedFailures = &failures
	untilCancelled.Tasks[0].UntilCancelled = true
	submitAfter := func(milliseconds int, id string, spec api.JobSpec) command {
		return command{"submission of " + id, 2*time.Second + time.Duration(milliseconds)*time.Millisecond, record.Command{Token: 2, SubmitJob: submit(id, spec)}}
	}
	return []command{
		submitAfter(0, "detailed", detailedJob()),
		submitAfter(10, "detailed", detailedJob()),
		submitAfter(20, "detailed", jobOf("open", stepOf("other", 1))),
		submitAfter(30, "without-queue", jobOf("closed", stepOf("a", 1))),
		submitAfter(40, "without-service", jobOf("open", api.StepSpec{Name: "a", Tasks: []api.TaskSpec{{}}})),
		submitAfter(50, "gang", jobOf("batch", gang)),
		submitAfter(60, "lockstep", jobOf("batch", lockstep, stepOf("after", 1, "members"))),
		submitAfter(70, "lockstep-open", jobOf("batch", lockstep)),
		submitAfter(80, "resumed", jobOf("open", resumable)),
		submitAfter(90, "doomed", jobOf("open", failing, stepOf("never", 2, "try"))),
		submitAfter(100, "endless", jobOf("open", untilCancelled)),
		submitAfter(110, "stopped", jobOf("open", stepOf("a", 5))),
		submitAfter(120, "lost", jobOf("narrow", stepOf("a", 3))),
		submitAfter(130, "cancelled-running", jobOf("open", stepOf("a", 2), stepOf("b", 1, "a"))),
		submitAfter(140, "cancelled-waiting", jobOf("open", stepOf("a", 1))),
		submitAfter(150, "retried", jobOf("open", stepOf("a", 1))),
		submitAfter(160, "succeeded", jobOf("open", stepOf("a", 1), stepOf("b", 1, "a"))),
		submitAfter(170, "expired", jobOf("open", stepOf("a", 1))),
	}
}

// singleRuns covers every way in which a run outside of a gang starts and ends.
func singleRuns() []command {
	detailed, resumed := runOf("detailed", "extract", 0, 1), runOf("resumed", "work", 0, 1)
	invalidUTF8 := "the worker's text has \xff in it"
	return []command{
		{"expired job starts", 5 * time.Second, record.Command{Token: 2, PlaceTasks: place(placementOn("w1", runOf("expired", "a", 0, 1)))}},
		{"expired job ends", 5100 * time.Millisecond, record.Command{Token: 2, CloseRuns: closeRuns(runEnd(runOf("expired", "a", 0, 1), api.OutcomeSucceeded, ""))}},
		{"runs start", 6 * time.Second, record.Command{Token: 2, PlaceTasks: place(
			placementOn("w1", detailed), placementOn("w2", resumed), placementOn("w1", runOf("doomed", "try", 0, 1)), placementOn("w1", runOf("doomed", "try", 1, 1)),
			placementOn("w2", runOf("endless", "serve", 0, 1)), placementOn("w1", runOf("lost", "a", 0, 1)), placementOn("w2", runOf("lost", "a", 1, 1)),
			placementOn("w1", runOf("cancelled-running", "a", 0, 1)), placementOn("w2", runOf("retried", "a", 0, 1)), placementOn("w1", runOf("succeeded", "a", 0, 1)),
		)}},
		{"placements that do not hold", 6010 * time.Millisecond, record.Command{Token: 2, PlaceTasks: place(
			placementOn("w1", runOf("lost", "a", 2, 1)), placementOn("w1", runOf("stopped", "a", 0, 2)), placementOn("unknown", runOf("stopped", "a", 0, 1)),
			placementOn("w1", runOf("unknown", "a", 0, 1)), placementOn("plain", runOf("stopped", "a", 0, 1)), placementOn("w1", runOf("detailed", "load", 0, 1)),
		)}},
		{"runs that are to stop start", 6100 * time.Millisecond, record.Command{Token: 3, PlaceTasks: place(
			placementOn("w1", runOf("stopped", "a", 0, 1)), placementOn("w1", runOf("stopped", "a", 1, 1)), placementOn("w2", runOf("stopped", "a", 2, 1)),
			placementOn("w2", runOf("stopped", "a", 3, 1)),
		)}},
		{"stop for a drain", 6200 * time.Millisecond, record.Command{Token: 3, StopRuns: &record.StopRuns{Runs: []record.RunID{runOf("stopped", "a", 0, 1)}, Reason: record.StopDrained}}},
		{"stop for others", 6210 * time.Millisecond, record.Command{Token: 3, StopRuns: &record.StopRuns{Runs: []record.RunID{runOf("stopped", "a", 1, 1)}, Reason: record.StopPreempted}}},
		{"stop of a stalled run", 6220 * time.Millisecond, record.Command{Token: 3, StopRuns: &record.StopRuns{Runs: []record.RunID{runOf("stopped", "a", 2, 1)}, Reason: record.StopStalled}}},
		{"stop of a group", 6230 * time.Millisecond, record.Command{Token: 3, StopRuns: &record.StopRuns{Runs: []record.RunID{runOf("stopped", "a", 3, 1), runOf("unknown", "a", 0, 1)}, Reason: record.StopGang}}},
		{"stopped runs end", 6300 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(
			runEnd(runOf("stopped", "a", 0, 1), api.OutcomeStopped, ""), runEnd(runOf("stopped", "a", 1, 1), api.OutcomeStopped, ""),
		)}},
		{"run ends with a checkpoint", 6400 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(
			record.RunEnd{Run: resumed, Outcome: api.OutcomeStopped, Message: "gave way", Checkpoint: "frame 1200", Percent: 60},
		)}},
		{"run starts from a checkpoint", 6500 * time.Millisecond, record.Command{Token: 3, PlaceTasks: place(placementOn("w1", runOf("resumed", "work", 0, 2)))}},
		{"runs fail", 6600 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(
			runEnd(runOf("doomed", "try", 0, 1), api.OutcomeFailed, "broken: "+strings.Repeat("long ", 300)),
			runEnd(runOf("doomed", "try", 1, 1), api.OutcomeSucceeded, ""),
			runEnd(runOf("retried", "a", 0, 1), api.OutcomeFailed, invalidUTF8),
			runEnd(runOf("endless", "serve", 0, 1), api.OutcomeFailed, "address in use"),
		)}},
		{"runs are lost", 6700 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(runEnd(runOf("lost", "a", 0, 1), api.OutcomeLost, ""), runEnd(runOf("lost", "a", 1, 1), api.OutcomeLost, ""))}},
		{"lost run reports its success late", 6800 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(runEnd(runOf("lost", "a", 0, 1), api.OutcomeSucceeded, ""))}},
		{"retry before its pause is over", 6850 * time.Millisecond, record.Command{Token: 3, PlaceTasks: place(placementOn("w1", runOf("retried", "a", 0, 2)))}},
		{"cancel", 6900 * time.Millisecond, record.Command{Token: 3, CancelJobs: &record.CancelJobs{Jobs: []string{"cancelled-running", "cancelled-waiting", "unknown"}}}},
		{"first step ends", 7 * time.Second, record.Command{Token: 3, CloseRuns: closeRuns(runEnd(runOf("succeeded", "a", 0, 1), api.OutcomeSucceeded, "done"))}},
		{"second step starts", 7100 * time.Millisecond, record.Command{Token: 3, PlaceTasks: place(placementOn("w2", runOf("succeeded", "b", 0, 1)))}},
		{"job ends", 7200 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(runEnd(runOf("succeeded", "b", 0, 1), api.OutcomeSucceeded, "done"))}},
		{"endless task succeeds and starts again", 20 * time.Second, record.Command{Token: 3, PlaceTasks: place(placementOn("w1", runOf("endless", "serve", 0, 2)))}},
		{"endless task ended", 31 * time.Second, record.Command{Token: 3, CloseRuns: closeRuns(runEnd(runOf("endless", "serve", 0, 2), api.OutcomeSucceeded, ""))}},
	}
}

// gangRuns covers complete and incomplete placements of gangs, and members that fail,
// stop and succeed.
func gangRuns() []command {
	members := func(job string, number uint32) *record.PlaceTasks {
		return place(placementOn("w1", runOf(job, "members", 0, number)), placementOn("w2", runOf(job, "members", 1, number)), placementOn("w1", runOf(job, "members", 2, number)))
	}
	partial := members("gang", 1)
	partial.Placements = partial.Placements[:2]
	return []command{
		{"gang that is not whole", 32 * time.Second, record.Command{Token: 3, PlaceTasks: partial}},
		{"gang", 32010 * time.Millisecond, record.Command{Token: 3, PlaceTasks: members("gang", 1)}},
		{"group in lockstep", 32020 * time.Millisecond, record.Command{Token: 3, PlaceTasks: members("lockstep", 1)}},
		{"member fails", 32100 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(
			record.RunEnd{Run: runOf("lockstep", "members", 1, 1), Outcome: api.OutcomeFailed, Message: "no memory", Checkpoint: "round 7", Percent: 30},
		)}},
		{"others are stopped", 32200 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(
			record.RunEnd{Run: runOf("lockstep", "members", 0, 1), Outcome: api.OutcomeStopped, Checkpoint: "round 8", Percent: 35},
			runEnd(runOf("lockstep", "members", 2, 1), api.OutcomeStopped, ""),
		)}},
		{"group starts again", 33 * time.Second, record.Command{Token: 3, PlaceTasks: members("lockstep", 2)}},
		{"member is marked to stop", 33100 * time.Millisecond, record.Command{Token: 3, StopRuns: &record.StopRuns{Runs: []record.RunID{runOf("lockstep", "members", 2, 2)}, Reason: record.StopPreempted}}},
		{"other group starts", 33200 * time.Millisecond, record.Command{Token: 3, PlaceTasks: members("lockstep-open", 1)}},
		{"member succeeds", 33300 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(runEnd(runOf("lockstep-open", "members", 1, 1), api.OutcomeSucceeded, ""))}},
	}
}

func repeatingJobs() []command {
	repeating := jobOf("batch", stepOf("a", 1), stepOf("b", 1, "a"))
	first := time.UnixMilli(int64(startTime)).Add(40*time.Second + 250*time.Microsecond).UTC()
	repeating.Repeat = &api.RepeatSpec{Times: 6, First: first, Interval: api.Duration(10*time.Second + 300*time.Microsecond)}
	finished, cancelled := repeating, repeating
	finished.Repeat = &api.RepeatSpec{Times: 1, First: first}
	expand := func(through int) *record.ExpandRepeats {
		return &record.ExpandRepeats{Jobs: []record.Expansion{{Job: "repeating", Through: through}, {Job: "unknown", Through: 1}}}
	}
	run := func(step string, occurrence int) record.RunID {
		return occurrenceRun("repeating", step, occurrence, 1)
	}
	return []command{
		{"repeating job", 35 * time.Second, record.Command{Token: 3, SubmitJob: submit("repeating", repeating)}},
		{"job of one occurrence", 35010 * time.Millisecond, record.Command{Token: 3, SubmitJob: submit("repeating-finished", finished)}},
		{"repeating job to cancel", 35020 * time.Millisecond, record.Command{Token: 3, SubmitJob: submit("repeating-cancelled", cancelled)}},
		{"occurrence before it falls due", 36 * time.Second, record.Command{Token: 3, PlaceTasks: place(placementOn("w1", run("a", 0)))}},
		{"occurrences fall due", 60200 * time.Millisecond, record.Command{Token: 3, ExpandRepeats: expand(2)}},
		{"occurrences start", 60300 * time.Millisecond, record.Command{Token: 3, PlaceTasks: place(placementOn("w1", run("a", 0)), placementOn("w2", run("a", 1)), placementOn("w1", run("a", 2)), placementOn("w1", occurrenceRun("repeating-finished", "a", 0, 1)))}},
		{"first steps end", 60400 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(
			runEnd(run("a", 0), api.OutcomeSucceeded, ""), runEnd(run("a", 1), api.OutcomeFailed, "no input"), runEnd(occurrenceRun("repeating-finished", "a", 0, 1), api.OutcomeSucceeded, ""),
		)}},
		{"second steps start", 60500 * time.Millisecond, record.Command{Token: 3, PlaceTasks: place(placementOn("w1", run("b", 0)), placementOn("w1", occurrenceRun("repeating-finished", "b", 0, 1)))}},
		{"occurrences end", 60600 * time.Millisecond, record.Command{Token: 3, CloseRuns: closeRuns(
			runEnd(run("b", 0), api.OutcomeSucceeded, ""), runEnd(occurrenceRun("repeating-finished", "b", 0, 1), api.OutcomeSucceeded, ""),
		)}},
		{"cancel of a repeating job", 60700 * time.Millisecond, record.Command{Token: 3, CancelJobs: &record.CancelJobs{Jobs: []string{"repeating-cancelled"}}}},
	}
}

// largePayload is the payload size in bytes at which a few jobs fill a segment of the
// write-ahead log, so that it continues in another one.
const largePayload = 900 << 10

func largeJobs() []command {
	var commands []command
	payload := json.RawMessage(`"` + strings.Repeat("x", largePayload) + `"`)
	for i, id := range []string{"large-1", "large-2", "large-3", "large-4", "large-5", "large-6"} {
		spec := jobOf("open", stepOf("a", 1))
		spec.Payload = payload
		offset := 61*time.Second + time.Duration(i)*time.Millisecond
		commands = append(commands,
			command{"submission of " + id, offset, record.Command{Token: 3, SubmitJob: submit(id, spec)}},
			command{"cancel of " + id, offset, record.Command{Token: 3, CancelJobs: &record.CancelJobs{Jobs: []string{id}}}},
		)
	}
	return commands
}

// operatorCommands returns commands that operators cause, and those that the leader
// issues itself, such as the expiry of the archive.
func operatorCommands() []command {
	window := func(booking string, start, end time.Duration) *record.ReleaseWindow {
		return &record.ReleaseWindow{
			Queue: "batch", Booking: booking,
			Start: startTime + record.MillisOf(start), End: startTime + record.MillisOf(end),
		}
	}
	newIncarnation := workerNamed("w1", "life-2", "north")
	changed := workerNamed("w2", "life-1", "south")
	changed.Labels["film"] = "cached"
	third := configuration()
	third.Queues = append(third.Queues, api.QueueConfig{Name: "added", Service: "index", Team: "media"})
	return []command{
		{"window given back", 70 * time.Second, record.Command{Token: 4, ReleaseWindow: window("evening", time.Minute, time.Hour)}},
		{"window given back again", 70010 * time.Millisecond, record.Command{Token: 4, ReleaseWindow: window("evening", time.Minute, time.Hour)}},
		{"window that ends soon given back", 70020 * time.Millisecond, record.Command{Token: 4, ReleaseWindow: window("hourly", time.Minute, 71*time.Second)}},
		{"second window given back", 70030 * time.Millisecond, record.Command{Token: 4, ReleaseWindow: window("hourly", time.Hour, 2*time.Hour)}},
		{"drain of a zone", 72 * time.Second, record.Command{Token: 4, DrainZone: &record.DrainZone{Zone: "south", Drained: true}}},
		{"drain of another zone", 72010 * time.Millisecond, record.Command{Token: 4, DrainZone: &record.DrainZone{Zone: "east", Drained: true}}},
		{"drain taken back", 72020 * time.Millisecond, record.Command{Token: 4, DrainZone: &record.DrainZone{Zone: "east"}}},
		{"drain of a third zone", 72030 * time.Millisecond, record.Command{Token: 4, DrainZone: &record.DrainZone{Zone: "west", Drained: true}}},
		{"workers forgotten", 73 * time.Second, record.Command{Token: 4, ForgetWorkers: &record.ForgetWorkers{Names: []string{"plain", "w1", "unknown"}}}},
		{"new life beside open runs, and a change", 73010 * time.Millisecond, record.Command{Token: 4, RegisterWorkers: &record.RegisterWorkers{Workers: []record.Worker{newIncarnation, changed, workerNamed("w3", "life-1", "west")}}}},
		{"third configuration", 74 * time.Second, record.Command{Token: 4, PutConfig: putConfig("order-5", 2, third, nil)}},
		{"job of the added queue", 74010 * time.Millisecond, record.Command{Token: 4, SubmitJob: submit("added", jobOf("added", api.StepSpec{Name: "a", Tasks: []api.TaskSpec{{}}}))}},
		{"earlier clock", 70 * time.Second, record.Command{Token: 4, CancelJobs: &record.CancelJobs{Jobs: []string{"doomed"}}}},
		{"expiry", 75 * time.Second, record.Command{Token: 4, ExpireArchive: &record.ExpireArchive{Before: startTime + 6_000, Limit: 10}}},
		{"expiry again", 76 * time.Second, record.Command{Token: 4, ExpireArchive: &record.ExpireArchive{Before: startTime + 6_000, Limit: 1}}},
		{"cancel of jobs that are not known", 77 * time.Second, record.Command{Token: 4, CancelJobs: &record.CancelJobs{Jobs: []string{"withdrawn", "doomed"}, Withdraw: true}}},
		{"submission after its cancel", 77010 * time.Millisecond, record.Command{Token: 4, SubmitJob: submit("withdrawn", jobOf("added", api.StepSpec{Name: "a", Tasks: []api.TaskSpec{{}}}))}},
	}
}
