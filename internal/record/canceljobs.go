package record

// applyCancelJobs cancels the live jobs for which MayCancel holds. A job whose gang
// has succeeded but still has open runs is already complete and is skipped.
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
