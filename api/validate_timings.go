package api

import "fmt"

// checkTimings validates the timings, with defaults filled in, on their own
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

// checkHeartbeat validates the heartbeat interval against the duration of the
// lease.
func checkHeartbeat(errors *fieldErrors, timings TimingConfig) {
	most := timings.Hold / HeartbeatsPerHold
	if timings.HeartbeatInterval < Duration(MinHeartbeatInterval) || timings.HeartbeatInterval > most {
		errors.add("timings.heartbeat_interval", timings.HeartbeatInterval,
			fmt.Sprintf("%v to %v, a quarter of the hold", MinHeartbeatInterval, most))
	}
}

// checkMargin validates the drift margin against the duration of the lease,
// and both against MaxSilence.
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
