package api

import "fmt"

// checkQueues validates each queue, and that there is one and names are unique.
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
		checkUnique(errors, first, "queues", index, queue.Name)
	}
}

// checkQueue validates the fields of one queue, except for its team and bookings.
// A zero weight means the default.
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

// checkService validates the length of an optional service name.
func checkService(errors *fieldErrors, field, service string) {
	if len(service) > MaxServiceLength {
		errors.add(field, service, fmt.Sprintf("a service name of at most %d bytes", MaxServiceLength))
	}
}
