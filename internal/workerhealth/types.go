package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

// Standing is how far a worker is trusted.
type Standing string

// Standings.
const (
	// Trusted workers take any work.
	Trusted Standing = "trusted"
	// Slow workers take work that finds no room elsewhere.
	Slow Standing = "slow"
	// Suspect workers take no new work that any other could take.
	Suspect Standing = "suspect"
	// Probation: one run at a time, and none that is a task's last attempt.
	Probation Standing = "probation"
)

// Subject is a worker incarnation that takes work now.
type Subject struct {
	ID       string
	Services []string
}

// Verdict is a worker's standing and, unless it is trusted, the reason.
type Verdict struct {
	Standing Standing
	Reason   string
}

// Change is a verdict that is new.
type Change struct {
	WorkerID string
	Verdict
	// Until is when the verdict is looked at again.
	Until time.Duration
}

// Pace is how long one run took, or will take by its progress, against what was
// to be expected.
type Pace struct {
	Run record.RunID
	// Work names what is compared where the step is too small: the queue.
	Work string
	// StepSize is the number of tasks of the run's step.
	StepSize int
	// Ratio is the time over the task's estimate; over 0.
	Ratio float64
	// Ended is true once the run has succeeded: only then does it tell what is
	// usual for the work.
	Ended bool
}

const (
	// eventsKept is how many of a worker's newest ends count.
	eventsKept = 16
	// eventLife is for how long an end counts.
	eventLife = 2 * time.Minute
	// A worker is suspect if failures make up half of what it did, in three
	// jobs, or a quarter, in four. At a share of 2% of tasks that fail by their
	// own fault, 3 among 6 ends are seen once in 6,000 such windows.
	fewBadJobs, highBadShare  = 3, 0.5
	manyBadJobs, someBadShare = 4, 0.25
	// timesOthers is by how much a worker's share of failures must exceed that of
	// the others: a service that fails everywhere condemns nobody.
	timesOthers = 2
	// stallWeight is how many failures a run that stood still counts for: it
	// held its room and its job up, and honest work seldom does that.
	stallWeight = 2

	// firstHold is how long a worker is held back at first. It doubles each time,
	// up to maxHold.
	firstHold = 2 * time.Second
	maxHold   = time.Minute
	// probationSuccesses end a probation, as does probationLife without a
	// failure.
	probationSuccesses = 3
	probationLife      = 30 * time.Second
	// strikesForgotten is how long a worker must have been trusted until its
	// next hold is the first one again.
	strikesForgotten = 5 * time.Minute
	// heldBackPart: at most one in so many workers of a service is held back, and
	// one in so many counts as slow.
	heldBackPart = 4

	// pacesKept is how many of a worker's newest runs count for its pace, pacesNeeded
	// how many are enough, and jobsNeeded of how many jobs they must be.
	pacesKept, pacesNeeded, jobsNeeded = 16, 4, 3
	// paceLife is for how long a run counts for its worker's pace.
	paceLife = time.Minute
	// usualKept is how many runs tell what is usual for a queue's work.
	usualKept = 64
	// slowFrom and slowTo are the paces, as multiples of what is usual, from
	// which on a worker is slow, and below which it no longer is.
	slowFrom, slowTo = 2.0, 1.5
	// siblingsNeeded is how many runs of a step must have ended on other workers to
	// tell the pace of one, siblingsKept how many are remembered, and stepsKept of how
	// many steps.
	siblingsNeeded, siblingsKept = 2, 16
	stepsKept                    = 4096
	// queuesKept bounds the queues for which something is remembered.
	queuesKept = 1024
)
