package record

import "github.com/decklever/decklever/api"

// Event tells an observer of one change, in the order of the log.
type Event interface{ event() }

// TaskBecameReady: the task can be placed from its NotBefore on.
type TaskBecameReady struct{ Task *Task }

// TaskLeftReady: a ready task became final without a run.
type TaskLeftReady struct{ Task *Task }

// RunOpened follows a Place.
type RunOpened struct{ Run *Run }

// RunStopping: the run was marked to stop.
type RunStopping struct{ Run *Run }

// RunClosed: the run's room is free again. If the task is to run again,
// TaskBecameReady follows.
type RunClosed struct {
	Run     *Run
	Outcome api.Outcome
}

// JobAdded begins a live job.
type JobAdded struct{ Job *Job }

// OccurrenceAdded: a repeating job's next occurrence is live. Its first is part
// of JobAdded.
type OccurrenceAdded struct {
	Job        *Job
	Occurrence int
}

// OccurrenceEnded: all tasks of an occurrence are final, and it leaves memory.
type OccurrenceEnded struct {
	Job        *Job
	Occurrence int
	Steps      []*Step
}

// JobEnded ends a live job; it is archived.
type JobEnded struct{ Job *Job }

// ConfigChanged: a new version is in force.
type ConfigChanged struct {
	Version uint64
	Config  *api.Config
}

// WorkerChanged: a worker was registered, or what is known of it changed.
type WorkerChanged struct{ Worker *Worker }

// WorkerForgotten: the name is no longer known.
type WorkerForgotten struct{ Worker *Worker }

// WindowReleased: a window's room was given back.
type WindowReleased struct{ Window ReleaseWindow }

// ZoneDrainChanged: a zone was drained by an order, or that was taken back.
type ZoneDrainChanged struct {
	Zone    string
	Drained bool
}

// StateReplaced: a snapshot was restored; all must be read anew.
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

type observer struct {
	notify func(Event)
}

// Observe calls start with the present state, and observer with every event
// after it, without a gap. Both run under the lock: they must neither block
// nor call the Machine. An event's pointers show the state at that event. stop
// ends the observation; it must not be called from within observer.
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

func (m *Machine) removeObserver(gone *observer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, one := range m.observers {
		if one == gone {
			m.observers = append(m.observers[:i:i], m.observers[i+1:]...)
			return
		}
	}
}

func (m *Machine) emit(event Event) {
	for _, one := range m.observers {
		one.notify(event)
	}
}
