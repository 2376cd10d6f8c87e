package placement

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/placement/feasibility"
	"github.com/decklever/decklever/internal/record"
)

// Worker describes a worker incarnation to the engine.
type Worker = feasibility.Worker

// Task is a task that waits to be placed, or the task of a run passed to AddRun.
type Task struct {
	ID    record.TaskID
	Queue string
	// Priority combines the priorities of the job and of the queue; higher goes first.
	Priority int
	// Sequence orders tasks of equal priority; the lowest goes first.
	Sequence uint64
	Spec     *api.TaskSpec
	// Gang is "JOB/STEP" for members that must start together, otherwise empty. GangSize
	// is the number of members that must be waiting before the gang is placed.
	Gang     string
	GangSize int
	// StartedAt is when the run was placed; only AddRun reads it. 0 means now.
	StartedAt record.Millis
	// Preemptions counts how often the task was preempted; once it reaches the bound of
	// SetMaxPreemptions the task is not preemptible.
	Preemptions int
	// UntilCancelled is set if the task, or a member of its gang, runs until cancelled:
	// the members of a gang share one outcome. The task takes any free capacity as a last
	// resort.
	UntilCancelled bool
	// Preferences are the soft constraints of the task; nil means none. They must not be
	// changed after the task was added.
	*Preferences
}

// Preferences are the soft constraints of a task on its worker. Among the workers that
// can take the task, they are weighed before free capacity. They never make the task
// wait, except for WaitsForPreferred.
type Preferences struct {
	// StepSize is the number of tasks of the step; 0 if unknown.
	StepSize int
	// Colocate is the domain that the step prefers to share, as in api.StepSpec.
	Colocate string
	// WaitsForPreferred makes the task wait for a worker with all labels of
	// TaskSpec.Prefer, as long as some healthy worker (neither slow, on probation nor
	// suspect) has them. The caller bounds the wait: it adds the task again without the
	// flag.
	WaitsForPreferred bool
	// Avoid names the workers on which runs of the task failed; other workers are chosen
	// first.
	Avoid []string
	// AllowsProbation allows workers on probation; PrefersProbation prefers them.
	AllowsProbation, PrefersProbation bool
}

// Reservation is one window for which slots are currently reserved: from its lead time
// until its end.
type Reservation struct {
	// ID is "QUEUE/NAME/START", with START in Unix milliseconds.
	ID       string
	Queue    string
	Start    record.Millis
	End      record.Millis
	Slots    int
	SlotSize api.Resources
	Service  string
	Labels   map[string]string
}

// Preemption requests that the run of Task be stopped so that Beneficiary can be placed.
type Preemption struct {
	Task        record.TaskID
	WorkerID    string
	Beneficiary record.TaskID
}

// ReservedSlots counts the slots of one reservation on one worker.
type ReservedSlots struct {
	Reservation string
	WorkerID    string
	Worker      string
	Slots       int
	Used        int
}

// ReservationPlanner lists the methods of Engine that concern time, reservations, teams
// and preemption.
type ReservationPlanner interface {
	// SetTeams replaces the rules of all teams. QueueRule.Team assigns a queue to a team.
	SetTeams(rules []TeamRule)
	// SetMaxPreemptions sets how often one task may be preempted.
	SetMaxPreemptions(limit int)
	// SetTime sets the cluster time. Together with MaxDuration, it decides which tasks of
	// other queues end before a window opens.
	SetTime(now record.Millis)
	// SetReservations replaces the windows for which slots are currently reserved. Slots
	// of windows that remain stay on their worker if it still serves the reservation.
	SetReservations(reservations []Reservation)
	// ReservedSlots returns on which workers the slots are.
	ReservedSlots() []ReservedSlots
	// Preemptions returns the runs that Plan wants stopped and that no earlier call
	// returned. Their resources count as allocated until Release. The same run is not
	// returned twice.
	Preemptions() []Preemption
}

// Decision assigns one task to a worker.
type Decision struct {
	Task     record.TaskID
	WorkerID string
	Worker   string
	Gang     string
}

// Planner lists the methods of Engine.
//
// A decision returned by Plan counts as an open run at once: its resources are allocated
// until Release, and the task no longer waits.
type Planner interface {
	// SetQueues replaces the rules of all queues.
	SetQueues(rules []QueueRule)
	// SetWorker adds or changes a worker. RemoveWorker removes a worker and its open
	// runs.
	SetWorker(worker Worker)
	RemoveWorker(id string)
	// AddRun allocates resources for a run that is already open in the record: at start,
	// or because another leader placed it. It is idempotent for the same task and worker.
	AddRun(task Task, workerID string)
	// Release frees the resources of the run of a task. It has no effect if the task has
	// no open run.
	Release(task record.TaskID)
	// Add makes a task wait; Remove ends the wait. Both are idempotent.
	Add(task Task)
	Remove(task record.TaskID)
	// Plan places at most limit tasks. A gang counts as its members, and may exceed the
	// limit if it is placed first. The order is: highest priority first, then the queue
	// with the lowest number of running tasks by weight, then the lowest Sequence. Queues
	// with BySlack count as one queue with the sum of their weights; among themselves
	// they are ordered by Sequence alone.
	Plan(limit int) []Decision
	// Reason explains why a task waits, from the state at the time of the call. It is
	// empty if the task does not wait. The texts are shown to users.
	Reason(task record.TaskID) string
	// Feasible reports whether any of the given workers could hold the task if it were
	// empty; if not, it also returns the reason.
	Feasible(spec *api.TaskSpec, workers []Worker) (bool, string)
	// SetDeferences sets which queues with BySlack defer to which others. A queue defers
	// while it has more than its share, by weight, of the open runs of a group: itself
	// and those of the other queues that have waiting tasks. So a burst of tasks in one
	// queue does not delay the others. While it defers, it is served after those queues
	// regardless of Sequence, and does not use the workers that are reserved for their
	// tasks.
	SetDeferences(deferences []Deference)
	// HasFreeCapacity reports whether the task fits on some worker now, outside of
	// reserved capacity. Spread rules are not considered.
	HasFreeCapacity(spec *api.TaskSpec) bool
	// Waiting returns the number of waiting tasks, including nominated ones.
	Waiting() int
}

// Rules of queues and teams; package fairshare documents them.
type (
	// QueueRule holds the settings of a queue that placement needs.
	QueueRule = fairshare.QueueRule
	// TeamRule holds the settings of a team that placement needs.
	TeamRule = fairshare.TeamRule
	// Deference lists the queues to which a queue defers under load.
	Deference = fairshare.Deference
)
