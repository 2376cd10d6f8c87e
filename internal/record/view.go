package record

import (
	"iter"
	"slices"

	"github.com/decklever/decklever/api"
)

// view implements View; the machine's lock is held while it is in use.
type view struct {
	machine *Machine
}

// Job implements View.
func (v view) Job(id string) (*Job, bool) {
	job := v.machine.state.jobs[id]
	return job, job != nil
}

// Jobs implements View; the job named after is itself left out.
func (v view) Jobs(after string) iter.Seq[*Job] {
	s := v.machine.state
	return func(yield func(*Job) bool) {
		position, found := s.findJob(after)
		if found {
			position++
		}
		for _, job := range s.sortedJobs[position:] {
			if !yield(job) {
				return
			}
		}
	}
}

// Task implements View.
func (v view) Task(id TaskID) (*Task, bool) {
	task := v.machine.state.task(id)
	return task, task != nil
}

// Worker implements View.
func (v view) Worker(name string) (*Worker, bool) {
	worker := v.machine.state.workers[name]
	return worker, worker != nil
}

// Workers implements View, in the order of names.
func (v view) Workers() iter.Seq[*Worker] {
	return slices.Values(v.machine.state.sortedWorkers())
}

// OpenRuns implements View.
func (v view) OpenRuns(workerID string) iter.Seq[*Run] {
	load := v.machine.state.loadByWorkerID[workerID]
	if load == nil {
		return slices.Values[[]*Run](nil)
	}
	return slices.Values(load.runs)
}

// AllOpenRuns implements View.
func (v view) AllOpenRuns() iter.Seq[*Run] {
	return slices.Values(v.machine.state.sortedOpenRuns())
}

// UsedResources implements View.
func (v view) UsedResources(workerID string) api.Resources {
	return v.machine.state.usedResources(workerID)
}

// Config implements View.
func (v view) Config() (version uint64, config *api.Config) {
	settings := &v.machine.state.settings
	return settings.version, settings.effective
}

// AcceptedConfig implements View.
func (v view) AcceptedConfig() (version uint64, config *api.Config) {
	settings := &v.machine.state.settings
	return settings.version, settings.accepted
}

// ConfigVersions implements View.
func (v view) ConfigVersions() []api.ConfigVersion {
	versions := slices.Clone(v.machine.state.settings.versions)
	slices.Reverse(versions)
	return versions
}

// ConfigOrder implements View.
func (v view) ConfigOrder(id string) (result ConfigResult, digest string, known bool) {
	kept := v.machine.state.settings.orders.byID[id]
	if kept == nil {
		return ConfigResult{}, "", false
	}
	return kept.Result, kept.Digest, true
}

// ReleasedWindows implements View.
func (v view) ReleasedWindows() []ReleaseWindow {
	return slices.Clone(v.machine.state.releasedWindows)
}

// QueueCounts implements View.
func (v view) QueueCounts(queue string) QueueCounts {
	return countsIn(v.machine.state.queueCounts, queue)
}

// TeamCounts implements View.
func (v view) TeamCounts(team string) QueueCounts {
	return countsIn(v.machine.state.teamCounts, team)
}

// CallerPending implements View.
func (v view) CallerPending(queue, caller string) int {
	return v.machine.state.callerPending[queueCaller{queue, caller}]
}

func countsIn(all map[string]*QueueCounts, name string) QueueCounts {
	if counts := all[name]; counts != nil {
		return *counts
	}
	return QueueCounts{}
}

// Status implements View.
func (v view) Status(id string, reason func(*Task) string) (api.JobStatus, bool, error) {
	if job := v.machine.state.jobs[id]; job != nil {
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
	if job := v.machine.state.jobs[id]; job != nil {
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
