package record

import (
	"iter"
	"time"

	"github.com/decklever/decklever/api"
)

// Millis is cluster time in Unix milliseconds.
type Millis int64

// MillisOf is a span in the unit of cluster time.
func MillisOf(span time.Duration) Millis { return Millis(span.Milliseconds()) }

// TaskState is finer than api.State: it tells whether a task can be placed.
type TaskState uint8

// Task states. The last three are final.
const (
	// TaskBlocked waits for steps before it.
	TaskBlocked TaskState = iota
	// TaskReady can be placed once its NotBefore has come.
	TaskReady
	// TaskPlaced has an open run.
	TaskPlaced
	TaskSucceeded
	TaskFailed
	TaskCancelled
)

// Final reports whether the state can no longer change.
func (s TaskState) Final() bool { return s >= TaskSucceeded }

// Job is a live job. Callers outside this package only read it, under View.
type Job struct {
	ID   string
	Spec api.JobSpec
	// Digest is the SHA-256 of the canonical spec, in hex.
	Digest      string
	SubmittedAt Millis
	// Cancelled is set by a cancel; open runs are then marked to stop.
	Cancelled bool
	// Steps are those of the spec; of a repeating job, those of each live
	// occurrence in turn. An occurrence is live from when it is added until all
	// of its tasks are final.
	Steps []*Step
	// Repetition is nil unless the job repeats.
	Repetition *Repetition
	// OpenTasks counts tasks of live occurrences that are not final.
	OpenTasks int
	// failedTasks counts tasks of live occurrences that failed for good.
	failedTasks int
	// openRuns counts open runs, also of members of a group that has succeeded.
	openRuns int
	// occurrences are the live ones, by number; mayHaveEndedOccurrence is set once one of
	// them may have ended.
	occurrences            []*occurrence
	mayHaveEndedOccurrence bool
	// started is set once a run of the job was placed.
	started bool
}

// Step is one step of a live job, in one of its occurrences.
type Step struct {
	Job *Job
	// Occurrence is that of a repeating job, from 0; Index is the step's place
	// in the spec.
	Occurrence int
	Index      int
	Spec       *api.StepSpec
	// OpenDependencies counts the steps before it that have not succeeded.
	OpenDependencies int
	Tasks            []*Task
	// OpenTasks counts tasks that are not final; FailedTasks counts failed.
	OpenTasks   int
	FailedTasks int
	// lastFailedRun is the newest run number of a group in lockstep under which a
	// failure was counted; 0 if none was.
	lastFailedRun uint32
	// succeededTasks counts tasks that succeeded.
	succeededTasks int
	occurrence     *occurrence
	// dependencies and dependents are the neighbours in the order of steps.
	dependencies []*Step
	dependents   []*Step
}

// Task is one task of a live job.
type Task struct {
	ID    TaskID
	Step  *Step
	Spec  *api.TaskSpec
	State TaskState
	// Failures counts failed runs, or those of the whole group in lockstep.
	// AllowedFailures is at least 1: the task is failed for good once Failures
	// reaches it, unless it runs until cancelled; a group in lockstep once all
	// its runs are closed then. Those of a task that runs until cancelled are
	// counted anew once a run was open for long.
	Failures        int
	AllowedFailures int
	// LastRun is the number of the newest run, 0 if none was placed.
	LastRun uint32
	// Run is the open run; nil unless State is TaskPlaced, or TaskSucceeded by
	// the success of another member of a group in lockstep.
	Run *Run
	// LastWorker names the worker of the newest run.
	LastWorker string
	// Preemptions counts runs that were stopped to make room for others and
	// did not succeed.
	Preemptions int
	// checkCheckpoint is the newest that an earlier run left; see NewestCheckpoint.
	checkpoint checkpoint
	// NotBefore is the earliest next start: the step's or the retry's.
	NotBefore Millis
	// Reason says how a final task ended or why the last run did.
	Reason string
}

// Run is an open run: it holds room on its worker until it is closed.
type Run struct {
	Task   *Task
	Number uint32
	// WorkerID is the worker incarnation, Worker its stable name.
	WorkerID string
	Worker   string
	// Token is the term of the leader that placed the run.
	Token    uint64
	PlacedAt Millis
	// StopRuns is why the run must be stopped; empty while it need not be.
	Stop StopReason
}

// ID returns the run's name.
func (r *Run) ID() RunID { return RunID{Task: r.Task.ID, Number: r.Number} }

// StopReason is why a run is to be stopped.
type StopReason string

// StopRuns reasons. None counts as a failure.
const (
	StopNone      StopReason = ""
	StopCancelled StopReason = "cancelled"
	StopDrained   StopReason = "drained"
	StopPreempted StopReason = "preempted"
	// StopGang: the run's group did not start whole or, in lockstep, goes back
	// whole or has succeeded.
	StopGang StopReason = "group"
	// StopStalled: the run made no progress for long.
	StopStalled StopReason = "stalled"
)

// Worker is a worker known to the record; the newest incarnation of a name.
// An incarnation is replaced only once the earlier one has no open run.
type Worker struct {
	Name     string            `cbor:"1,keyasint"`
	ID       string            `cbor:"2,keyasint"`
	Zone     string            `cbor:"3,keyasint"`
	Capacity api.Resources     `cbor:"4,keyasint"`
	Services []string          `cbor:"5,keyasint"`
	Labels   map[string]string `cbor:"6,keyasint"`
	// RegisteredAt is when this incarnation was first seen.
	RegisteredAt Millis `cbor:"7,keyasint"`
	// Place is shared with other incarnations only if they never live at once;
	// empty if that is not known.
	Address string `cbor:"8,keyasint,omitempty"`
}

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	// Time is the cluster clock when the leader proposed it; Apply treats it
	// as the greatest of this and all before.
	Time Millis `cbor:"1,keyasint"`
	// Token is the proposing leader's term.
	Token uint64 `cbor:"2,keyasint"`

	SubmitJob       *SubmitJob       `cbor:"3,keyasint,omitempty"`
	CancelJobs      *CancelJobs      `cbor:"4,keyasint,omitempty"`
	PutConfig       *PutConfig       `cbor:"5,keyasint,omitempty"`
	PlaceTasks      *PlaceTasks      `cbor:"6,keyasint,omitempty"`
	CloseRuns       *CloseRuns       `cbor:"7,keyasint,omitempty"`
	StopRuns        *StopRuns        `cbor:"8,keyasint,omitempty"`
	RegisterWorkers *RegisterWorkers `cbor:"9,keyasint,omitempty"`
	ForgetWorkers   *ForgetWorkers   `cbor:"10,keyasint,omitempty"`
	ExpireArchive   *ExpireArchive   `cbor:"11,keyasint,omitempty"`
	ReleaseWindow   *ReleaseWindow   `cbor:"12,keyasint,omitempty"`
	ExpandRepeats   *ExpandRepeats   `cbor:"13,keyasint,omitempty"`
	DrainZone       *DrainZone       `cbor:"14,keyasint,omitempty"`
}

// SubmitJob adds a job.
type SubmitJob struct {
	ID     string      `cbor:"1,keyasint"`
	Spec   api.JobSpec `cbor:"2,keyasint"`
	Digest string      `cbor:"3,keyasint"`
}

// CancelJobs cancels jobs; unknown and ended ones are passed over.
type CancelJobs struct {
	Jobs []string `cbor:"1,keyasint"`
}

// PutConfig proposes a whole configuration.
type PutConfig struct {
	OrderID string     `cbor:"1,keyasint"`
	Base    uint64     `cbor:"2,keyasint"`
	Config  api.Config `cbor:"3,keyasint"`
	Digest  string     `cbor:"4,keyasint"`
	// Refusal is set when validation failed: the order is then recorded as
	// refused, so that the same order is never in force later.
	Refusal *api.Error `cbor:"5,keyasint,omitempty"`
}

// Place opens runs. It is checked again when applied: each one must still fit
// (task ready, time come, worker incarnation current, room, service, labels,
// spread, bounds of queue and team); one that does not is rejected alone,
// except that a group is rejected whole.
type PlaceTasks struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// Placement opens run Number (the task's NextRun) on a worker.
type Placement struct {
	Run      RunID  `cbor:"1,keyasint"`
	WorkerID string `cbor:"2,keyasint"`
	Worker   string `cbor:"3,keyasint"`
}

// CloseRuns ends runs. A success of a closed run counts if no newer run was
// placed and the task is not final and does not run until cancelled; any other
// report on a closed run changes nothing. Groups in lockstep have rules of their
// own, see lockstep.go.
type CloseRuns struct {
	Runs []RunEnd `cbor:"1,keyasint"`
}

// RunEnd is how one run ended.
type RunEnd struct {
	Run     RunID       `cbor:"1,keyasint"`
	Outcome api.Outcome `cbor:"2,keyasint"`
	Message string      `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the newest known of the run; empty if there is none. Percent
	// is how far the run was, 0 to 100, as last heard.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	Percent    int    `cbor:"5,keyasint,omitempty"`
}

// StopRuns marks open runs to be stopped; the first reason stands, except that
// StopCancelled overrides.
type StopRuns struct {
	Runs   []RunID    `cbor:"1,keyasint"`
	Reason StopReason `cbor:"2,keyasint"`
}

// RegisterWorkers adds workers or changes what is known of them. One whose
// name has an earlier incarnation with open runs is rejected.
type RegisterWorkers struct {
	Workers []Worker `cbor:"1,keyasint"`
}

// ForgetWorkers removes workers that have no open run.
type ForgetWorkers struct {
	Names []string `cbor:"1,keyasint"`
}

// ExpireArchive drops archived jobs that ended before a time, at most Limit.
type ExpireArchive struct {
	Before Millis `cbor:"1,keyasint"`
	Limit  int    `cbor:"2,keyasint"`
}

// ReleaseWindow gives the room of one window of a booking back before its end.
// A window that has ended or was released before is passed over.
type ReleaseWindow struct {
	Queue   string `cbor:"1,keyasint"`
	Booking string `cbor:"2,keyasint"`
	Start   Millis `cbor:"3,keyasint"`
	// End is the window's end; the release is forgotten after it.
	End Millis `cbor:"4,keyasint"`
}

// ExpandRepeats adds the tasks of occurrences of repeating jobs that fall due.
// Unknown jobs and occurrences that were added before are passed over, as are
// those that would take a job beyond api.MaxOpenTasksPerJob.
type ExpandRepeats struct {
	Jobs []Expansion `cbor:"1,keyasint"`
}

// Expansion adds a job's occurrences up to and with Through.
type Expansion struct {
	Job     string `cbor:"1,keyasint"`
	Through int    `cbor:"2,keyasint"`
}

// DrainZone drains a zone, beside what the configuration says, or takes that
// back. Doubled: no effect.
type DrainZone struct {
	Zone    string `cbor:"1,keyasint"`
	Drained bool   `cbor:"2,keyasint"`
}

// Result is what Apply tells the proposer.
type Result struct {
	// Index is the entry's place in the log.
	Index uint64
	// SubmitJob is set for Submit, Config for PutConfig.
	Submit *SubmitResult
	Config *ConfigResult
	// Rejected lists placements that no longer held.
	Rejected []RunID
	// RejectedWorkers lists names that could not be registered yet.
	RejectedWorkers []string
}

// SubmitOutcome is how a submission ended.
type SubmitOutcome uint8

// SubmitJob outcomes.
const (
	SubmitAccepted SubmitOutcome = iota
	// SubmitDuplicate: the same content was accepted before.
	SubmitDuplicate
	// SubmitConflict: other content is known under the id.
	SubmitConflict
	// SubmitUnknownQueue: the queue left the configuration meanwhile.
	SubmitUnknownQueue
	// SubmitNoService: a task names no service, and meanwhile its queue has
	// none either.
	SubmitNoService
)

// SubmitResult answers a Submit.
type SubmitResult struct {
	Outcome SubmitOutcome
}

// ConfigResult answers a PutConfig, the same for each resend of an order.
type ConfigResult struct {
	// Version is the new version if accepted, else the one in force.
	Version uint64 `cbor:"Version"`
	// Refusal is nil if the order was accepted, then or earlier.
	Refusal *api.Error `cbor:"Refusal"`
}

// View reads the record. It is valid only inside the callback that it was
// given to. What it returns must not be changed or kept.
type View interface {
	// Job returns a live job.
	Job(id string) (*Job, bool)
	// Jobs yields live jobs in the order of their ids, from after on.
	Jobs(after string) iter.Seq[*Job]
	// Task returns a task of a live job.
	Task(id TaskID) (*Task, bool)
	// Worker returns the newest incarnation under a name.
	Worker(name string) (*Worker, bool)
	Workers() iter.Seq[*Worker]
	// OpenRuns yields the open runs on a worker incarnation, and AllOpenRuns
	// every one, both in the order of their ids.
	OpenRuns(workerID string) iter.Seq[*Run]
	AllOpenRuns() iter.Seq[*Run]
	// UsedResources is the room that open runs take on a worker incarnation.
	UsedResources(workerID string) api.Resources
	// Config returns the configuration in force with defaults filled in.
	Config() (version uint64, config *api.Config)
	// AcceptedConfig returns the configuration in force as it was given.
	AcceptedConfig() (version uint64, config *api.Config)
	// ConfigVersions returns the accepted versions, newest first.
	ConfigVersions() []api.ConfigVersion
	// ConfigOrder returns the outcome of a configuration order.
	ConfigOrder(id string) (result ConfigResult, digest string, known bool)
	// ReleasedWindows returns the windows given back whose end has not passed,
	// by end, then by queue, booking and start.
	ReleasedWindows() []ReleaseWindow
	// DrainedZones returns the zones drained by an order, by name.
	DrainedZones() []string
	// QueueCounts returns what a queue holds.
	QueueCounts(queue string) QueueCounts
	// TeamCounts returns what the queues of a team hold together, by the
	// configuration in force.
	TeamCounts(team string) QueueCounts
	// CallerPending counts the waiting tasks of a caller's jobs in a queue.
	CallerPending(queue, caller string) int
	// Status builds the answer to a caller, live or archived. reason gives
	// the text for a task that waits; it may be nil.
	Status(id string, reason func(*Task) string) (api.JobStatus, bool, error)
	// StatusWithoutSteps is Status without the steps, at a cost that does not grow with
	// a live job's size.
	StatusWithoutSteps(id string) (api.JobStatus, bool, error)
	// Clock is the greatest command time applied.
	Clock() Millis
	// Applied is the index of the last entry applied.
	Applied() uint64
}

// QueueCounts is the content of one queue, or of all queues of a team.
type QueueCounts struct {
	Jobs, PendingTasks, RunningTasks int
}

// Time returns the value as a time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }
