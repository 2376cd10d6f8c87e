package scheduler

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
)

// findQueue returns the configuration of a queue, or nil if there is none of that name.
func findQueue(config *api.Config, name string) *api.QueueConfig {
	index := slices.IndexFunc(config.Queues, func(queue api.QueueConfig) bool { return queue.Name == name })
	if index < 0 {
		return nil
	}
	return &config.Queues[index]
}

// queuePriority returns the priority that a queue adds to its jobs' own, 0 if the queue
// is not configured.
func queuePriority(config *api.Config, name string) int {
	queue := findQueue(config, name)
	if queue == nil {
		return 0
	}
	return queue.Priority
}

// queueShare returns a queue as a participant of a limit that queues share; used is its
// current use. A weight below the default counts as the default.
func queueShare(queue *api.QueueConfig, used int) admission.Participant {
	return admission.Participant{Weight: max(queue.Weight, api.DefaultQueueWeight), Used: used}
}
