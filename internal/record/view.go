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
		place, found := s.findJob(after)
		if found {
			place++
		}
		for _, job := range s.jobList[place:] {
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
	held := v.machine.state.loads[workerID]
	if held == nil {
		return slices.Values[[]*Run](nil)
	}
	return slices.Values(held.runs)
}

// AllOpenRuns implements View.
func (v view) AllOpenRuns() iter.Seq[*Run] {
	return slices.Values(v.machine.state.allRuns())
}

// Used implements View.
func (v view) Used(workerID string) api.Resources {
	return v.machine.state.used(workerID)
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

// Order implements View.
func (v view) Order(id string) (result ConfigResult, digest string, known bool) {
	kept := v.machine.state.settings.orders.byID[id]
	if kept == nil {
		return ConfigResult{}, "", false
	}
	return kept.Result, kept.Digest, true
}

// ReleasedWindows implements View.
func (v view) ReleasedWindows() []ReleaseWindow {
	return slices.Clone(v.machine.state.released)
}

// QueueCounts implements View.
func (v view) QueueCounts(queue string) QueueCounts {
	return countsIn(v.machine.state.queues, queue)
}

// TeamCounts implements View.
func (v view) TeamCounts(team string) QueueCounts {
	return countsIn(v.machine.state.teams, team)
}

// CallerPending implements View.
func (v view) CallerPending(queue, caller string) int {
	return v.machine.state.callers[callerKey{queue, caller}]
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
	archived, known, err := v.machine.archived(id)
	if err != nil || !known {
		return api.JobStatus{}, false, err
	}
	return archived.Status(), true, nil
}

// BriefStatus implements View.
func (v view) BriefStatus(id string) (api.JobStatus, bool, error) {
	if job := v.machine.state.jobs[id]; job != nil {
		return job.brief(), true, nil
	}
	archived, known, err := v.machine.archived(id)
	if err != nil || !known {
		return api.JobStatus{}, false, err
	}
	return archived.brief(), true, nil
}

// Clock implements View.
func (v view) Clock() Millis { return v.machine.state.clock }

// Applied implements View.
func (v view) Applied() uint64 { return v.machine.state.applied }
