package scheduler

import "github.com/decklever/decklever/internal/record"

// jobWaiters holds, by job id, a channel that is closed when the job ends. It is guarded
// by leader.mu.
type jobWaiters map[string]chan struct{}

// wait returns the channel of a live job. All callers that wait for a job share one
// channel.
func (w jobWaiters) wait(id string) <-chan struct{} {
	if w[id] == nil {
		w[id] = make(chan struct{})
	}
	return w[id]
}

// jobEnded closes the channel of a job, if a caller waits for it.
func (w jobWaiters) jobEnded(id string) {
	if waiter, waited := w[id]; waited {
		close(waiter)
		delete(w, id)
	}
}

// jobEndedChannel returns a channel that is closed when the job ends, or a closed one if
// it is not live. It registers under the record's lock, so that the job cannot end
// between the check and the registration.
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
