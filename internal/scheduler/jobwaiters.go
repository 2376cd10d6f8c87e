package scheduler

import "github.com/decklever/decklever/internal/record"

// jobWaiters are channels that are closed when a job ends, by job.
type jobWaiters map[string]chan struct{}

// wait returns the channel of a live job.
func (w jobWaiters) wait(id string) <-chan struct{} {
	if w[id] == nil {
		w[id] = make(chan struct{})
	}
	return w[id]
}

// jobEnded wakes those that wait for a job.
func (w jobWaiters) jobEnded(id string) {
	if waiter, waited := w[id]; waited {
		close(waiter)
		delete(w, id)
	}
}

// jobEndedChannel returns a channel that is closed when the job is final.
func (l *leader) jobEndedChannel(id string) <-chan struct{} {
	var ended <-chan struct{}
	l.log.Record().Read(func(view record.View) {
		_, live := view.Job(id)
		l.mu.Lock()
		defer l.mu.Unlock()
		if !live {
			closed := make(chan struct{})
			close(closed)
			ended = closed
			return
		}
		ended = l.jobWaiters.wait(id)
	})
	return ended
}
