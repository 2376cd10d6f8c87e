package workerhealth

import "time"

// HealthState is the health of a worker, which determines the runs that it gets. Its text
// appears in logs.
type HealthState string

// Health states.
const (
	// Healthy workers get any task.
	Healthy HealthState = "trusted"
	// Slow workers get a task only if no suitable worker that is not slow has capacity.
	Slow HealthState = "slow"
	// Suspect workers are ejected: they get no new task that another worker could run.
	Suspect HealthState = "suspect"
	// Probation follows Suspect: the worker gets one run at a time, and none that is the
	// last attempt of its task.
	Probation HealthState = "probation"
)

// ActiveWorker is a worker incarnation that can get tasks at the time of a review.
type ActiveWorker struct {
	// ID is the worker id of the incarnation.
	ID string
	// Services has the services that the worker offers. The bounds on ejected and slow
	// workers apply to each of them.
	Services []string
}

// countIn adds one to the count of each of the worker's services.
func (a ActiveWorker) countIn(byService map[string]int) {
	for _, service := range a.Services {
		byService[service]++
	}
}

// Status is the health of a worker incarnation.
type Status struct {
	State HealthState
	// Reason is why the worker is not healthy; empty if it is.
	Reason string
}

// StatusChange is a transition of a worker to a new status.
type StatusChange struct {
	// WorkerID is the worker id of the incarnation.
	WorkerID string
	Status
	// ReviewAt is when the status is due for review. Probation may end before, and a Slow
	// worker may be ejected before. It does not apply to Healthy.
	ReviewAt time.Duration
}
