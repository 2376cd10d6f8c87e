package featuregate

import (
	"fmt"
	"slices"
	"strings"
)

// Feature names a mechanism.
type Feature string

// Mechanisms of package scheduler.
const (
	// ObjectiveTiers order waiting tasks by what their objectives leave.
	ObjectiveTiers Feature = "objective_tiers"
	// LoadDeference let a queue under pressure wait for those within their share.
	LoadDeference Feature = "yields"
	// LocalityWait lets a task wait a moment for a worker that it prefers.
	LocalityWait Feature = "locality_wait"
	// StallTracking stops runs that stand still.
	StallTracking Feature = "stall_tracking"
	// SlowTracking gives workers that are slower than others work last.
	SlowTracking Feature = "slow_tracking"
	// SiblingPace compares a run's pace with its step's runs on other workers.
	SiblingPace Feature = "sibling_pace"
	// OutlierEjection holds workers back on which work fails or stands still, and has them
	// prove themselves on probation.
	OutlierEjection Feature = "suspicion"
	// FailedWorkerAvoidance has a task run elsewhere than where it failed.
	FailedWorkerAvoidance Feature = "avoidance"
	// RevokeOnMissedHeartbeats takes runs that no order has named back from silent workers.
	RevokeOnMissedHeartbeats Feature = "withdrawal"
	// UnresponsiveWorkersLast gives silent workers work last.
	UnresponsiveWorkersLast Feature = "doubt"
	// Preemption stops runs that said that they may be for work that goes first.
	Preemption Feature = "preemption"
	// HeartbeatWidening makes the heartbeat interval grow with the number of workers.
	HeartbeatWidening Feature = "heartbeat_widening"
)

// Mechanisms of package placement.
const (
	// Headroom leaves a part of each worker to queues that are urgent.
	Headroom Feature = "headroom"
	// BackfillReservation keeps workers for large tasks while a queue yields.
	BackfillReservation Feature = "kept_room"
	// LastResortCapacity gives work that lasts whatever room there is.
	LastResortCapacity Feature = "last_room"
	// PreferredShare leaves a part of preferred workers to tasks that prefer them.
	PreferredShare Feature = "preferred_share"
	// StepShare spreads a step over two workers at least.
	StepShare Feature = "step_share"
	// PreferredDomain places the tasks of a step in one domain where it asks for that.
	PreferredDomain Feature = "home_domain"
)

// All returns every mechanism, in the order in which reports list them.
func All() []Feature {
	return []Feature{
		ObjectiveTiers, LoadDeference, LocalityWait, StallTracking, SlowTracking, SiblingPace, OutlierEjection, FailedWorkerAvoidance,
		RevokeOnMissedHeartbeats, UnresponsiveWorkersLast, Preemption, HeartbeatWidening,
		Headroom, BackfillReservation, LastResortCapacity, PreferredShare, StepShare, PreferredDomain,
	}
}

// DisabledSet is a set of mechanisms that are switched off; the zero value has none.
type DisabledSet struct{ features []Feature }

// Has reports whether a mechanism is switched off.
func (o DisabledSet) Has(name Feature) bool { return slices.Contains(o.features, name) }

// Features returns the mechanisms that are off.
func (o DisabledSet) Features() []Feature { return slices.Clone(o.features) }

// IsKnown reports whether there is a mechanism of that name.
func IsKnown(name string) bool { return slices.Contains(All(), Feature(name)) }

// Parse makes a set of names. It fails on an unknown one, and tells which there are.
func Parse(names []string) (DisabledSet, error) {
	var disabled DisabledSet
	for _, name := range names {
		if !IsKnown(name) {
			return DisabledSet{}, fmt.Errorf("mechanism: %q is none, expected one of %s", name, joinedNames())
		}
		disabled.features = append(disabled.features, Feature(name))
	}
	return disabled, nil
}

// joinedNames is all names in one line.
func joinedNames() string {
	var texts []string
	for _, name := range All() {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ", ")
}
