package api

// checkLimits validates the limits. A zero means the default.
func checkLimits(errors *fieldErrors, limits LimitConfig) {
	checkRange(errors, "limits.max_job_bytes", limits.MaxJobBytes, 0, MaxJobBytesBound)
	checkAtLeast(errors, "limits.max_tasks_per_job", limits.MaxTasksPerJob, 0)
	checkAtLeast(errors, "limits.max_pending_tasks", limits.MaxPendingTasks, 0)
	checkAtLeast(errors, "limits.submits_per_second", limits.SubmitsPerSecond, 0)
}
