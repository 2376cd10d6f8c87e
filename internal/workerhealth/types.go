package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

// Standing is how far a worker is trusted.
type HealthState string

// Standings.
const (
	// Healthy workers take any work.
	Healthy HealthState = "trusted"
	// Slow workers take work that finds no room elsewhere.
	Slow HealthState = "slow"
	// Suspect workers take no new work that any other could take.
	Suspect HealthState = "suspect"
	// Probation: one run at a time, and none that is a task's last attempt.
	Probation HealthState = "probation"
)

// ActiveWorker is a worker incarnation that takes work now.
type ActiveWorker struct {
	ID       string
	Services []string
}

// Status is a worker's standing and, unless it is trusted, the reason.
type Status struct {
	State  HealthState
	Reason string
}

// StatusChange is a verdict that is new.
type StatusChange struct {
	WorkerID string
	Status
	// Until is when the verdict is looked at again.
	Until time.Duration
}

// RunPace is how long one run took, or will take by its progress, against what was
// to be expected.
type RunPace struct {
	Run record.RunID
	// Queue names what is compared where the step is too small: the queue.
	Queue string
	// StepSize is the number of tasks of the run's step.
	StepSize int
	// DurationRatio is the time over the task's estimate; over 0.
	Ratio float64
	// Ended is true once the run has succeeded: only then does it tell what is
	// usual for the work.
	Ended bool
}

const (
	// maxRunEnds is how many of a worker's newest ends count.
	maxRunEnds = 16
	// runEndWindow is for how long an end counts.
	runEndWindow = 2 * time.Minute
	// A worker is suspect if failures make up half of what it did, in three
	// jobs, or a quarter, in four. At a share of 2% of tasks that fail by their
	// own fault, 3 among 6 ends are seen once in 6,000 such windows.
	fewFaultyJobs, highFaultShare  = 3, 0.5
	manyFaultyJobs, someFaultShare = 4, 0.25
	// outlierFactor is by how much a worker's share of failures must exceed that of
	// the others: a service that fails everywhere condemns nobody.
	outlierFactor = 2
	// stallWeight is how many failures a run that stood still counts for: it
	// held its room and its job up, and honest work seldom does that.
	stallWeight = 2

	// baseEjectionTime is how long a worker is held back at first. It doubles each time,
	// up to maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = time.Minute
	// requiredSuccesses end a probation, as does maxProbation without a
	// failure.
	requiredSuccesses = 3
	maxProbation      = 30 * time.Second
	// ejectionsResetAfter is how long a worker must have been trusted until its
	// next hold is the first one again.
	ejectionsResetAfter = 5 * time.Minute
	// workersPerEjection: at most one in so many workers of a service is held back, and
	// one in so many counts as slow.
	workersPerEjection = 4

	// maxPaceSamples is how many of a worker's newest runs count for its pace, minPaceSamples
	// how many are enough, and minPaceJobs of how many jobs they must be.
	maxPaceSamples, minPaceSamples, minPaceJobs = 16, 4, 3
	// paceWindow is for how long a run counts for its worker's pace.
	paceWindow = time.Minute
	// maxQueueSamples is how many runs tell what is usual for a queue's work.
	maxQueueSamples = 64
	// slowThreshold and slowRecovery are the paces, as multiples of what is usual, from
	// which on a worker is slow, and below which it no longer is.
	slowThreshold, slowRecovery = 2.0, 1.5
	// minStepSamples is how many runs of a step must have ended on other workers to
	// tell the pace of one, maxStepSamples how many are remembered, and maxSteps of how
	// many steps.
	minStepSamples, maxStepSamples = 2, 16
	maxSteps                       = 4096
	// maxQueues bounds the queues for which something is remembered.
	maxQueues = 1024
)
