package record

import (
	"iter"
	"slices"

	"github.com/decklever/decklever/api"
)

// View reads the state. It is valid only within the callback that it is passed to.
// The values it returns must not be changed, and pointers to jobs, steps, tasks and
// runs must not be used after the callback. Workers and configurations are
// immutable and may be kept.
type View interface {
	// Job returns a live job, or false if there is none with this id.
	Job(id string) (*Job, bool)
	// Jobs yields the live jobs whose ids are greater than after, in id order.
	Jobs(after string) iter.Seq[*Job]
	// Workers yields the newest incarnation of each worker name, in name order.
	Workers() iter.Seq[*Worker]
	// AllOpenRuns yields the open runs, ordered by job, occurrence, step and task.
	AllOpenRuns() iter.Seq[*Run]
	// UsedResources returns the sum of the resources of the open runs on a worker
	// incarnation.
	UsedResources(workerID string) api.Resources
	// Config returns the configuration in force with defaults filled in.
	Config() (version uint64, config *api.Config)
	// AcceptedConfig returns the configuration in force as the operator submitted
	// it, without defaults filled in.
	AcceptedConfig() (version uint64, config *api.Config)
	// ConfigVersions returns the accepted versions, newest first.
	ConfigVersions() []api.ConfigVersion
	// ConfigOrder returns the outcome and the digest of a configuration order.
	// known is false unless the order is among the newest MaxConfigOrders.
	ConfigOrder(id string) (result ConfigResult, digest string, known bool)
	// ReleasedWindows returns the released reservation windows that have not ended,
	// ordered by end, then queue, booking and start.
	ReleasedWindows() []ReleaseWindow
	// DrainedZones returns the zones drained by DrainZone, in name order.
	DrainedZones() []string
	// QueueCounts returns the counts of a queue.
	QueueCounts(queue string) QueueCounts
	// TeamCounts returns the total counts of the queues that belong to a team in
	// the configuration in force.
	TeamCounts(team string) QueueCounts
	// CallerPendingTasks returns the number of pending tasks of a caller's jobs in a
	// queue.
	CallerPendingTasks(queue, caller string) int
	// Status returns the status of a live or archived job, or false if the id is
	// not known. reason, which may be nil, returns why a ready task waits, or "".
	// The error is that of the archive.
	Status(id string, reason func(*Task) string) (api.JobStatus, bool, error)
	// StatusWithoutSteps returns the status without the steps. Its cost does not
	// grow with the size of a live job.
	StatusWithoutSteps(id string) (api.JobStatus, bool, error)
	// Clock returns the clock of the state, which is the greatest applied command
	// time.
	Clock() Millis
	// Applied returns the index of the last applied entry.
	Applied() uint64
}

// view implements View. The machine's lock is held while it is in use.
type view struct {
	machine *Machine
}

// Job implements View.
func (v view) Job(id string) (*Job, bool) {
	job := v.machine.state.jobs.byID[id]
	return job, job != nil
}

// Jobs implements View.
func (v view) Jobs(after string) iter.Seq[*Job] {
	s := v.machine.state
	return func(yield func(*Job) bool) {
		position, found := s.jobs.search(after)
		if found {
			position++
		}
		for _, job := range s.jobs.sorted[position:] {
			if !yield(job) {
				return
			}
		}
	}
}

// Workers implements View.
func (v view) Workers() iter.Seq[*Worker] {
	return slices.Values(v.machine.state.workers.sorted())
}

// AllOpenRuns implements View.
func (v view) AllOpenRuns() iter.Seq[*Run] {
	return slices.Values(v.machine.state.runs.sorted())
}

// UsedResources implements View.
func (v view) UsedResources(workerID string) api.Resources {
	return v.machine.state.runs.used(workerID)
}

// Config implements View.
func (v view) Config() (version uint64, config *api.Config) {
	current := &v.machine.state.config
	return current.version, current.effective
}

// AcceptedConfig implements View.
func (v view) AcceptedConfig() (version uint64, config *api.Config) {
	current := &v.machine.state.config
	return current.version, current.accepted
}

// ConfigVersions implements View.
func (v view) ConfigVersions() []api.ConfigVersion {
	versions := slices.Clone(v.machine.state.config.versions)
	slices.Reverse(versions)
	return versions
}

// ConfigOrder implements View.
func (v view) ConfigOrder(id string) (result ConfigResult, digest string, known bool) {
	order := v.machine.state.config.orders.byID[id]
	if order == nil {
		return ConfigResult{}, "", false
	}
	return order.Result, order.Digest, true
}

// ReleasedWindows implements View.
func (v view) ReleasedWindows() []ReleaseWindow {
	return slices.Clone(v.machine.state.releasedWindows)
}

// DrainedZones implements View.
func (v view) DrainedZones() []string { return v.machine.state.drainedZones }

// QueueCounts implements View.
func (v view) QueueCounts(queue string) QueueCounts {
	return lookupCounts(v.machine.state.counts.queues, queue)
}

// TeamCounts implements View.
func (v view) TeamCounts(team string) QueueCounts {
	return lookupCounts(v.machine.state.counts.teams, team)
}

// CallerPendingTasks implements View.
func (v view) CallerPendingTasks(queue, caller string) int {
	return v.machine.state.counts.pendingByCaller[queueCaller{queue, caller}]
}

// Status implements View.
func (v view) Status(id string, reason func(*Task) string) (api.JobStatus, bool, error) {
	if job := v.machine.state.jobs.byID[id]; job != nil {
		return job.status(v.machine.state.clock, reason), true, nil
	}
	archived, known, err := v.machine.findArchived(id)
	if err != nil || !known {
		return api.JobStatus{}, false, err
	}
	return archived.Status(), true, nil
}

// StatusWithoutSteps implements View.
func (v view) StatusWithoutSteps(id string) (api.JobStatus, bool, error) {
	if job := v.machine.state.jobs.byID[id]; job != nil {
		return job.statusWithoutSteps(), true, nil
	}
	archived, known, err := v.machine.findArchived(id)
	if err != nil || !known {
		return api.JobStatus{}, false, err
	}
	return archived.statusWithoutSteps(), true, nil
}

// Clock implements View.
func (v view) Clock() Millis { return v.machine.state.clock }

// Applied implements View.
func (v view) Applied() uint64 { return v.machine.state.applied }
