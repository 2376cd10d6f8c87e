package api

import (
	"encoding/json"
	"time"
)

// JobSpec describes a job; it is the body of PUT /v1/jobs/{id}.
type JobSpec struct {
	// Queue names a queue of the configuration in force. Required.
	Queue string `json:"queue"`
	// Priority orders the jobs of all queues, higher first; the priority of the
	// queue is added. Default 0, from -1000 to 1000.
	Priority int `json:"priority,omitempty"`
	// Caller names the submitter of the job, for QueueConfig.CallerShare: 1 to
	// 64 of a-z, 0-9, '-', '_' or '.'. Default: none; all jobs without a
	// caller count as jobs of one caller.
	Caller string `json:"caller,omitempty"`
	// Payload is passed to each task without a payload. Default null.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Repeat makes the steps run repeatedly, in independent occurrences.
	// Default: the steps run once, immediately.
	Repeat *RepeatSpec `json:"repeat,omitempty"`
	// Steps are the parts of the job, at least one. A step starts once all steps
	// in its After list have succeeded.
	Steps []StepSpec `json:"steps"`
}

// RepeatSpec is the schedule of a repeating job. Occurrence K, from 0, is due at
// First + K x Interval on the cluster clock. Occurrences are independent and may
// overlap. An occurrence that would take the job beyond MaxOpenTasksPerJob open
// tasks is delayed until enough tasks of others have ended. A failed occurrence
// does not stop the others. The job ends once all occurrences have ended: it has
// succeeded if each of them succeeded, otherwise it has failed.
type RepeatSpec struct {
	// Times is the number of occurrences; 1 to MaxOccurrences. Required.
	Times int `json:"times"`
	// First is the time at which occurrence 0 is due. Required.
	First time.Time `json:"first"`
	// Interval is the time between two due times. It must be above 0 if Times is
	// more than 1.
	Interval Duration `json:"interval,omitempty"`
}

// DueMillis returns the time at which an occurrence is due, in Unix milliseconds.
func (r *RepeatSpec) DueMillis(occurrence int) int64 {
	// The milliseconds of the interval and the remainder are multiplied
	// separately, since the product in nanoseconds may overflow.
	const millisecond = Duration(time.Millisecond)
	index := int64(occurrence)
	fromMillis := index * int64(r.Interval/millisecond)
	fromRemainder := index * int64(r.Interval%millisecond) / int64(millisecond)
	return r.First.UnixMilli() + fromMillis + fromRemainder
}

// StepSpec is a set of tasks that become ready together.
type StepSpec struct {
	// Name is unique in the job; its form is that of a job id. Required.
	Name string `json:"name"`
	// After names the steps that must succeed before this one starts. Default:
	// none.
	After []string `json:"after,omitempty"`
	// NotBefore is the earliest start time of the step's tasks, on the cluster
	// clock. It is invalid beside JobSpec.Repeat. Default: no earliest time.
	NotBefore *time.Time `json:"not_before,omitempty"`
	// Together makes the step's tasks a group (a gang): either all of them are
	// placed in one decision, or none is. Default false.
	Together bool `json:"together,omitempty"`
	// Lockstep makes the step's tasks a group with a common outcome. It implies
	// Together. All members have the same run number. If one member succeeds,
	// all have succeeded; if one fails or is lost before that, the others are
	// stopped and all members run again. AllowedFailures counts failed runs of
	// the group. Default false.
	Lockstep bool `json:"lockstep,omitempty"`
	// Colocate names a kind of domain, "zone" or "label:KEY". The tasks of the
	// step are placed in one such domain if it has capacity, and otherwise close
	// to each other. It never makes a task wait. Default: none.
	Colocate string `json:"colocate,omitempty"`
	// Replicas is the number of equal tasks. Tasks then has exactly one entry,
	// which describes each of them. At most Limits.MaxTasksPerJob. Default 0:
	// the step has the tasks listed in Tasks.
	Replicas int `json:"replicas,omitempty"`
	// Tasks are the tasks of the step, at least one.
	Tasks []TaskSpec `json:"tasks"`
}

// TaskSpec describes one task. A StartOrder passes it to the worker unchanged,
// except that a task without a payload gets the payload of the job.
type TaskSpec struct {
	// Service selects workers with a handler of this name. Default: the Service
	// of the queue at submission. Either must be set.
	Service string `json:"service,omitempty"`
	// Payload is passed to the handler without being interpreted. Default: the
	// payload of the job.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Resources is the amount of resources that the task uses while it runs.
	Resources Resources `json:"resources"`
	// Labels are labels that the worker must have, with these values. Default:
	// none.
	Labels map[string]string `json:"labels,omitempty"`
	// Prefer are labels of workers on which the task runs best. The task is
	// placed on a worker with all of them if one has capacity, for which it
	// waits at most 300 ms, and otherwise on any worker. Default: none.
	Prefer map[string]string `json:"prefer,omitempty"`
	// Estimate is the expected duration of one run. It is used to order tasks
	// and to detect stalled runs; a run is not stopped for exceeding it.
	// Default 0: unknown.
	Estimate Duration `json:"estimate,omitempty"`
	// Resumable is true if runs report checkpoints (Heartbeat.Progress) and a
	// new run continues from the newest one. Default false.
	Resumable bool `json:"resumable,omitempty"`
	// BackupRuns allows a second run of the task beside a slow one; the first to
	// succeed counts and the other is stopped. It is accepted but has no effect
	// yet: a task has at most one open run. Default false.
	BackupRuns bool `json:"backup_runs,omitempty"`
	// Spread limits how many open runs of the same step share a domain.
	// Default: no limit.
	Spread *Spread `json:"spread,omitempty"`
	// AllowedFailures is the number of failed runs at which the task fails. With
	// 0 or 1 the first failed run is final. Default: DefaultAllowedFailures of
	// the queue.
	AllowedFailures *int `json:"allowed_failures,omitempty"`
	// MaxDuration bounds the duration of each run. The worker stops a longer run
	// and reports it as failed. Default 0: no bound.
	MaxDuration Duration `json:"max_duration,omitempty"`
	// Preemptible allows the scheduler to stop a run for the sake of more urgent
	// tasks. This does not count as a failure. Default false.
	Preemptible bool `json:"preemptible,omitempty"`
	// UntilCancelled is true for a task that runs until its job is cancelled: it
	// is restarted however a run ends, and the number of failures has no limit.
	// It may use any capacity, also on workers that get no other tasks. Default
	// false.
	UntilCancelled bool `json:"until_cancelled,omitempty"`
}

// Spread distributes the tasks of one step over domains.
type Spread struct {
	// By is the kind of domain: "worker", "zone" or "label:KEY". Required.
	By string `json:"by"`
	// MaxPerDomain is the maximum number of open runs of the step in one domain.
	// Default 1.
	MaxPerDomain int `json:"max_per_domain,omitempty"`
}

// Values of Spread.By; a label key follows SpreadByLabelPrefix.
const (
	SpreadByWorker      = "worker"
	SpreadByZone        = "zone"
	SpreadByLabelPrefix = "label:"
)
