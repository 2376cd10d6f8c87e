package scheduler

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
)

// findQueue finds a queue of the configuration; nil if it has none of that name.
func findQueue(config *api.Config, name string) *api.QueueConfig {
	index := slices.IndexFunc(config.Queues, func(queue api.QueueConfig) bool { return queue.Name == name })
	if index < 0 {
		return nil
	}
	return &config.Queues[index]
}

// queuePriority is the priority that a queue adds to that of its jobs.
func queuePriority(config *api.Config, name string) int {
	queue := findQueue(config, name)
	if queue == nil {
		return 0
	}
	return queue.Priority
}

// quotaPart is what a queue that uses some of a shared bound counts for there.
func quotaPart(queue *api.QueueConfig, used int) admission.Participant {
	return admission.Participant{Weight: max(queue.Weight, api.DefaultQueueWeight), Used: used}
}
