package scheduler

import "github.com/decklever/decklever/internal/record"

// pendingStarts are the live jobs of which no task was seen to have started on a worker,
// with their queues. A placement alone does not start a task: its assignment may
// wait for a heartbeat, or have no effect.
type pendingStarts struct {
	queueOf map[string]string
	byQueue map[string]int
}

func newPendingStarts() pendingStarts {
	return pendingStarts{queueOf: make(map[string]string), byQueue: make(map[string]int)}
}

// add takes a job in that was just submitted, or found at the start of a term.
func (n *pendingStarts) add(job *record.Job) {
	if _, known := n.queueOf[job.ID]; known {
		return
	}
	n.queueOf[job.ID] = job.Spec.Queue
	n.byQueue[job.Spec.Queue]++
}

// remove removes a job that has started or ended.
func (n *pendingStarts) remove(id string) {
	queue, known := n.queueOf[id]
	if !known {
		return
	}
	delete(n.queueOf, id)
	n.byQueue[queue]--
	if n.byQueue[queue] == 0 {
		delete(n.byQueue, queue)
	}
}

// mayHaveStarted reports by the record alone, at the start of a term, whether a task of
// the job has started. A job that has open runs and nothing else counts as not started
// until a heartbeat lists one of them.
func mayHaveStarted(job *record.Job) bool {
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

// jobsPendingStart counts the jobs of a queue of which no task has started.
func (l *leader) jobsPendingStart(queue string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.assignments.pendingStarts.byQueue[queue]
}
