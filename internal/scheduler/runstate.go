package scheduler

import (
	"encoding/json"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// runState is an open run of the record and its observed state. It is owned by assignments.
// Some fields are written by other components: stop and closing by the proposer, worker and
// stop by the leader, observed.progress by the health review, observed.checkpoint and
// observed.percent by workerEntry.recordCheckpoints. leader.mu guards the struct.
type runState struct {
	placedRun
	assignment assignmentState
	observed   observedRun
	// stop is why the run is to be stopped; record.StopNone if it is not.
	stop record.StopReason
	// closing is true once the leader has decided to close the run without a report of its
	// end.
	closing bool
	// lateSuccessSeen is true once an earlier run of the task was reported as succeeded.
	lateSuccessSeen bool
}

// placedRun is the part of a run's state that is fixed by its placement.
type placedRun struct {
	id   record.RunID
	spec *api.TaskSpec
	// payload is the task's payload or, if it has none, the job's. It is shared with the
	// record and must not be changed.
	payload json.RawMessage
	queue   string
	step    record.StepID
	// stepSize is the number of tasks of the step.
	stepSize int
	// inGang is true if the tasks of the step start together, sharesOutcome if they also end
	// together.
	inGang, sharesOutcome bool
	// worker is the worker on which the run is open.
	worker *workerEntry
	// openedAt is when the run was placed, on this process's monotonic clock.
	openedAt time.Duration
	// checkpoint is sent with the assignment: the newest checkpoint of earlier runs.
	checkpoint string
}

// placedBy tells whether this leader or an earlier one placed a run.
type placedBy uint8

const (
	// placedByThisLeader: this leader knows whether it sent the assignment.
	placedByThisLeader placedBy = iota
	// placedByEarlierLeader: the run was placed under an earlier token, and this leader does
	// not know whether the assignment was sent.
	placedByEarlierLeader
)

// assignmentState records who placed the run, and which answers carried its assignment and
// its stop request.
type assignmentState struct {
	placedBy placedBy
	// seq is the seq of the answer that carried the assignment; 0 if this leader has sent
	// none. at is when it was sent.
	seq uint64
	at  time.Duration
	// droppedSeq is the seq of the first answer that asked the worker to stop the run
	// because it accepted the assignment and does not list the run; 0 if there is none.
	droppedSeq uint64
}

// observedRun is the state of a run as heartbeats reported it.
type observedRun struct {
	// listed is true once a heartbeat listed the run as running or ended.
	listed bool
	// endedAt is when the run's end was first reported; 0 if it was not.
	endedAt time.Duration
	// progress tracks the run's reported progress since it was first listed.
	progress workerhealth.Progress
	// checkpoint is the newest non-empty checkpoint that this run reported, percent the last
	// percentage.
	checkpoint string
	percent    int
}

// newRunState returns the state of an open run that was not observed yet. The caller sets its
// worker.
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

// neverAssigned reports whether the run was certainly never assigned. It returns false for an
// inherited run, whose assignment an earlier leader may have sent.
func (r *runState) neverAssigned() bool { return r.assignment.seq == 0 && !r.isInherited() }

// isInherited reports whether an earlier leader placed the run.
func (r *runState) isInherited() bool { return r.assignment.placedBy == placedByEarlierLeader }
