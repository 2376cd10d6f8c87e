package api

// Config is the complete desired configuration. Each PUT /v1/config replaces all
// of it.
type Config struct {
	// Annotations are free texts of the operator. They are stored and returned
	// unchanged and have no effect. At most MaxAnnotations entries, with values
	// of at most MaxAnnotationBytes. Default: none.
	Annotations map[string]string `json:"annotations,omitempty"`
	// Queues accept jobs. At least one is required; names are unique.
	Queues []QueueConfig `json:"queues"`
	// Teams bound the tasks of several queues together. Default: none.
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
	// Annotations are free texts of the operator, as in Config. Default: none.
	Annotations map[string]string `json:"annotations,omitempty"`
	// Service is the service of tasks that name none. Default: none; each task
	// must then name one.
	Service string `json:"service,omitempty"`
	// Objective is the time within which a job should end. Among jobs of
	// equal priority, the one with the least slack is placed first. Default:
	// none; jobs are placed in the order of submission.
	Objective *ObjectiveConfig `json:"objective,omitempty"`
	// Priority is added to the priority of each job. Default 0, from -1000 to
	// 1000.
	Priority int `json:"priority,omitempty"`
	// Weight is the queue's share of capacity among queues of equal priority
	// when capacity is short. Default 1, from 1 to 1000.
	Weight int `json:"weight,omitempty"`
	// MaxRunningTasks bounds the open runs of the queue. Default 0: no bound.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxPendingTasks bounds pending tasks: accepted tasks that are not final
	// and have no open run. A job that would exceed it is rejected with 429.
	// Default 0: only Limits.MaxPendingTasks applies.
	MaxPendingTasks int `json:"max_pending_tasks,omitempty"`
	// HeadroomPercent is the percentage of each worker that tasks of the queue
	// leave free, so that more urgent tasks find capacity at once. A task is
	// placed on a worker where this headroom stays free, if there is one.
	// Otherwise it waits while more than 60 percent of the capacity for its
	// service is in use, and uses the headroom at 60 percent or less. Groups, tasks with Spread,
	// tasks with UntilCancelled, and tasks that would not leave the headroom
	// free even on an empty worker never wait for it. Default 0, at most
	// MaxHeadroomPercent.
	HeadroomPercent int `json:"headroom_percent,omitempty"`
	// CallerShare bounds the pending tasks of one caller (JobSpec.Caller) to a
	// multiple of the number of pending tasks that the queue could still accept.
	// It does not apply to a caller without pending tasks. A job that would
	// exceed the bound is rejected with 429. Default 1, from MinCallerShare to MaxCallerShare.
	CallerShare float64 `json:"caller_share,omitempty"`
	// DefaultAllowedFailures is the AllowedFailures of tasks that set none.
	// Default 3.
	DefaultAllowedFailures int `json:"default_allowed_failures,omitempty"`
	// Team names the team whose bounds also apply to the queue. Default: none.
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
	// Target is the part that does not depend on the estimates. Default 0.
	Target Duration `json:"target,omitempty"`
	// Stretch is the factor of the estimates, 0 to MaxStretch. Default 0.
	Stretch float64 `json:"stretch,omitempty"`
	// RefuseBeyond is the multiple of the objective from which on a job is
	// rejected, with 429 and a retry time, if at the measured start rate it
	// would take longer and no worker has free capacity for it. Exempt are jobs
	// with a positive priority, scheduled jobs (Repeat, NotBefore), and jobs
	// with UntilCancelled. 1 to MaxRefuseBeyond. Default 0: no job is rejected
	// for this reason.
	RefuseBeyond float64 `json:"refuse_beyond,omitempty"`
}

// TeamConfig bounds the sum of the tasks of all queues that name the team.
type TeamConfig struct {
	// Name is 1 to 64 of a-z, 0-9, '-', '_' or '.'. Required.
	Name string `json:"name"`
	// MaxRunningTasks bounds open runs. Default 0: no bound.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxPendingTasks bounds pending tasks; a job that would exceed it is
	// rejected with 429. Default 0: the team adds no bound.
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
	// day of the week. Its times are local to TimeZone; see Schedule for changes of
	// local time.
	Cron string `json:"cron,omitempty"`
	// DailyAt is the local time, "HH:MM", at which a window starts each day. If
	// the time does not exist on a day, the window starts at the first moment
	// after it; if it occurs twice, at the first occurrence.
	DailyAt string `json:"daily_at,omitempty"`
	// TimeZone is an IANA name such as "America/Bogota". Default "UTC".
	TimeZone string `json:"time_zone,omitempty"`
	// Duration is the length of each window; above 0, at most 24h. Required.
	Duration Duration `json:"duration"`
	// Lead is how long before the start of a window its capacity is reserved.
	// The sum of Lead and Duration is at most the time between two starts. Runs
	// without MaxDuration that start before the lead may still be open when the
	// window starts. Default 5m.
	Lead Duration `json:"lead,omitempty"`
	// Slots is the number of equal slices, each for one task; 1 to 10000.
	// Required.
	Slots int `json:"slots"`
	// Slice is the amount of resources in one slice. Required.
	Slice Resources `json:"slice"`
	// Service and Labels restrict the workers on which slices are reserved.
	// Default: any worker.
	Service string            `json:"service,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	// BestEffort is true to accept the booking even if it exceeds the capacity
	// of the registered workers. Without it, that booking is rejected. Default
	// false.
	BestEffort bool `json:"best_effort,omitempty"`
}

// DrainConfig lists the workers and zones that get no new tasks.
type DrainConfig struct {
	// Workers are names of workers. Runs that are still open on them after
	// Timings.DrainGrace are stopped, and their tasks are placed on other
	// workers. Default: none.
	Workers []string `json:"workers,omitempty"`
	// Zones are names of zones in which every worker is drained. Default: none.
	Zones []string `json:"zones,omitempty"`
}

// LimitConfig bounds requests. A zero means the default.
type LimitConfig struct {
	// MaxJobBytes bounds the request body of a job, in bytes. Default 1 MiB.
	MaxJobBytes int64 `json:"max_job_bytes,omitempty"`
	// MaxTasksPerJob bounds the tasks of all steps of a job. Default 1000.
	MaxTasksPerJob int `json:"max_tasks_per_job,omitempty"`
	// MaxPendingTasks bounds the pending tasks of all queues. Default 200000.
	MaxPendingTasks int `json:"max_pending_tasks,omitempty"`
	// SubmitsPerSecond bounds the submissions that each front accepts. Default
	// 500.
	SubmitsPerSecond int `json:"submits_per_second,omitempty"`
}

// TimingConfig governs heartbeats, leases and retries. A zero means the
// default.
type TimingConfig struct {
	// HeartbeatInterval is the time between two heartbeats of a worker.
	// Default 200ms.
	HeartbeatInterval Duration `json:"heartbeat_interval,omitempty"`
	// Hold is the duration of a worker's lease: how long the worker may run
	// tasks after it sent the last heartbeat whose answer it accepted. Default
	// 3s.
	Hold Duration `json:"hold,omitempty"`
	// DriftMargin is the time beyond Hold after which the leader considers a
	// lease expired. It allows for clocks that run at different rates. Default
	// 300ms.
	DriftMargin Duration `json:"drift_margin,omitempty"`
	// RetryDelay is the backoff after the first failure of a task. It doubles
	// with each further failure, up to 32 times RetryDelay. The backoff of a
	// task with UntilCancelled is at most 2 s, or RetryDelay if that is longer.
	// Default 200ms.
	RetryDelay Duration `json:"retry_delay,omitempty"`
	// DrainGrace is how long runs on a drained worker or in a drained zone may
	// continue before they are stopped and their tasks placed on other workers.
	// Default 10s.
	DrainGrace Duration `json:"drain_grace,omitempty"`
	// MaxPreemptions is the number of preemptions after which a task is treated
	// as not preemptible. Default 3, at most 100.
	MaxPreemptions int `json:"max_preemptions,omitempty"`
	// Retention is how long a job can be read after it has ended. Default 168h.
	Retention Duration `json:"retention,omitempty"`
}
