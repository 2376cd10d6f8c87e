package stored

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

// maxHexBytes is the length in bytes up to which hexOrDigest returns all of the data.
const maxHexBytes = 8 << 10

// hexOrDigest returns data in hex digits, or the length and SHA-256 of data longer
// than maxHexBytes.
func hexOrDigest(data []byte) string {
	if len(data) > maxHexBytes {
		sum := sha256.Sum256(data)
		return fmt.Sprintf("%d bytes, SHA-256 %x", len(data), sum)
	}
	return hex.EncodeToString(data)
}

// describeEvent returns an event as text, without the names of Go types, which may
// change.
func describeEvent(event record.Event) string {
	switch e := event.(type) {
	case record.TaskBecameReady:
		return fmt.Sprintf("task ready %s not before %d", e.Task.ID, e.Task.NotBefore)
	case record.TaskLeftReady:
		return fmt.Sprintf("task not ready %s", e.Task.ID)
	case record.RunOpened:
		return fmt.Sprintf("run opened %s %d on %s (%s) token %d", e.Run.Task.ID, e.Run.Number, e.Run.Worker, e.Run.WorkerID, e.Run.Token)
	case record.RunStopping:
		return fmt.Sprintf("run stopping %s %d: %s", e.Run.Task.ID, e.Run.Number, e.Run.Stop)
	case record.RunClosed:
		return fmt.Sprintf("run closed %s %d: %s", e.Run.Task.ID, e.Run.Number, e.Outcome)
	case record.JobAdded:
		return "job added " + e.Job.ID
	case record.OccurrenceAdded:
		return fmt.Sprintf("occurrence added %s %d", e.Job.ID, e.Occurrence)
	case record.OccurrenceEnded:
		return fmt.Sprintf("occurrence ended %s %d, %d steps", e.Job.ID, e.Occurrence, len(e.Steps))
	case record.JobEnded:
		return fmt.Sprintf("job ended %s %s", e.Job.ID, e.Job.State())
	case record.ConfigChanged:
		return fmt.Sprintf("configuration %d with %d queues", e.Version, len(e.Config.Queues))
	case record.WorkerChanged:
		return fmt.Sprintf("worker changed %s (%s)", e.Worker.Name, e.Worker.ID)
	case record.WorkerForgotten:
		return fmt.Sprintf("worker forgotten %s (%s)", e.Worker.Name, e.Worker.ID)
	case record.WindowReleased:
		return fmt.Sprintf("window released %s %s %d %d", e.Window.Queue, e.Window.Booking, e.Window.Start, e.Window.End)
	case record.ZoneDrainChanged:
		return fmt.Sprintf("zone %s drained: %t", e.Zone, e.Drained)
	case record.StateReplaced:
		return "state replaced"
	}
	return "unknown event"
}

func describeResult(result record.Result) string {
	var text strings.Builder
	if result.Submit != nil {
		fmt.Fprintf(&text, "  = submit outcome %d\n", result.Submit.Outcome)
	}
	if result.Config != nil {
		fmt.Fprintf(&text, "  = configuration %d, refusal %s\n", result.Config.Version, compactJSON(result.Config.Refusal))
	}
	for _, run := range result.Rejected {
		fmt.Fprintf(&text, "  = rejected %s %d\n", run.Task, run.Number)
	}
	for _, name := range result.RejectedWorkers {
		fmt.Fprintf(&text, "  = rejected worker %s\n", name)
	}
	return text.String()
}

// describeLoaded returns the state that a restart loads from a data folder, as text.
func describeLoaded(t *testing.T, loaded storage.LoadedState) string {
	t.Helper()
	var text strings.Builder
	state, snapshot := loaded.HardState, loaded.Snapshot
	fmt.Fprintf(&text, "hard state: term %d, voted for %s, commit %d\n", state.Term, state.VotedFor, state.Commit)
	fmt.Fprintf(&text, "snapshot: index %d, term %d, %s\n", snapshot.Index, snapshot.Term, describeMembership(snapshot.Membership))
	fmt.Fprintf(&text, "snapshot data: %s\n", hexOrDigest(loaded.SnapshotData))
	for _, entry := range loaded.Entries {
		fmt.Fprintf(&text, "entry %d, term %d, kind %d: %s\n", entry.Index, entry.Term, entry.Kind, hexOrDigest(entry.Data))
		if entry.Kind != raft.EntryMembership {
			continue
		}
		membership, err := raft.DecodeMembership(entry.Data)
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString("  " + describeMembership(membership) + "\n")
	}
	return text.String()
}

func describeMembership(membership raft.Membership) string {
	var text strings.Builder
	describe := func(part string, members []raft.Member) {
		fmt.Fprintf(&text, "%s:", part)
		for _, m := range members {
			fmt.Fprintf(&text, " (%s %s %s %s)", m.ID, m.Name, m.Zone, m.Address)
		}
	}
	describe("voters", membership.Voters)
	describe("; outgoing", membership.Outgoing)
	describe("; learners", membership.Learners)
	return text.String()
}

func compactJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// fields is a JSON object. Its keys are written out in this file, because the names in
// Go types may change.
type fields map[string]any

// viewOf returns the state that callers of record.View can read, as JSON. jobs names
// the jobs to include.
func viewOf(t *testing.T, machine *record.Machine, jobs []string) []byte {
	t.Helper()
	view := fields{}
	machine.Read(func(v record.View) {
		version, inForce := v.Config()
		_, accepted := v.AcceptedConfig()
		view["clock"], view["applied"] = v.Clock(), v.Applied()
		view["config_version"], view["config_in_force"], view["config_accepted"] = version, inForce, accepted
		view["config_versions"] = v.ConfigVersions()
		view["orders"] = viewOrders(v)
		view["jobs"] = viewJobs(t, v, jobs)
		view["workers"] = viewWorkers(v)
		view["open_runs"] = viewRuns(v)
		view["released_windows"] = viewReleased(v)
		view["drained_zones"] = v.DrainedZones()
		view["counts"] = viewCounts(v)
	})
	data, err := json.MarshalIndent(view, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

func viewOrders(v record.View) fields {
	orders := fields{}
	for _, id := range []string{"order-1", "order-2", "order-3", "order-4", "order-5"} {
		result, digest, known := v.ConfigOrder(id)
		orders[id] = fields{"version": result.Version, "refusal": result.Refusal, "digest": digest, "known": known}
	}
	return orders
}

// viewJobs returns the status of jobs, live or ended, and the tasks of live ones.
func viewJobs(t *testing.T, v record.View, ids []string) fields {
	t.Helper()
	jobs := fields{}
	for _, id := range ids {
		status, known, err := v.Status(id, nil)
		if err != nil {
			t.Fatal(err)
		}
		brief, _, err := v.StatusWithoutSteps(id)
		if err != nil {
			t.Fatal(err)
		}
		shown := fields{"known": known, "status": status, "brief": brief}
		if job, live := v.Job(id); live {
			shown["live"] = viewLiveJob(job)
		}
		jobs[id] = shown
	}
	return jobs
}

func viewLiveJob(job *record.Job) fields {
	var tasks []fields
	for _, step := range job.Steps {
		for _, task := range step.Tasks {
			tasks = append(tasks, fields{
				"task": task.ID.String(), "state": task.State, "failures": task.Failures, "allowed_failures": task.AllowedFailures,
				"last_run": task.LastRun, "next_run": task.NextRun(), "last_worker": task.LastWorker, "preemptions": task.Preemptions,
				"checkpoint": task.NewestCheckpoint(), "not_before": task.NotBefore, "reason": task.Reason, "spec": task.Spec,
				"waits_on": step.OpenDependencies, "open_tasks": step.OpenTasks, "failed_tasks": step.FailedTasks,
			})
		}
	}
	return fields{
		"spec": job.Spec, "digest": job.Digest, "submitted_at": job.SubmittedAt, "cancelled": job.Cancelled,
		"open_tasks": job.OpenTasks, "summary": job.Summary(), "tasks": tasks,
	}
}

func viewWorkers(v record.View) []fields {
	var workers []fields
	for worker := range v.Workers() {
		workers = append(workers, fields{
			"name": worker.Name, "id": worker.ID, "zone": worker.Zone, "capacity": worker.Capacity, "services": worker.Services,
			"labels": worker.Labels, "registered_at": worker.RegisteredAt, "place": worker.Address, "used": v.UsedResources(worker.ID),
		})
	}
	return workers
}

func viewRuns(v record.View) []fields {
	var runs []fields
	for run := range v.AllOpenRuns() {
		runs = append(runs, fields{
			"task": run.Task.ID.String(), "number": run.Number, "worker_id": run.WorkerID, "worker": run.Worker,
			"token": run.Token, "placed_at": run.PlacedAt, "stop": run.Stop,
		})
	}
	return runs
}

func viewReleased(v record.View) []fields {
	var windows []fields
	for _, window := range v.ReleasedWindows() {
		windows = append(windows, fields{"queue": window.Queue, "booking": window.Booking, "start": window.Start, "end": window.End})
	}
	return windows
}

func viewCounts(v record.View) fields {
	counts := fields{"caller alice": v.CallerPendingTasks("batch", "alice")}
	show := func(name string, c record.QueueCounts) {
		counts[name] = fields{"jobs": c.Jobs, "pending": c.PendingTasks, "running": c.RunningTasks}
	}
	for _, queue := range []string{"batch", "narrow", "open", "added"} {
		show("queue "+queue, v.QueueCounts(queue))
	}
	show("team media", v.TeamCounts("media"))
	return counts
}
