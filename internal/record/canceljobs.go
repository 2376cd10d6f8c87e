package record

import "slices"

// applyCancelJobs cancels the live jobs for which MayCancel holds. A job whose gang
// has succeeded but still has open runs is already complete and is skipped. It
// returns only errors of the archive.
func (m *Machine) applyCancelJobs(cancel *CancelJobs) error {
	for _, id := range cancel.Jobs {
		job := m.state.jobs.byID[id]
		switch {
		case job != nil:
			m.cancelJob(job)
		case cancel.Withdraw:
			if err := m.withdrawJob(id); err != nil {
				return err
			}
		}
	}
	return nil
}

// cancelJob cancels a live job if MayCancel holds.
func (m *Machine) cancelJob(job *Job) {
	if !job.MayCancel() {
		return
	}
	job.Cancelled = true
	job.cancelFutureOccurrences()
	m.cancelTasks(job)
	m.archiveJobIfComplete(job)
}

// withdrawJob withdraws a job that is neither live nor archived, nor ended by the
// current entry, which has not put it in the archive yet.
func (m *Machine) withdrawJob(id string) error {
	if slices.ContainsFunc(m.endedJobs, func(job *Job) bool { return job.ID == id }) {
		return nil
	}
	_, archived, err := m.findArchived(id)
	if err == nil && !archived {
		m.state.withdrawn.add(withdrawnJob{ID: id, At: m.state.clock})
	}
	return err
}

// cancelTasks moves every task without an open run to TaskCancelled and requests a
// stop of every open run. A task with an open run is cancelled when that run closes.
func (m *Machine) cancelTasks(job *Job) {
	for _, step := range job.Steps {
		for _, task := range step.Tasks {
			switch {
			case task.State.Final():
			case task.Run != nil:
				m.requestStop(task.Run, StopCancelled)
			default:
				m.finishWithoutRun(task, TaskCancelled, reasonJobCancelled)
			}
		}
	}
}

// cancelFutureOccurrences counts the occurrences that have not been added yet as
// cancelled; they will never be added.
func (j *Job) cancelFutureOccurrences() {
	if j.Repetition == nil {
		return
	}
	j.Repetition.Cancelled += j.Occurrences() - j.Repetition.Next
	j.Repetition.Next = j.Occurrences()
}
