package record

import "github.com/decklever/decklever/api"

// Event is one change of the state. Observers get the events of an entry while it
// is applied, in the order of the changes.
type Event interface{ event() }

// TaskBecameReady: the task can be placed from its NotBefore on.
type TaskBecameReady struct{ Task *Task }

// TaskLeftReady: a ready task became final without a run.
type TaskLeftReady struct{ Task *Task }

// RunOpened: a placement was accepted.
type RunOpened struct{ Run *Run }

// RunStopping: the run is to be stopped, for the reason in Run.Stop; or that
// reason became StopCancelled.
type RunStopping struct{ Run *Run }

// RunClosed: the run's resources are free again. If the task is to run again,
// TaskBecameReady follows.
type RunClosed struct {
	Run     *Run
	Outcome api.Outcome
}

// JobAdded: a job is live.
type JobAdded struct{ Job *Job }

// OccurrenceAdded: a repeating job's next occurrence is live. The first comes with
// JobAdded.
type OccurrenceAdded struct {
	Job        *Job
	Occurrence int
}

// OccurrenceEnded: an occurrence of a repeating job has ended and was removed from
// the state.
type OccurrenceEnded struct {
	Job        *Job
	Occurrence int
	Steps      []*Step
}

// JobEnded: a job has ended and was moved to the archive.
type JobEnded struct{ Job *Job }

// ConfigChanged: a new version of the configuration is in force; Config has
// defaults filled in.
type ConfigChanged struct {
	Version uint64
	Config  *api.Config
}

// WorkerChanged: a worker was registered, or what is known of it changed.
type WorkerChanged struct{ Worker *Worker }

// WorkerForgotten: the name is no longer known.
type WorkerForgotten struct{ Worker *Worker }

// WindowReleased: the capacity of a reservation window was given back.
type WindowReleased struct{ Window ReleaseWindow }

// ZoneDrainChanged: an operator's drain of a zone was set or cleared.
type ZoneDrainChanged struct {
	Zone    string
	Drained bool
}

// StateReplaced: a snapshot was restored. Observers must read the complete state
// again; there are no events for the differences.
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

// observer is a struct so that its pointer identifies one call of Observe.
type observer struct {
	notify func(Event)
}

// Observe calls start, which may be nil, with the present state, and notify with
// every event after it, without a gap. Both run under the write lock: they must
// neither block nor call the Machine. What an event points to has the state right
// after that event. stop ends the observation; it must not be called from within
// start or notify.
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

// emit calls all observers, in the order in which they were added.
func (m *Machine) emit(event Event) {
	for _, observer := range m.observers {
		observer.notify(event)
	}
}
