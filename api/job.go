package api

import (
	"encoding/json"
	"time"
)

// JobSpec describes a job; it is the body of PUT /v1/jobs/{id}.
type JobSpec struct {
	// Queue names a queue of the configuration in force. Required.
	Queue string `json:"queue"`
	// Priority orders jobs of the whole fleet, higher first. Default 0, from
	// -1000 to 1000.
	Priority int `json:"priority,omitempty"`
	// Caller names who submits the job, for QueueConfig.CallerShare: 1 to 64
	// of a-z, 0-9, '-', '_' or '.'. Default: none; jobs without a caller
	// count as those of one caller.
	Caller string `json:"caller,omitempty"`
	// Payload is passed to each task that has none of its own. Default null.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Repeat makes the steps run repeatedly, each occurrence on its own.
	// Default: once, at once.
	Repeat *RepeatSpec `json:"repeat,omitempty"`
	// Steps are the parts of the job, at least one. A step starts once every
	// step in its After list has succeeded.
	Steps []StepSpec `json:"steps"`
}

// RepeatSpec says when the steps of a job run. Occurrence K, from 0, is due
// at First + K x Interval on the cluster clock. Occurrences are independent
// and may overlap; one that would take the job beyond MaxOpenTasksPerJob open
// tasks starts late, once others have ended. A failed occurrence does not
// stop the others. The job ends once all occurrences have: succeeded if each
// succeeded, else failed.
type RepeatSpec struct {
	// Times is the number of occurrences; 1 to MaxOccurrences. Required.
	Times int `json:"times"`
	// First is when occurrence 0 is due. Required.
	First time.Time `json:"first"`
	// Interval is the time from one due time to the next; above 0 if Times is
	// more than 1.
	Interval Duration `json:"interval,omitempty"`
}

// DueMillis returns when an occurrence is due, in Unix milliseconds.
func (r *RepeatSpec) DueMillis(occurrence int) int64 {
	// Whole and broken milliseconds are multiplied apart, since the product in
	// nanoseconds may be out of range.
	const millisecond = Duration(time.Millisecond)
	number := int64(occurrence)
	whole := number * int64(r.Interval/millisecond)
	broken := number * int64(r.Interval%millisecond) / int64(millisecond)
	return r.First.UnixMilli() + whole + broken
}

// StepSpec is a set of tasks that become ready together.
type StepSpec struct {
	// Name is unique in the job. Required.
	Name string `json:"name"`
	// After names the steps that must have succeeded first. Default: none.
	After []string `json:"after,omitempty"`
	// NotBefore is the earliest start of the step's tasks, on the cluster
	// clock. Default: at once.
	NotBefore *time.Time `json:"not_before,omitempty"`
	// Together makes the step's tasks a group (a gang): all are placed in one
	// decision or none is. Default false.
	Together bool `json:"together,omitempty"`
	// Lockstep makes the step's tasks a group with a common outcome. It
	// implies Together; all members have the same run number; the success of
	// one member is the success of all; and when a member fails or is lost
	// before that, the others are stopped and the whole group runs again.
	// AllowedFailures counts failed runs of the group. Default false.
	Lockstep bool `json:"lockstep,omitempty"`
	// Colocate names a domain, "zone" or "label:KEY", within which the tasks
	// of the step are placed if it has capacity, and close to each other
	// otherwise. It never makes a task wait. Default: none.
	Colocate string `json:"colocate,omitempty"`
	// Replicas is the number of equal tasks; Tasks then has exactly one
	// entry, which describes each of them. At most Limits.MaxTasksPerJob.
	// Default 0: the tasks are those listed.
	Replicas int `json:"replicas,omitempty"`
	// Tasks are the units of work, at least one.
	Tasks []TaskSpec `json:"tasks"`
}

// TaskSpec is one unit of work. A StartOrder passes it to the worker
// unchanged, except for the Payload of the job.
type TaskSpec struct {
	// Service selects workers with a handler of this name. Default: the
	// Service of the queue at submission; one of both is required.
	Service string `json:"service,omitempty"`
	// Payload is passed to the handler unread. Default null.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Resources is what the task uses while it runs.
	Resources Resources `json:"resources"`
	// Labels must all be present on the worker, with these values. Default:
	// none.
	Labels map[string]string `json:"labels,omitempty"`
	// Prefer are labels of workers on which the task runs best. A worker with
	// all of them is chosen if one has capacity now or within 300 ms, else
	// any other. Default: none.
	Prefer map[string]string `json:"prefer,omitempty"`
	// Estimate is the expected duration of one run. It orders work and helps
	// to detect stalled runs; exceeding it has no effect by itself. Default
	// 0: not known.
	Estimate Duration `json:"estimate,omitempty"`
	// Resumable says that runs report checkpoints (Heartbeat.Progress), and
	// that a new run continues from the newest. Default false.
	Resumable bool `json:"resumable,omitempty"`
	// BackupRuns allows a second run of the task beside a slow one; the first
	// to succeed counts and the other is stopped. Default false. It is
	// accepted but has no effect yet: a task has at most one open run.
	BackupRuns bool `json:"backup_runs,omitempty"`
	// Spread limits how many open runs of the same step share a domain.
	// Default: no limit.
	Spread *Spread `json:"spread,omitempty"`
	// AllowedFailures is the number of failed runs after which the task has
	// failed. 0 and 1 both mean that the first failure is final. Default:
	// DefaultAllowedFailures of the queue.
	AllowedFailures *int `json:"allowed_failures,omitempty"`
	// MaxDuration bounds each run; the worker stops a longer one and reports
	// it as failed. Default 0: no bound.
	MaxDuration Duration `json:"max_duration,omitempty"`
	// Preemptible lets the scheduler stop the run in favour of more urgent
	// work, which does not count as a failure. Default false.
	Preemptible bool `json:"preemptible,omitempty"`
	// UntilCancelled marks a task that runs until its job is cancelled: it is
	// started again however a run ends, and failures have no limit. It uses
	// whatever capacity there is, also on workers that get no other tasks.
	// Default false.
	UntilCancelled bool `json:"until_cancelled,omitempty"`
}

// Spread keeps the tasks of one step apart.
type Spread struct {
	// By is the domain: "worker", "zone" or "label:KEY". Required.
	By string `json:"by"`
	// MaxPerDomain is the maximum of open runs of the step in one domain.
	// Default 1.
	MaxPerDomain int `json:"max_per_domain,omitempty"`
}

// Spread domains.
const (
	SpreadByWorker      = "worker"
	SpreadByZone        = "zone"
	SpreadByLabelPrefix = "label:"
)
