package api

import (
	"fmt"
	"time"
)

// Bounds of a configuration.
const (
	// MaxJobBytesBound is the most that Limits.MaxJobBytes may be, in bytes.
	MaxJobBytesBound = int64(16 << 20)
	// MaxAnnotations bounds the entries of one set of annotations, and
	// MaxAnnotationBytes each value, in bytes.
	MaxAnnotations     = 64
	MaxAnnotationBytes = 1 << 20
	// MaxStretch bounds the factor of an objective.
	MaxStretch = 1000.0
	// MaxHeadroomPercent bounds what a queue leaves free of each worker.
	MaxHeadroomPercent = 90
	// MinCallerShare and MaxCallerShare bound a queue's CallerShare.
	MinCallerShare = 0.01
	MaxCallerShare = 1000.0
	// MaxRefuseBeyond bounds the multiple of an objective beyond which jobs are
	// refused.
	MaxRefuseBeyond = 1000.0
	// MaxQueueWeight bounds a queue's weight.
	MaxQueueWeight = 1000
	// MinHeartbeatInterval is the shortest pause between heartbeats.
	MinHeartbeatInterval = 10 * time.Millisecond
	// HeartbeatsPerHold is the least number of heartbeats within one hold, so
	// that a lost one does not end it.
	HeartbeatsPerHold = 4
	// MinHold and MaxHold bound the hold.
	MinHold = 500 * time.Millisecond
	MaxHold = 5 * time.Second
	// DriftPerHold: the drift margin is at least hold/DriftPerHold, since two
	// monotonic clocks may differ in rate by up to one percent.
	DriftPerHold = 100
	// FailoverAllowance is the longest time to a new leader, and
	// PlacingAllowance that to place a task and hand out its order.
	FailoverAllowance = 1500 * time.Millisecond
	PlacingAllowance  = 500 * time.Millisecond
	// MaxSilence bounds FailoverAllowance + hold + drift margin +
	// PlacingAllowance: the time after which the task of a silent worker
	// starts elsewhere (promise P11).
	MaxSilence = 7 * time.Second
	// MaxRetryDelay bounds the pause before a failed task starts again.
	MaxRetryDelay = time.Minute
	// MaxDrainGrace bounds the time that drained work may go on.
	MaxDrainGrace = time.Hour
	// MinRetention is the least time that ended jobs are kept.
	MinRetention = time.Minute
)

// ValidateConfig checks a configuration that an operator hands in and returns
// every wrong field. The built-in version 0, which has no queues, is in force
// without this check. Schedules are checked for what comes after the present
// time; see ValidateConfigAt.
func ValidateConfig(config *Config) []FieldError { return ValidateConfigAt(config, time.Now()) }

// ValidateConfigAt is ValidateConfig at a given time. Starts of each booking in
// the 400 days after it, 20000 at most, are held against its lead and duration.
func ValidateConfigAt(config *Config, now time.Time) []FieldError {
	var errors fieldErrors
	checkAnnotations(&errors, "annotations", config.Annotations)
	checkQueues(&errors, config)
	checkTeams(&errors, config.Teams)
	checkBookings(&errors, config, now)
	checkNames(&errors, "drains.workers", config.Drains.Workers)
	checkNames(&errors, "drains.zones", config.Drains.Zones)
	checkLimits(&errors, config.Limits)
	checkTimings(&errors, config.Timings.WithDefaults())
	return errors.all()
}

// checkQueues checks each queue and that names are unique.
func checkQueues(errors *fieldErrors, config *Config) {
	if len(config.Queues) == 0 {
		errors.add("queues", "[]", "at least one queue")
	}
	first := make(map[string]int, len(config.Queues))
	for index, queue := range config.Queues {
		path := fmt.Sprintf("queues[%d]", index)
		checkQueue(errors, path, queue)
		if _, found := config.queueTeam(&queue); queue.Team != "" && !found {
			errors.add(path+".team", queue.Team, "the name of a team of this configuration")
		}
		checkFirst(errors, first, "queues", index, queue.Name)
	}
}

// checkQueue checks one queue for itself. A zero weight means the default.
func checkQueue(errors *fieldErrors, path string, queue QueueConfig) {
	checkShortName(errors, path+".name", queue.Name)
	checkAnnotations(errors, path+".annotations", queue.Annotations)
	checkService(errors, path+".service", queue.Service)
	checkObjective(errors, path+".objective", queue.Objective)
	checkRange(errors, path+".priority", queue.Priority, MinPriority, MaxPriority)
	checkRange(errors, path+".weight", queue.Weight, 0, MaxQueueWeight)
	checkAtLeast(errors, path+".max_running_tasks", queue.MaxRunningTasks, 0)
	checkAtLeast(errors, path+".max_pending_tasks", queue.MaxPendingTasks, 0)
	checkRange(errors, path+".headroom_percent", queue.HeadroomPercent, 0, MaxHeadroomPercent)
	checkFactor(errors, path+".caller_share", queue.CallerShare, MinCallerShare, MaxCallerShare)
	checkRange(errors, path+".default_allowed_failures", queue.DefaultAllowedFailures, 0, MaxAllowedFailures)
}

// checkService checks the length of a service that may be left out.
func checkService(errors *fieldErrors, field, service string) {
	if len(service) > MaxServiceLength {
		errors.add(field, service, fmt.Sprintf("a service name of at most %d bytes", MaxServiceLength))
	}
}

// checkNames checks that names are not empty and that none stands twice.
func checkNames(errors *fieldErrors, path string, names []string) {
	first := make(map[string]int, len(names))
	for index, name := range names {
		field := fmt.Sprintf("%s[%d]", path, index)
		if name == "" {
			errors.add(field, name, "a name")
			continue
		}
		if other, taken := first[name]; taken {
			errors.add(field, name, fmt.Sprintf("a name other than that of %s[%d]", path, other))
			continue
		}
		first[name] = index
	}
}

// checkLimits checks the limits; zeros mean defaults.
func checkLimits(errors *fieldErrors, limits LimitConfig) {
	checkRange(errors, "limits.max_job_bytes", limits.MaxJobBytes, 0, MaxJobBytesBound)
	checkAtLeast(errors, "limits.max_tasks_per_job", limits.MaxTasksPerJob, 0)
	checkAtLeast(errors, "limits.max_pending_tasks", limits.MaxPendingTasks, 0)
	checkAtLeast(errors, "limits.submits_per_second", limits.SubmitsPerSecond, 0)
}

// checkTimings checks the timings, with defaults filled in, for themselves
// and against each other.
func checkTimings(errors *fieldErrors, timings TimingConfig) {
	checkRange(errors, "timings.hold", timings.Hold, Duration(MinHold), Duration(MaxHold))
	checkHeartbeat(errors, timings)
	checkMargin(errors, timings)
	checkRange(errors, "timings.retry_delay", timings.RetryDelay, 0, Duration(MaxRetryDelay))
	checkRange(errors, "timings.drain_grace", timings.DrainGrace, 0, Duration(MaxDrainGrace))
	checkRange(errors, "timings.max_preemptions", timings.MaxPreemptions, 0, MaxPreemptionsBound)
	checkAtLeast(errors, "timings.retention", timings.Retention, Duration(MinRetention))
}

// checkHeartbeat checks the interval against the hold.
func checkHeartbeat(errors *fieldErrors, timings TimingConfig) {
	most := timings.Hold / HeartbeatsPerHold
	if timings.HeartbeatInterval < Duration(MinHeartbeatInterval) || timings.HeartbeatInterval > most {
		errors.add("timings.heartbeat_interval", timings.HeartbeatInterval,
			fmt.Sprintf("%v to %v, a quarter of the hold", MinHeartbeatInterval, most))
	}
}

// checkMargin checks the drift margin against the hold, and both against the
// time after which a silent worker's task must have started elsewhere.
func checkMargin(errors *fieldErrors, timings TimingConfig) {
	least := timings.Hold / DriftPerHold
	if timings.DriftMargin < least || timings.DriftMargin > timings.Hold {
		errors.add("timings.drift_margin", timings.DriftMargin,
			fmt.Sprintf("%v, a hundredth of the hold, to %v, the hold", least, timings.Hold))
	}
	bound := Duration(MaxSilence - FailoverAllowance - PlacingAllowance)
	if sum := timings.Hold + timings.DriftMargin; sum > bound {
		errors.add("timings.hold", fmt.Sprintf("%v, with drift_margin %v", timings.Hold, sum),
			fmt.Sprintf("hold and drift_margin together at most %v, so that a silent worker's task starts elsewhere within %v",
				bound, MaxSilence))
	}
}
