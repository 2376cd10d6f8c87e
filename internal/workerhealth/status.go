package workerhealth

import "time"

// HealthState says how far a worker is trusted with runs. Its text appears in logs.
type HealthState string

// Health states.
const (
	// Healthy workers take any work.
	Healthy HealthState = "trusted"
	// Slow workers take work that fits on no other worker.
	Slow HealthState = "slow"
	// Suspect workers are ejected: they take no new work that any other worker
	// could take.
	Suspect HealthState = "suspect"
	// Probation follows on Suspect: the worker gets one run at a time, and none that
	// is the last attempt of its task.
	Probation HealthState = "probation"
)

// ActiveWorker is a worker incarnation that is able to take work at the time of a
// review.
type ActiveWorker struct {
	// ID is the worker id of the incarnation.
	ID string
	// Services are the services that it offers. The bounds on ejected and slow workers
	// hold for each of them.
	Services []string
}

// countIn counts the worker for each of its services.
func (a ActiveWorker) countIn(byService map[string]int) {
	for _, service := range a.Services {
		byService[service]++
	}
}

// Status is the health of a worker incarnation.
type Status struct {
	State HealthState
	// Reason says why the worker is not healthy; empty if it is.
	Reason string
}

// StatusChange is a transition of a worker to a new status.
type StatusChange struct {
	// WorkerID is the incarnation that the status is of.
	WorkerID string
	Status
	// Until is when the status is reviewed again. It does not apply to Healthy.
	Until time.Duration
}
