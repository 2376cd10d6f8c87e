package api

import "fmt"

// checkTimings validates the timings, in which defaults are filled in, each on its
// own and then together.
func checkTimings(errors *fieldErrors, timings TimingConfig) {
	checkRange(errors, "timings.hold", timings.Hold, Duration(MinHold), Duration(MaxHold))
	checkHeartbeat(errors, timings)
	checkMargin(errors, timings)
	checkRange(errors, "timings.retry_delay", timings.RetryDelay, 0, Duration(MaxRetryDelay))
	checkRange(errors, "timings.drain_grace", timings.DrainGrace, 0, Duration(MaxDrainGrace))
	checkRange(errors, "timings.max_preemptions", timings.MaxPreemptions, 0, MaxPreemptionsBound)
	checkAtLeast(errors, "timings.retention", timings.Retention, Duration(MinRetention))
}

// checkHeartbeat validates that at least HeartbeatsPerHold heartbeat intervals fit
// into the duration of a lease.
func checkHeartbeat(errors *fieldErrors, timings TimingConfig) {
	maxInterval := timings.Hold / HeartbeatsPerHold
	if timings.HeartbeatInterval < Duration(MinHeartbeatInterval) || timings.HeartbeatInterval > maxInterval {
		errors.add("timings.heartbeat_interval", timings.HeartbeatInterval,
			fmt.Sprintf("%v to %v, a quarter of the hold", MinHeartbeatInterval, maxInterval))
	}
}

// checkMargin validates the drift margin against the duration of a lease, and that
// the sum of both complies with MaxSilence.
func checkMargin(errors *fieldErrors, timings TimingConfig) {
	minMargin := timings.Hold / DriftPerHold
	if timings.DriftMargin < minMargin || timings.DriftMargin > timings.Hold {
		errors.add("timings.drift_margin", timings.DriftMargin,
			fmt.Sprintf("%v, a hundredth of the hold, to %v, the hold", minMargin, timings.Hold))
	}
	maxSum := Duration(MaxSilence - FailoverAllowance - PlacingAllowance)
	if sum := timings.Hold + timings.DriftMargin; sum > maxSum {
		errors.add("timings.hold", fmt.Sprintf("%v, with drift_margin %v", timings.Hold, sum),
			fmt.Sprintf("hold and drift_margin together at most %v, so that a silent worker's task starts elsewhere within %v",
				maxSum, MaxSilence))
	}
}
