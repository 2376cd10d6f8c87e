package record

// applyCancelJobs cancels live jobs that MayCancel. A job that waits only for the
// last runs of a gang that succeeded has ended already.
func (m *Machine) applyCancelJobs(cancel *CancelJobs) {
	for _, id := range cancel.Jobs {
		job := m.state.jobs.byID[id]
		if job == nil || !job.MayCancel() {
			continue
		}
		job.Cancelled = true
		job.cancelFutureOccurrences()
		m.cancelTasks(job)
		m.archiveJobIfComplete(job)
	}
}

// cancelTasks makes tasks without an open run cancelled, and requests the stop
// of all open runs; those tasks are cancelled once the runs are closed.
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

// cancelFutureOccurrences counts the occurrences that will not be added any more
// as cancelled.
func (j *Job) cancelFutureOccurrences() {
	if j.Repetition == nil {
		return
	}
	j.Repetition.Cancelled += j.Occurrences() - j.Repetition.Next
	j.Repetition.Next = j.Occurrences()
}
