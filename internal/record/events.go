package record

import "github.com/decklever/decklever/api"

// Event is one change of the state. Observers receive the events of an entry while
// it is applied, in the order of the changes.
type Event interface{ event() }

// TaskBecameReady reports a task that can be placed from its NotBefore on.
type TaskBecameReady struct{ Task *Task }

// TaskLeftReady reports a ready task that became final without a run.
type TaskLeftReady struct{ Task *Task }

// RunOpened reports an accepted placement.
type RunOpened struct{ Run *Run }

// RunStopping reports that a stop of the run was requested for the reason in
// Run.Stop, or that this reason changed to StopCancelled.
type RunStopping struct{ Run *Run }

// RunClosed reports that a run ended and its resources are free again. If the task
// is to run again, TaskBecameReady follows.
type RunClosed struct {
	Run     *Run
	Outcome api.Outcome
}

// JobAdded reports a new live job.
type JobAdded struct{ Job *Job }

// OccurrenceAdded reports that the next occurrence of a repeating job is live. The
// first occurrence is reported by JobAdded only.
type OccurrenceAdded struct {
	Job        *Job
	Occurrence int
}

// OccurrenceEnded reports that an occurrence of a repeating job ended and is
// removed from the state.
type OccurrenceEnded struct {
	Job        *Job
	Occurrence int
	Steps      []*Step
}

// JobEnded reports that a job ended and was removed from the live jobs. It is
// archived at the end of the entry.
type JobEnded struct{ Job *Job }

// ConfigChanged reports that a new version of the configuration is in force. Config
// has defaults filled in.
type ConfigChanged struct {
	Version uint64
	Config  *api.Config
}

// WorkerChanged reports that a worker was registered or its description changed.
type WorkerChanged struct{ Worker *Worker }

// WorkerForgotten reports that a worker was removed.
type WorkerForgotten struct{ Worker *Worker }

// WindowReleased reports that the capacity of a reservation window was returned
// before its end.
type WindowReleased struct{ Window ReleaseWindow }

// ZoneDrainChanged reports that an operator's drain of a zone was set or cleared.
type ZoneDrainChanged struct {
	Zone    string
	Drained bool
}

// StateReplaced reports that a snapshot was restored. Observers must read the
// complete state again; there are no events for the differences.
type StateReplaced struct{}

func (TaskBecameReady) event()  {}
func (TaskLeftReady) event()    {}
func (RunOpened) event()        {}
func (RunStopping) event()      {}
func (RunClosed) event()        {}
func (JobAdded) event()         {}
func (OccurrenceAdded) event()  {}
func (OccurrenceEnded) event()  {}
func (JobEnded) event()         {}
func (ConfigChanged) event()    {}
func (WorkerChanged) event()    {}
func (WorkerForgotten) event()  {}
func (WindowReleased) event()   {}
func (ZoneDrainChanged) event() {}
func (StateReplaced) event()    {}

// observer holds the callback of one call of Observe. It is a struct so that its
// pointer identifies that call.
type observer struct {
	notify func(Event)
}

// Observe calls start, which may be nil, with the current state, and then notify
// with every later event, without missing any. Both run under the write lock: they
// must neither block nor call the Machine. The values that an event points to have
// the state right after that event. stop ends the observation; it must not be
// called from start or notify.
func (m *Machine) Observe(start func(View), notify func(Event)) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if start != nil {
		start(view{machine: m})
	}
	added := &observer{notify: notify}
	m.observers = append(m.observers, added)
	return func() { m.removeObserver(added) }
}

func (m *Machine) removeObserver(removed *observer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, candidate := range m.observers {
		if candidate == removed {
			m.observers = append(m.observers[:i:i], m.observers[i+1:]...)
			return
		}
	}
}

// emit passes an event to all observers, in the order in which they were added.
func (m *Machine) emit(event Event) {
	for _, observer := range m.observers {
		observer.notify(event)
	}
}
