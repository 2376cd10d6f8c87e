package api

import (
	"encoding/json"
	"time"
)

// JobSpec is what a caller hands in with PUT /v1/jobs/{id}.
type JobSpec struct {
	// Queue names a queue of the configuration in force. Required.
	Queue string `json:"queue"`
	// Priority orders work within the whole fleet; higher first. Default 0,
	// from -1000 to 1000.
	Priority int `json:"priority,omitempty"`
	// Caller names who hands the job in, for the share of each caller in a queue
	// (QueueConfig.CallerShare): 1 to 64 of a-z, 0-9, '-', '_' or '.'. Default
	// none: jobs without one count as one caller's.
	Caller string `json:"caller,omitempty"`
	// Payload is handed to each task that has none of its own. Default null.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Repeat makes the steps run again and again, each time for itself.
	// Default: once, at once.
	Repeat *RepeatSpec `json:"repeat,omitempty"`
	// Steps are the parts of the job, at least one. A step starts once every
	// step in its After list has succeeded.
	Steps []StepSpec `json:"steps"`
}

// RepeatSpec says when the steps of a job run. Occurrence K, from 0, falls due
// at First + K x Interval on the cluster clock. Occurrences do not wait for each
// other and may overlap; one that would take the job beyond MaxOpenTasksPerJob
// open tasks starts late, once others have ended. One that fails does not stop
// the others. The job is over once all of them are: succeeded if each
// succeeded, else failed.
type RepeatSpec struct {
	// Times is the number of occurrences; 1 to MaxOccurrences. Required.
	Times int `json:"times"`
	// First is when occurrence 0 falls due. Required.
	First time.Time `json:"first"`
	// Interval is the time from one due time to the next; over 0 if Times is
	// more than 1.
	Interval Duration `json:"interval,omitempty"`
}

// DueMillis is when an occurrence falls due, in Unix milliseconds.
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
	// After names the steps that must have succeeded first. Default none.
	After []string `json:"after,omitempty"`
	// NotBefore is the earliest start of the step's tasks, on the cluster
	// clock. Default: at once.
	NotBefore *time.Time `json:"not_before,omitempty"`
	// Together makes the step's tasks a group: all are placed in one decision
	// or none is. Default false.
	Together bool `json:"together,omitempty"`
	// Lockstep makes the step's tasks one group for their whole life: it implies
	// Together; all members have the same run number; the success of one member
	// is the success of all; and when a member fails or is lost before that, the
	// others are stopped and the group runs again whole. AllowedFailures counts
	// failed runs of the group. Default false.
	Lockstep bool `json:"lockstep,omitempty"`
	// Colocate names a domain, "zone" or "label:KEY", within which the tasks of
	// the step are placed where there is room, and next to each other where
	// there is none. It never makes a task wait. Default none.
	Colocate string `json:"colocate,omitempty"`
	// Replicas is the number of equal tasks: Tasks then has exactly one entry,
	// which describes each of them. Default 0: the tasks are as listed. At most
	// Limits.MaxTasksPerJob.
	Replicas int `json:"replicas,omitempty"`
	// Tasks are the units of work, at least one.
	Tasks []TaskSpec `json:"tasks"`
}

// TaskSpec is one unit of work. An order carries it whole to the worker.
type TaskSpec struct {
	// Service is the handler that the worker must offer. Default: the Service of
	// the queue when the job is handed in; one of both is required.
	Service string `json:"service,omitempty"`
	// Payload is handed to the handler unread. Default null.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Resources is the room that the task takes while it runs.
	Resources Resources `json:"resources"`
	// Labels must all be present, with these values, on the worker.
	Labels map[string]string `json:"labels,omitempty"`
	// Prefer are labels of the workers on which the task runs best. A worker
	// with all of them is taken if one has room or comes to have it within a
	// moment, 300 ms at most, else any other. Default none.
	Prefer map[string]string `json:"prefer,omitempty"`
	// Estimate is the caller's guess of one run's time. It orders work and tells
	// runs that stand still; nothing is stopped for exceeding it. Default 0: not
	// known.
	Estimate Duration `json:"estimate,omitempty"`
	// Resumable says that a run reports checkpoints (Heartbeat.Progress), and
	// that a new run given the newest of them goes on from there. Default false.
	Resumable bool `json:"resumable,omitempty"`
	// BackupRuns allows a second run of the task beside a slow one; the first to
	// succeed counts and the other is stopped. Default false. It is accepted and
	// has no effect yet: a task has at most one open run.
	BackupRuns bool `json:"backup_runs,omitempty"`
	// Spread limits how many open runs of the same step share a domain.
	Spread *Spread `json:"spread,omitempty"`
	// AllowedFailures is the number of failed runs at which the task is
	// failed for good. 0 and 1 both mean that the first failure is final.
	// Default: the queue's DefaultAllowedFailures.
	AllowedFailures *int `json:"allowed_failures,omitempty"`
	// MaxDuration is the longest that one run may take; the worker stops a
	// longer one and reports it as failed. Default 0: no bound.
	MaxDuration Duration `json:"max_duration,omitempty"`
	// Preemptible lets the scheduler stop the run to make room; it is not
	// counted as a failure.
	Preemptible bool `json:"preemptible,omitempty"`
	// UntilCancelled marks a task that runs until its job is cancelled: however
	// a run ends, the task is started again, and failures have no limit. It takes
	// whatever room there is, also on workers that get no other work.
	UntilCancelled bool `json:"until_cancelled,omitempty"`
}

// Spread keeps the tasks of one step apart.
type Spread struct {
	// By is the domain: "worker", "zone" or "label:KEY". Required.
	By string `json:"by"`
	// MaxPerDomain is the most open runs of the step in one domain. Default 1.
	MaxPerDomain int `json:"max_per_domain,omitempty"`
}

// Spread domains.
const (
	SpreadByWorker      = "worker"
	SpreadByZone        = "zone"
	SpreadByLabelPrefix = "label:"
)
