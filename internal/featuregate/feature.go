package featuregate

import "slices"

// Feature is a policy that can be disabled; its text is its name in the settings.
type Feature string

// Features of package scheduler.
const (
	// ObjectiveTiers orders waiting tasks by the time left to meet their objectives.
	ObjectiveTiers Feature = "objective_tiers"
	// LoadDeference makes an overloaded queue defer to queues that are within their share.
	LoadDeference Feature = "yields"
	// LocalityWait makes a task wait for a short time for a worker that it prefers.
	LocalityWait Feature = "locality_wait"
	// StallTracking stops runs that make no progress.
	StallTracking Feature = "stall_tracking"
	// SlowTracking detects slow workers and places work on them last.
	SlowTracking Feature = "slow_tracking"
	// SiblingPace compares the pace of a run with the runs of its step on other workers.
	SiblingPace Feature = "sibling_pace"
	// OutlierEjection ejects workers on which runs fail or stall, until the workers have
	// passed probation.
	OutlierEjection Feature = "suspicion"
	// FailedWorkerAvoidance places a task on a worker other than the one it failed on.
	FailedWorkerAvoidance Feature = "avoidance"
	// RevokeOnMissedHeartbeats takes runs whose assignment was not sent yet away from
	// workers that have missed heartbeats.
	RevokeOnMissedHeartbeats Feature = "withdrawal"
	// UnresponsiveWorkersLast places work last on workers that have missed heartbeats, or
	// whose newest answer did not arrive.
	UnresponsiveWorkersLast Feature = "doubt"
	// Preemption stops runs that allow it in favor of work that takes precedence.
	Preemption Feature = "preemption"
	// HeartbeatWidening lengthens the heartbeat interval with the number of workers.
	HeartbeatWidening Feature = "heartbeat_widening"
)

// Features of package placement.
const (
	// Headroom reserves part of each worker for urgent queues.
	Headroom Feature = "headroom"
	// BackfillReservation reserves workers for blocked large tasks while a queue defers.
	BackfillReservation Feature = "kept_room"
	// LastResortCapacity lets tasks that run until they are cancelled use capacity that
	// is withheld from other tasks: headroom, restricted workers, and the capacity that
	// is being drained for a gang.
	LastResortCapacity Feature = "last_room"
	// PreferredShare reserves part of preferred workers for the tasks that prefer them.
	PreferredShare Feature = "preferred_share"
	// StepShare spreads the tasks of a step over at least two workers.
	StepShare Feature = "step_share"
	// PreferredDomain places all tasks of a step in one domain if the step asks for it.
	PreferredDomain Feature = "home_domain"
)

// All returns every feature, in the order in which reports list them.
func All() []Feature {
	return []Feature{
		ObjectiveTiers, LoadDeference, LocalityWait, StallTracking, SlowTracking, SiblingPace,
		OutlierEjection, FailedWorkerAvoidance, RevokeOnMissedHeartbeats, UnresponsiveWorkersLast, Preemption,
		HeartbeatWidening,
		Headroom, BackfillReservation, LastResortCapacity, PreferredShare, StepShare, PreferredDomain,
	}
}

// IsKnown reports whether there is a feature with that name.
func IsKnown(name string) bool { return slices.Contains(All(), Feature(name)) }
