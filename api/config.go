package api

// Config is the whole desired configuration, set by operators with
// PUT /v1/config and never in parts.
type Config struct {
	// Annotations are the operator's own texts: kept and returned unchanged,
	// and read by nothing here. At most MaxAnnotations entries, with values of
	// MaxAnnotationBytes at most. Default none.
	Annotations map[string]string `json:"annotations,omitempty"`
	// Queues take jobs; at least one. Names are unique.
	Queues []QueueConfig `json:"queues"`
	// Teams bound what their queues take together. Default none.
	Teams []TeamConfig `json:"teams,omitempty"`
	// Drains name what gets no new work.
	Drains DrainConfig `json:"drains"`
	// Limits bound what callers may ask for.
	Limits LimitConfig `json:"limits"`
	// Timings govern heartbeats and holds; they are checked together.
	Timings TimingConfig `json:"timings"`
}

// QueueConfig is one queue.
type QueueConfig struct {
	// Name is 1 to 64 of a-z, 0-9, '-', '_' or '.'. Required.
	Name string `json:"name"`
	// Annotations are the operator's own texts, as in Config. Default none.
	Annotations map[string]string `json:"annotations,omitempty"`
	// Service is that of tasks that name none. Default none: each task must.
	Service string `json:"service,omitempty"`
	// Objective is the time within which a job should end. Among jobs of equal
	// priority the one with the least time left to it goes first. Default none:
	// jobs go in the order in which they came.
	Objective *ObjectiveConfig `json:"objective,omitempty"`
	// Priority is added to each job's own. Default 0, from -1000 to 1000.
	Priority int `json:"priority,omitempty"`
	// Weight is the queue's share among queues of equal priority when room is
	// short. Default 1, from 1 to 1000.
	Weight int `json:"weight,omitempty"`
	// MaxRunningTasks bounds open runs of the queue. Default 0: no bound.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxPendingTasks bounds accepted tasks that are not final and have no
	// open run; a job beyond it is answered 429. Default 0: the limit
	// Limits.MaxPendingTasks alone.
	MaxPendingTasks int `json:"max_pending_tasks,omitempty"`
	// HeadroomPercent is the share of each worker, in hundredths, that tasks of
	// the queue leave free, so that more urgent work finds room at once: wherever
	// there is such room, and by waiting while over 60 percent of the room of their
	// service is taken. Groups, tasks with a rule of spread, tasks that run until
	// cancelled, and tasks too large to leave it on an empty worker never wait for it.
	// Default 0, up to MaxHeadroomPercent.
	HeadroomPercent int `json:"headroom_percent,omitempty"`
	// CallerShare bounds the waiting tasks of one caller (JobSpec.Caller) by what
	// is left free: a caller never has more than so many times the number of tasks
	// waiting that could still be taken, unless it had none waiting; a job beyond
	// that is answered 429. Default 1, from MinCallerShare to MaxCallerShare.
	CallerShare float64 `json:"caller_share,omitempty"`
	// DefaultAllowedFailures applies to tasks that name none. Default 3.
	DefaultAllowedFailures int `json:"default_allowed_failures,omitempty"`
	// Team names the team whose bounds the queue shares. Default none.
	Team string `json:"team,omitempty"`
	// Bookings reserve room for the queue ahead of events. Default none.
	Bookings []BookingConfig `json:"bookings,omitempty"`
}

// ObjectiveConfig is the time within which a job of a queue should end, counted
// from when it was handed in or, for an occurrence, from when it fell due:
// Target + Stretch x the Estimates along the job's longest chain of steps.
type ObjectiveConfig struct {
	// Target is the fixed part. Default 0.
	Target Duration `json:"target,omitempty"`
	// Stretch multiplies the estimates; 0 to MaxStretch. Default 0.
	Stretch float64 `json:"stretch,omitempty"`
	// RefuseBeyond refuses, with 429 and the time to come back, a job that by the
	// measured rate of starts will take longer than so many times its objective,
	// while no worker has room for it. 1 to MaxRefuseBeyond. Default 0: no job is
	// refused for that.
	RefuseBeyond float64 `json:"refuse_beyond,omitempty"`
}

// TeamConfig bounds the queues that name the team, taken together.
type TeamConfig struct {
	// Name is 1 to 64 of a-z, 0-9, '-', '_' or '.'. Required.
	Name string `json:"name"`
	// MaxRunningTasks bounds open runs. Default 0: no bound.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxPendingTasks bounds waiting tasks; a job beyond it is answered 429.
	// Default 0: no bound of its own.
	MaxPendingTasks int `json:"max_pending_tasks,omitempty"`
}

// BookingConfig is a standing booking: at each time of its schedule, room on
// real workers is kept for the queue's tasks. Exactly one of Cron and DailyAt
// is given.
type BookingConfig struct {
	// Name is unique in the queue, 1 to 64 of a-z, 0-9, '-', '_' or '.'.
	Name string `json:"name"`
	// Cron is a schedule of five fields: minute, hour, day, month, weekday. Its
	// times are local; Schedule says what holds where local time jumps.
	Cron string `json:"cron,omitempty"`
	// DailyAt is a local time of each day, "HH:MM". On a day on which it does
	// not exist the window begins at the first moment after it; on one on which
	// it comes twice, at the first of the two.
	DailyAt string `json:"daily_at,omitempty"`
	// TimeZone is an IANA name such as "America/Bogota". Default "UTC".
	TimeZone string `json:"time_zone,omitempty"`
	// Duration is the length of each window; over 0, at most 24h.
	Duration Duration `json:"duration"`
	// Lead is how long before the window room is kept free for it. With the
	// duration it is no longer than the time between two starts. Default 5m.
	// Work without a declared maximum duration that starts before the lead may
	// still be running at the window.
	Lead Duration `json:"lead,omitempty"`
	// Slots is the number of equal slices, each for one task; 1 to 10000.
	Slots int `json:"slots"`
	// Slice is the room of one slice.
	Slice Resources `json:"slice"`
	// Service and Labels say which workers the slices may lie on. Default any.
	Service string            `json:"service,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	// BestEffort accepts that the registered room may not hold all slots; a
	// booking that is not best effort is refused then.
	BestEffort bool `json:"best_effort,omitempty"`
}

// DrainConfig names workers and zones that get no new work.
type DrainConfig struct {
	// Workers are worker names: they get no new task; what runs there beyond
	// Timings.DrainGrace is stopped and placed elsewhere.
	Workers []string `json:"workers,omitempty"`
	// Zones are zone names: each of their workers is drained.
	Zones []string `json:"zones,omitempty"`
}

// LimitConfig bounds requests. A zero means the default.
type LimitConfig struct {
	// MaxJobBytes is the largest body of a job. Default 1 MiB.
	MaxJobBytes int64 `json:"max_job_bytes,omitempty"`
	// MaxTasksPerJob bounds all tasks of a job. Default 1000.
	MaxTasksPerJob int `json:"max_tasks_per_job,omitempty"`
	// MaxPendingTasks bounds waiting tasks of all queues. Default 200000.
	MaxPendingTasks int `json:"max_pending_tasks,omitempty"`
	// SubmitsPerSecond bounds accepted submissions of one front. Default 500.
	SubmitsPerSecond int `json:"submits_per_second,omitempty"`
}

// TimingConfig governs heartbeats and holds. A zero means the default.
type TimingConfig struct {
	// HeartbeatInterval is told to workers. Default 200ms.
	HeartbeatInterval Duration `json:"heartbeat_interval,omitempty"`
	// Hold is how long a worker may run on after an accepted heartbeat was
	// sent. Default 3s.
	Hold Duration `json:"hold,omitempty"`
	// DriftMargin is added to the hold in the scheduler's reckoning. Default
	// 300ms.
	DriftMargin Duration `json:"drift_margin,omitempty"`
	// RetryDelay is the pause before a failed task starts again; it doubles
	// with each failure, up to 32 times, or up to 2 s for a task that runs until
	// cancelled. Default 200ms.
	RetryDelay Duration `json:"retry_delay,omitempty"`
	// DrainGrace is how long tasks of a drained worker or evacuated zone may
	// go on before they are stopped and placed elsewhere. Default 10s.
	DrainGrace Duration `json:"drain_grace,omitempty"`
	// MaxPreemptions is how often one task is preempted; after that it counts
	// as not preemptible. Default 3, at most 100.
	MaxPreemptions int `json:"max_preemptions,omitempty"`
	// Retention is how long an ended job can be read back. Default 168h.
	Retention Duration `json:"retention,omitempty"`
}
