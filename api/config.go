package api

// Config is the whole desired configuration. Operators replace it with PUT
// /v1/config, always as a whole.
type Config struct {
	// Annotations are texts of the operator's own. They are stored and
	// returned unchanged and have no effect. At most MaxAnnotations entries,
	// with values of at most MaxAnnotationBytes. Default: none.
	Annotations map[string]string `json:"annotations,omitempty"`
	// Queues accept jobs; at least one, with unique names.
	Queues []QueueConfig `json:"queues"`
	// Teams bound what their queues use together. Default: none.
	Teams []TeamConfig `json:"teams,omitempty"`
	// Drains name the workers and zones that get no new tasks.
	Drains DrainConfig `json:"drains"`
	// Limits bound requests.
	Limits LimitConfig `json:"limits"`
	// Timings govern heartbeats, leases and retries; they are validated
	// together.
	Timings TimingConfig `json:"timings"`
}

// QueueConfig configures one queue.
type QueueConfig struct {
	// Name is 1 to 64 of a-z, 0-9, '-', '_' or '.'. Required.
	Name string `json:"name"`
	// Annotations are texts of the operator's own, as in Config. Default:
	// none.
	Annotations map[string]string `json:"annotations,omitempty"`
	// Service is the service of tasks that name none. Default: none, so that
	// each task must name one.
	Service string `json:"service,omitempty"`
	// Objective is the time within which a job should end. Among jobs of
	// equal priority the one with the least slack goes first. Default: none,
	// jobs go in the order of submission.
	Objective *ObjectiveConfig `json:"objective,omitempty"`
	// Priority is added to each job's own. Default 0, from -1000 to 1000.
	Priority int `json:"priority,omitempty"`
	// Weight is the queue's share of capacity among queues of equal priority
	// when capacity is short. Default 1, from 1 to 1000.
	Weight int `json:"weight,omitempty"`
	// MaxRunningTasks bounds the open runs of the queue. Default 0: no bound.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxPendingTasks bounds accepted tasks that are not final and have no
	// open run; a job beyond it is rejected with 429. Default 0: only
	// Limits.MaxPendingTasks applies.
	MaxPendingTasks int `json:"max_pending_tasks,omitempty"`
	// HeadroomPercent is the percentage of each worker that tasks of the
	// queue leave free, so that more urgent tasks find capacity at once:
	// always where other workers have capacity, and by waiting while more
	// than 60 percent of the capacity for their service is in use. Groups,
	// tasks with Spread, tasks with UntilCancelled, and tasks too large to
	// leave it on an empty worker never wait for it. Default 0, up to
	// MaxHeadroomPercent.
	HeadroomPercent int `json:"headroom_percent,omitempty"`
	// CallerShare bounds the pending tasks of one caller (JobSpec.Caller)
	// relative to the free part of the queue's limit: a caller never has more
	// than this many times the number of pending tasks that could still be
	// accepted, unless it had none pending. A job beyond that is rejected
	// with 429. Default 1, from MinCallerShare to MaxCallerShare.
	CallerShare float64 `json:"caller_share,omitempty"`
	// DefaultAllowedFailures applies to tasks without AllowedFailures.
	// Default 3.
	DefaultAllowedFailures int `json:"default_allowed_failures,omitempty"`
	// Team names the team whose bounds apply to the queue too. Default: none.
	Team string `json:"team,omitempty"`
	// Bookings reserve capacity for the queue in recurring windows. Default:
	// none.
	Bookings []BookingConfig `json:"bookings,omitempty"`
}

// ObjectiveConfig is the time within which a job of a queue should end,
// counted from its submission or, for an occurrence, from its due time:
// Target + Stretch x the sum of the Estimates along the job's longest chain
// of steps.
type ObjectiveConfig struct {
	// Target is the constant part. Default 0.
	Target Duration `json:"target,omitempty"`
	// Stretch multiplies the estimates; 0 to MaxStretch. Default 0.
	Stretch float64 `json:"stretch,omitempty"`
	// RefuseBeyond rejects, with 429 and a time to retry, a job that by the
	// measured rate of starts would take longer than this many times its
	// objective, unless a worker has free capacity for it. 1 to
	// MaxRefuseBeyond. Default 0: no job is rejected for that.
	RefuseBeyond float64 `json:"refuse_beyond,omitempty"`
}

// TeamConfig bounds the queues that name the team, taken together.
type TeamConfig struct {
	// Name is 1 to 64 of a-z, 0-9, '-', '_' or '.'. Required.
	Name string `json:"name"`
	// MaxRunningTasks bounds open runs. Default 0: no bound.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxPendingTasks bounds pending tasks; a job beyond it is rejected with
	// 429. Default 0: no bound of its own.
	MaxPendingTasks int `json:"max_pending_tasks,omitempty"`
}

// BookingConfig is a recurring reservation: in each window of its schedule,
// capacity on workers is reserved for the queue's tasks. Exactly one of Cron
// and DailyAt is set.
type BookingConfig struct {
	// Name is unique in the queue, 1 to 64 of a-z, 0-9, '-', '_' or '.'.
	// Required.
	Name string `json:"name"`
	// Cron is a schedule of five fields: minute, hour, day of the month, month and
	// day of the week. Its times are local; Schedule documents changes of local
	// time.
	Cron string `json:"cron,omitempty"`
	// DailyAt is a local time of each day, "HH:MM". On a day without that
	// time the window begins at the first moment after it; on a day with two,
	// at the first.
	DailyAt string `json:"daily_at,omitempty"`
	// TimeZone is an IANA name such as "America/Bogota". Default "UTC".
	TimeZone string `json:"time_zone,omitempty"`
	// Duration is the length of each window; above 0, at most 24h. Required.
	Duration Duration `json:"duration"`
	// Lead is how long before each window its capacity is reserved. Lead and
	// Duration together are at most the time between two starts. Default 5m.
	// Runs without MaxDuration that start before the lead may still be open
	// when the window starts.
	Lead Duration `json:"lead,omitempty"`
	// Slots is the number of equal slices, each for one task; 1 to 10000.
	// Required.
	Slots int `json:"slots"`
	// Slice is the resources of one slice. Required.
	Slice Resources `json:"slice"`
	// Service and Labels select the workers on which slices are reserved.
	// Default: any worker.
	Service string            `json:"service,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	// BestEffort accepts a booking that the capacity of the registered
	// workers cannot hold. Otherwise such a booking is rejected. Default
	// false.
	BestEffort bool `json:"best_effort,omitempty"`
}

// DrainConfig names workers and zones that get no new tasks.
type DrainConfig struct {
	// Workers are names of workers. Runs there that are still open after
	// Timings.DrainGrace are stopped and their tasks placed elsewhere.
	// Default: none.
	Workers []string `json:"workers,omitempty"`
	// Zones are names of zones, each of whose workers is drained. Default:
	// none.
	Zones []string `json:"zones,omitempty"`
}

// LimitConfig bounds requests. A zero means the default.
type LimitConfig struct {
	// MaxJobBytes is the largest body of a job, in bytes. Default 1 MiB.
	MaxJobBytes int64 `json:"max_job_bytes,omitempty"`
	// MaxTasksPerJob bounds the tasks of all steps of a job. Default 1000.
	MaxTasksPerJob int `json:"max_tasks_per_job,omitempty"`
	// MaxPendingTasks bounds the pending tasks of all queues. Default 200000.
	MaxPendingTasks int `json:"max_pending_tasks,omitempty"`
	// SubmitsPerSecond bounds accepted submissions of one front. Default 500.
	SubmitsPerSecond int `json:"submits_per_second,omitempty"`
}

// TimingConfig governs heartbeats, leases and retries. A zero means the
// default.
type TimingConfig struct {
	// HeartbeatInterval is the pause between two heartbeats of a worker.
	// Default 200ms.
	HeartbeatInterval Duration `json:"heartbeat_interval,omitempty"`
	// Hold is the duration of a worker's lease: how long it may run tasks
	// after it sent a heartbeat whose answer it accepted. Default 3s.
	Hold Duration `json:"hold,omitempty"`
	// DriftMargin is added to Hold by the scheduler before it considers a
	// lease expired, to allow for clocks of different rates. Default 300ms.
	DriftMargin Duration `json:"drift_margin,omitempty"`
	// RetryDelay is the pause before a failed task is started again. It
	// doubles with each failure, up to 32 times, or up to 2 s for a task with
	// UntilCancelled. Default 200ms.
	RetryDelay Duration `json:"retry_delay,omitempty"`
	// DrainGrace is how long runs on a drained worker or in a drained zone
	// may go on before they are stopped and their tasks placed elsewhere.
	// Default 10s.
	DrainGrace Duration `json:"drain_grace,omitempty"`
	// MaxPreemptions is how often one task may be preempted; after that it is
	// treated as not preemptible. Default 3, at most 100.
	MaxPreemptions int `json:"max_preemptions,omitempty"`
	// Retention is how long a job can be read after it ended. Default 168h.
	Retention Duration `json:"retention,omitempty"`
}
