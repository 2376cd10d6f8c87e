package scheduler

import (
	"encoding/json"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// runState is one open run of the record, with what was observed of it. Assignments
// own it; the proposer writes stop and closing.
type runState struct {
	placedRun
	assignment assignmentState
	observed   observedRun
	// stop is why the run is to be stopped.
	stop record.StopReason
	// closing is true once a Close was proposed that no report asked for.
	closing bool
}

// placedRun is what the record says of an open run.
type placedRun struct {
	id   record.RunID
	spec *api.TaskSpec
	// payload is the task's own or the job's; it is shared with the record.
	payload json.RawMessage
	queue   string
	step    record.StepID
	// stepSize is the number of tasks of the step.
	stepSize int
	// inGang: the tasks of the step start together; sharesOutcome: they also end
	// together.
	inGang, sharesOutcome bool
	// worker is where the run is open.
	worker *workerEntry
	// openedAt is when the run was placed.
	openedAt time.Duration
	// checkpoint is what the assignment carries: the newest of earlier runs.
	checkpoint string
}

// placedBy says which leader placed a run.
type placedBy uint8

const (
	// placedByThisLeader: the leader knows whether it gave the assignment.
	placedByThisLeader placedBy = iota
	// placedByEarlierLeader: placed under an earlier token, so that it is not known
	// whether its assignment was given.
	placedByEarlierLeader
)

// assignmentState is how far the run's worker was notified of it.
type assignmentState struct {
	placedBy placedBy
	// seq is that of the answer that carried the assignment; 0 if this leader has
	// given none. at is when it was given.
	seq uint64
	at  time.Duration
	// droppedSeq is the seq of the first answer that asked the worker to stop the run
	// because it accepted the assignment and does not list it; 0 if none.
	droppedSeq uint64
}

// observedRun is what heartbeats said of a run.
type observedRun struct {
	// listed is true once a heartbeat listed the run as running or ended.
	listed bool
	// endedAt is when the run's end was first reported; 0 if it was not.
	endedAt time.Duration
	// progress is how far the run said that it is, from when it was listed.
	progress workerhealth.Progress
	// checkpoint is the newest that was reported of the run itself, and percent how
	// far it was.
	checkpoint string
	percent    int
}

// newRunState returns an open run of which nothing was observed yet, and which is on
// no worker.
func newRunState(open *record.Run, by placedBy, now time.Duration) *runState {
	task := open.Task
	return &runState{
		placedRun: placedRun{
			id:            open.ID(),
			spec:          task.Spec,
			payload:       task.Step.Job.Spec.PayloadOf(task.Spec),
			queue:         task.Step.Job.Spec.Queue,
			step:          task.ID.StepID(),
			stepSize:      len(task.Step.Tasks),
			inGang:        task.Step.IsGang(),
			sharesOutcome: task.Step.Spec.Lockstep,
			openedAt:      now,
			checkpoint:    task.NewestCheckpoint(),
		},
		assignment: assignmentState{placedBy: by},
		stop:       open.Stop,
	}
}

// neverAssigned reports that the run's assignment was surely not given.
func (r *runState) neverAssigned() bool { return r.assignment.seq == 0 && !r.isInherited() }

// isInherited reports that an earlier leader placed the run.
func (r *runState) isInherited() bool { return r.assignment.placedBy == placedByEarlierLeader }
