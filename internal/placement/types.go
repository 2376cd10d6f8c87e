package placement

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/placement/feasibility"
	"github.com/decklever/decklever/internal/record"
)

// Worker is what the engine knows of a worker incarnation.
type Worker = feasibility.Worker

// Task is a task that waits to be placed, or whose run is added.
type Task struct {
	ID    record.TaskID
	Queue string
	// Priority is that of the job and of the queue together; higher goes first.
	Priority int
	// Sequence orders tasks of equal priority: lower first.
	Sequence uint64
	Spec     *api.TaskSpec
	// Gang is "JOB/STEP" for members that must start together, else empty;
	// GangSize is the number of members that must wait here together.
	Gang     string
	GangSize int
	// StartedAt is when the run was placed, for AddRun only; 0 is now.
	StartedAt record.Millis
	// Preemptions is how often the task was preempted; from the bound on it counts as
	// not preemptible.
	Preemptions int
	// UntilCancelled: the task has no end of its own, or a member of its gang, with which
	// it shares its outcome, has none. It takes whatever capacity there is, as a last
	// resort.
	UntilCancelled bool
	// Preferences is what the task would rather have; nil for none. It is never
	// changed once the task was added.
	*Preferences
}

// Preferences are soft constraints: what a task would rather have of its worker. They
// are weighed before fullness among the workers that can take the task, and never make
// it wait, but for WaitsForPreferred.
type Preferences struct {
	// StepSize is the number of tasks of the step; 0 if it is not known.
	StepSize int
	// Colocate is the step's soft domain, as in api.StepSpec.
	Colocate string
	// WaitsForPreferred has the task wait for a worker with all labels of
	// TaskSpec.Prefer, while some sound one has them. Whoever sets it takes it back
	// after a time: adding the task again without it.
	WaitsForPreferred bool
	// Avoid names workers on which runs of the task failed: others come first.
	Avoid []string
	// AllowsProbation allows workers on probation, PrefersProbation prefers them.
	AllowsProbation, PrefersProbation bool
}

// Reservation is one window for which slots are reserved now: from its lead time until
// its end.
type Reservation struct {
	// ID is "QUEUE/NAME/START", START in Unix milliseconds.
	ID       string
	Queue    string
	Start    record.Millis
	End      record.Millis
	Slots    int
	SlotSize api.Resources
	Service  string
	Labels   map[string]string
}

// Preemption asks for a run to be stopped so that Beneficiary can be placed.
type Preemption struct {
	Task        record.TaskID
	WorkerID    string
	Beneficiary record.TaskID
}

// ReservedSlots counts a reservation's slots on one worker.
type ReservedSlots struct {
	Reservation string
	WorkerID    string
	Worker      string
	Slots       int
	Used        int
}

// ReservationPlanner lists the calls of Engine that concern time, reservations, teams and
// preemption.
type ReservationPlanner interface {
	// SetTeams replaces the rules of all teams; QueueRule.Team joins a queue.
	SetTeams(rules []TeamRule)
	// SetMaxPreemptions sets the bound on preemptions of one task.
	SetMaxPreemptions(limit int)
	// SetTime sets the cluster time; it decides which tasks of other queues
	// end before a window, by their MaxDuration.
	SetTime(now record.Millis)
	// SetReservations replaces the windows for which slots are reserved now. Slots of
	// those known before stay where they are, if their worker still serves.
	SetReservations(reservations []Reservation)
	// ReservedSlots says where slots lie.
	ReservedSlots() []ReservedSlots
	// Preemptions returns and forgets the runs that the last Plan wants
	// stopped. What they take counts as taken until Release; the same run is not
	// named twice.
	Preemptions() []Preemption
}

// Decision places one task.
type Decision struct {
	Task     record.TaskID
	WorkerID string
	Worker   string
	Gang     string
}

// Planner lists the calls of Engine.
//
// A decision returned by Plan is taken as an open run at once: its resources are taken
// until Release. The task is no longer waiting.
type Planner interface {
	// SetQueues replaces the rules of all queues.
	SetQueues(rules []QueueRule)
	// SetWorker adds or changes a worker; RemoveWorker forgets one. Open runs
	// of a removed worker are forgotten with it.
	SetWorker(worker Worker)
	RemoveWorker(id string)
	// AddRun takes resources for a run that the record already has open, at start or when
	// it was placed by another leader. Idempotent for the same task.
	AddRun(task Task, workerID string)
	// Release gives back what a task's run takes. Unknown: no effect.
	Release(task record.TaskID)
	// Add makes a task wait; Remove takes it out. Both are idempotent.
	Add(task Task)
	Remove(task record.TaskID)
	// Plan places at most limit tasks (a gang counts as its members, and may exceed the
	// limit if it comes first): highest priority first, then fair by weight among queues,
	// then by Sequence. Queues with BySlack count as one in that, with the sum of their
	// weights, and take turns by Sequence alone.
	Plan(limit int) []Decision
	// Reason says why a task waits, from the state at the time of the call; empty for one
	// that does not wait. The texts are shown to users.
	Reason(task record.TaskID) string
	// Feasible reports whether any of the given workers, all empty, could hold the task;
	// if not, why.
	Feasible(spec *api.TaskSpec, workers []Worker) (bool, string)
	// SetDeferences says which queues with BySlack let which others go first. One does
	// while it has more than its weight's share of the open runs, of itself and of those
	// others that have something waiting, so that its burst does them no harm: it goes
	// after them whatever its Sequence, and leaves alone the workers that are reserved
	// for their tasks.
	SetDeferences(deferences []Deference)
	// HasFreeCapacity reports whether the task fits on some worker now, outside of what
	// is reserved. Spread is not considered.
	HasFreeCapacity(spec *api.TaskSpec) bool
	// Waiting is the number of tasks that wait.
	Waiting() int
}

// Rules of queues and teams, as package fairshare describes them.
type (
	// QueueRule is what the engine must know of a queue.
	QueueRule = fairshare.QueueRule
	// TeamRule is what the engine must know of a team.
	TeamRule = fairshare.TeamRule
	// Deference says that a queue lets others go first under load.
	Deference = fairshare.Deference
)
