package placement

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// Worker is what the engine knows of a worker incarnation.
type Worker struct {
	ID       string
	Name     string
	Zone     string
	Capacity api.Resources
	Services []string
	Labels   map[string]string
	// Usable is false while the ready gate is closed, on draining workers and
	// in evacuated zones: open runs keep their room, nothing new is placed.
	Usable bool
}

// Task is a task that waits for a place.
type Task struct {
	ID       record.TaskID
	Queue    string
	Priority int // job's and queue's together
	// Sequence orders tasks of equal priority: lower first.
	Sequence uint64
	Spec     *api.TaskSpec
	// Group is "JOB/STEP" for members that must start together, else empty;
	// GroupSize is the number of members that must wait here together.
	Group     string
	GroupSize int
}

// Decision places one task.
type Decision struct {
	Task     record.TaskID
	WorkerID string
	Worker   string
	Group    string
}

// QueueRule is what the engine must know of a queue.
type QueueRule struct {
	Name string
	// MaxRunning bounds open runs; 0 is no bound.
	MaxRunning int
	Weight     int
}

// Planner lists the calls of Engine.
//
// A decision returned by Plan is taken as an open run at once: its room is
// held until Release. The task is no longer waiting.
type Planner interface {
	// SetQueues replaces the rules of all queues.
	SetQueues(rules []QueueRule)
	// SetWorker adds or changes a worker; RemoveWorker forgets one. Open runs
	// of a removed worker are forgotten with it.
	SetWorker(worker Worker)
	RemoveWorker(id string)
	// Hold takes room for a run that the record already has open, at start or
	// when it was placed by another leader. Idempotent for the same task.
	Hold(task Task, workerID string)
	// Release gives back the room of a task's run. Unknown: no effect.
	Release(task record.TaskID)
	// Add makes a task wait; Remove takes it out. Both are idempotent.
	Add(task Task)
	Remove(task record.TaskID)
	// Plan places at most limit tasks (a group counts whole and may exceed
	// limit if it is the first), highest priority first, then fair by weight
	// among queues, then by Sequence.
	Plan(limit int) []Decision
	// Reason says why a waiting task was passed over in the last pass.
	Reason(task record.TaskID) string
	// Possible tells whether any of the given workers, all empty, could hold
	// the task; if not, why.
	Possible(spec *api.TaskSpec, workers []Worker) (bool, string)
	// Waiting is the number of tasks that wait.
	Waiting() int
}
