package scheduler

import "github.com/decklever/decklever/internal/record"

// pendingStarts holds the live jobs of which no task is known to have started on a worker. A
// placed task has not started yet: its assignment may be waiting for a heartbeat, or have no
// effect.
type pendingStarts struct {
	// queueOf maps a job's id to its queue, byQueue a queue to its number of such jobs.
	queueOf map[string]string
	byQueue map[string]int
}

func newPendingStarts() pendingStarts {
	return pendingStarts{queueOf: make(map[string]string), byQueue: make(map[string]int)}
}

// add adds a job that was just submitted, or was loaded at the start of a term.
func (p *pendingStarts) add(job *record.Job) {
	if _, known := p.queueOf[job.ID]; known {
		return
	}
	p.queueOf[job.ID] = job.Spec.Queue
	p.byQueue[job.Spec.Queue]++
}

// remove removes a job that has started or ended.
func (p *pendingStarts) remove(id string) {
	queue, known := p.queueOf[id]
	if !known {
		return
	}
	delete(p.queueOf, id)
	p.byQueue[queue]--
	if p.byQueue[queue] == 0 {
		delete(p.byQueue, queue)
	}
}

// hasRecordedStart reports whether a task of the job has started, as far as the record shows
// at the start of a term. A job with open runs only, without a failure or a final task,
// counts as not started until a heartbeat lists one of the runs.
func hasRecordedStart(job *record.Job) bool {
	if job.Repetition != nil && job.Repetition.Succeeded+job.Repetition.Failed > 0 {
		return true
	}
	for _, step := range job.Steps {
		for _, task := range step.Tasks {
			if task.Failures > 0 || task.State == record.TaskSucceeded || task.State == record.TaskFailed {
				return true
			}
		}
	}
	return false
}

// jobsPendingStart returns the number of the queue's jobs of which no task is known to have
// started.
func (l *leader) jobsPendingStart(queue string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.assignments.pendingStarts.byQueue[queue]
}
