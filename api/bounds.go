package api

import "time"

// Fixed bounds of a job, independent of the configuration.
const (
	// MinPriority and MaxPriority bound the priorities of jobs and queues.
	MinPriority = -1000
	MaxPriority = 1000
	// MaxAllowedFailures bounds TaskSpec.AllowedFailures.
	MaxAllowedFailures = 1000
	// MaxGroupMembers bounds the tasks of a step that is a group (a gang).
	MaxGroupMembers = 512
	// MaxOccurrences bounds the occurrences of a repeating job.
	MaxOccurrences = 100_000
	// MaxOpenTasksPerJob bounds the total number of tasks in the open
	// occurrences of a repeating job. One occurrence may be open whatever its
	// number of tasks.
	MaxOpenTasksPerJob = 10_000
	// MaxReplicas bounds StepSpec.Replicas in addition to
	// LimitConfig.MaxTasksPerJob, so that sums over steps do not overflow an
	// int.
	MaxReplicas = 1_000_000
	// MaxCheckpointBytes bounds the size of a checkpoint.
	MaxCheckpointBytes = 4096
	// MaxServiceLength bounds the name of a service, in bytes.
	MaxServiceLength = 128
	// MaxResource bounds each dimension of Resources, so that sums over all
	// pending tasks do not overflow 64 bits.
	MaxResource = int64(1_000_000_000_000)
)

// Bounds of a configuration.
const (
	// MaxJobBytesBound is the maximum of LimitConfig.MaxJobBytes.
	MaxJobBytesBound = int64(16 << 20)
	// MaxAnnotations bounds the entries of one set of annotations.
	// MaxAnnotationBytes bounds the size of each value.
	MaxAnnotations     = 64
	MaxAnnotationBytes = 1 << 20
	// MaxStretch bounds ObjectiveConfig.Stretch.
	MaxStretch = 1000.0
	// MaxHeadroomPercent bounds QueueConfig.HeadroomPercent.
	MaxHeadroomPercent = 90
	// MinCallerShare and MaxCallerShare bound QueueConfig.CallerShare.
	MinCallerShare = 0.01
	MaxCallerShare = 1000.0
	// MaxRefuseBeyond bounds ObjectiveConfig.RefuseBeyond.
	MaxRefuseBeyond = 1000.0
	// MaxQueueWeight bounds QueueConfig.Weight.
	MaxQueueWeight = 1000
	// MinHeartbeatInterval bounds TimingConfig.HeartbeatInterval.
	MinHeartbeatInterval = 10 * time.Millisecond
	// HeartbeatsPerHold is the minimum number of heartbeat intervals in the
	// duration of a lease, so that the lease does not expire if one heartbeat
	// is lost.
	HeartbeatsPerHold = 4
	// MinHold and MaxHold bound TimingConfig.Hold, the duration of a lease.
	MinHold = 500 * time.Millisecond
	MaxHold = 5 * time.Second
	// DriftPerHold sets the minimum of TimingConfig.DriftMargin, which is
	// Hold/DriftPerHold: the rates of two monotonic clocks may differ by up to
	// one percent.
	DriftPerHold = 100
	// FailoverAllowance is the time allowed for the election of a new leader.
	// PlacingAllowance is the time allowed to place a task and send its
	// assignment.
	FailoverAllowance = 1500 * time.Millisecond
	PlacingAllowance  = 500 * time.Millisecond
	// MaxSilence bounds FailoverAllowance + Hold + DriftMargin +
	// PlacingAllowance, which is the time from a worker's last heartbeat until
	// its task starts on another worker (promise P11 in docs/DESIGN.md).
	MaxSilence = 7 * time.Second
	// MaxRetryDelay bounds TimingConfig.RetryDelay.
	MaxRetryDelay = time.Minute
	// MaxDrainGrace bounds TimingConfig.DrainGrace.
	MaxDrainGrace = time.Hour
	// MinRetention bounds TimingConfig.Retention.
	MinRetention = time.Minute
)

// Bounds of bookings and teams.
const (
	// MaxBookingDuration bounds BookingConfig.Duration.
	MaxBookingDuration = 24 * time.Hour
	// MaxBookingSlots bounds BookingConfig.Slots.
	MaxBookingSlots = 10_000
	// MaxPreemptionsBound is the maximum of TimingConfig.MaxPreemptions.
	MaxPreemptionsBound = 100
)

// Bounds of calls.
const (
	// MaxWait is the longest time for which a front delays the answer to a
	// read of a job that is not final.
	MaxWait = 60 * time.Second
	// MaxBookingHours bounds how far ahead bookings can be listed, in hours.
	MaxBookingHours = 168
	// MaxCancelledJobs bounds the ids of one CancelRequest.
	MaxCancelledJobs = 10_000
)
