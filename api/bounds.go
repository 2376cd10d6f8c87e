package api

import "time"

// Bounds of a job that no configuration changes.
const (
	// MinPriority and MaxPriority bound priorities of jobs and queues.
	MinPriority = -1000
	MaxPriority = 1000
	// MaxAllowedFailures bounds allowed failures of a task.
	MaxAllowedFailures = 1000
	// MaxGroupMembers bounds the tasks of a step that start together.
	MaxGroupMembers = 512
	// MaxOccurrences bounds the occurrences of a repeating job.
	MaxOccurrences = 100_000
	// MaxOpenTasksPerJob bounds the tasks of a repeating job's open occurrences
	// together; one occurrence is open in any case.
	MaxOpenTasksPerJob = 10_000
	// MaxReplicas bounds the equal tasks of one step, whatever the configuration
	// says, so that sums over steps stay within an int.
	MaxReplicas = 1_000_000
	// MaxCheckpointBytes bounds a checkpoint, in bytes.
	MaxCheckpointBytes = 4096
	// MaxServiceLength bounds the name of a service, in bytes.
	MaxServiceLength = 128
	// MaxResource bounds each dimension of room, so that sums over every
	// waiting task stay within 64 bits.
	MaxResource = int64(1_000_000_000_000)
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

// Bounds of bookings and teams.
const (
	// MaxBookingDuration is the longest window.
	MaxBookingDuration = 24 * time.Hour
	// MaxBookingSlots bounds the slices of one booking.
	MaxBookingSlots = 10_000
	// MaxPreemptionsBound is the most that Timings.MaxPreemptions may be.
	MaxPreemptionsBound = 100
)

// Bounds of calls.
const (
	// MaxBookingHours is the farthest that bookings are read ahead.
	MaxBookingHours = 168
	// MaxCancelledJobs is the most ids of one CancelRequest.
	MaxCancelledJobs = 10_000
)
