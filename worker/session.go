package worker

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
)

const (
	// defaultInterval is the pause between heartbeats until an answer sets
	// one.
	defaultInterval = 200 * time.Millisecond
	// minInterval is the shortest pause that an answer can set.
	minInterval = 10 * time.Millisecond
	// leaseShare bounds the pause: it is at most this fraction of the lease,
	// so that a lost heartbeat does not let the lease expire.
	leaseShare = 3
	// maxLease bounds the lease that an answer may grant.
	maxLease = time.Hour
)

// Why an answer is refused. Nothing in a refused answer is used.
var (
	errStaleSeq     = errors.New("answer is not to the newest heartbeat")
	errStaleToken   = errors.New("token is lower than the highest accepted")
	errLateAnswer   = errors.New("answer came after its own hold")
	errInvalidLease = errors.New("answer grants no sensible hold")
)

// identity is what every heartbeat says about the worker.
type identity struct {
	WorkerID string
	Name     string
	Capacity api.Resources
	Services []string
	Labels   map[string]string
}

// openRun is a run whose order was accepted and whose handler has not
// returned.
type openRun struct {
	stopping     bool
	leaseExpired bool
	progress     progress
	// sentChanges counts the changes of progress that the outstanding
	// heartbeat covers, confirmedChanges those that an accepted answer
	// covers.
	sentChanges, confirmedChanges uint64
	// lastSentSeq is the newest heartbeat that contained the run's progress.
	lastSentSeq uint64
}

// session is the worker's side of the heartbeat protocol for one life of the
// process. It does no I/O and reads no clock: now is time on the worker's
// monotonic clock, since an arbitrary start. It has no lock; its loop alone
// uses it. The rules are in docs/DESIGN.md, "Leases, tokens and runs".
type session struct {
	identity identity

	seq          uint64
	outstanding  bool
	sentAt       time.Duration
	sentDraining bool

	acceptedSeq      uint64
	drainingAccepted bool // an answer to a heartbeat that said draining was accepted
	token            uint64
	lease            time.Duration
	leaseExpiry      time.Duration
	interval         time.Duration
	draining         bool

	running map[api.RunRef]*openRun
	ended   map[api.RunRef]api.EndedRun
	// reportsDeferred is set if some reports did not fit into the newest
	// heartbeat.
	reportsDeferred bool
}

func newSession(who identity) *session {
	return &session{
		identity: who,
		interval: defaultInterval,
		running:  make(map[api.RunRef]*openRun),
		ended:    make(map[api.RunRef]api.EndedRun),
	}
}

// nextHeartbeat returns the next heartbeat. From then on no answer to an
// earlier one is accepted. now must be read before the request is sent, as
// the lease is counted from it.
func (s *session) nextHeartbeat(now time.Duration) api.Heartbeat {
	s.seq++
	s.outstanding = true
	s.sentAt = now
	s.sentDraining = s.draining
	ended, deferred := s.splitEnded()
	s.reportsDeferred = len(deferred) > 0
	return api.Heartbeat{
		WorkerID:    s.identity.WorkerID,
		Name:        s.identity.Name,
		Seq:         s.seq,
		AcceptedSeq: s.acceptedSeq,
		Capacity:    s.identity.Capacity,
		Services:    s.identity.Services,
		Labels:      s.identity.Labels,
		Running:     append(s.runningRefs(), deferred...),
		Ended:       ended,
		Progress:    s.progressToSend(),
		Draining:    s.draining || s.blocked(),
	}
}

// abandonHeartbeat gives up the outstanding heartbeat after its request
// failed.
func (s *session) abandonHeartbeat() {
	s.outstanding = false
	s.forgetConfirmed()
}

// leaseExpired reports whether the lease has expired or was never granted.
func (s *session) leaseExpired(now time.Duration) bool { return now >= s.leaseExpiry }

// expireLease stops all runs if the lease has expired and returns those to
// cancel. It must be called with each new time before anything else, so that
// nothing is done under an expired lease.
func (s *session) expireLease(now time.Duration) []api.RunRef {
	if !s.leaseExpired(now) {
		return nil
	}
	var stop []api.RunRef
	for ref, run := range s.running {
		if run.leaseExpired {
			continue
		}
		run.leaseExpired = true
		run.stopping = true
		stop = append(stop, ref)
	}
	slices.SortFunc(stop, compareRefs)
	return stop
}

// blocked reports whether a handler continues although the lease under which
// it ran has expired. Until it returns the worker accepts no new runs.
func (s *session) blocked() bool {
	for _, run := range s.running {
		if run.leaseExpired {
			return true
		}
	}
	return false
}

// accept applies an answer completely or, with an error, not at all.
// expireLease must have been called with the same now.
func (s *session) accept(now time.Duration, answer api.HeartbeatAnswer) (actions, error) {
	hold, err := s.checkAnswer(now, answer)
	if err != nil {
		return actions{}, err
	}
	s.outstanding = false
	s.acceptedSeq = answer.Seq
	s.drainingAccepted = s.drainingAccepted || s.sentDraining
	s.confirmProgress(answer.Token != s.token)
	s.token = answer.Token
	s.lease = hold
	s.leaseExpiry = s.sentAt + hold
	s.interval = s.boundInterval(answer.IntervalMillis)

	for _, ref := range answer.Acknowledged {
		delete(s.ended, ref)
	}
	var todo actions
	for _, ref := range answer.Stop {
		s.stopRun(ref, &todo)
	}
	for _, order := range answer.Start {
		s.handleOrder(order, answer.Stop, &todo)
	}
	return todo, nil
}

// checkAnswer returns the lease that an answer grants, or why the answer must
// not be used.
func (s *session) checkAnswer(now time.Duration, answer api.HeartbeatAnswer) (time.Duration, error) {
	if !s.outstanding || answer.Seq != s.seq {
		return 0, fmt.Errorf("%w: %d, newest is %d", errStaleSeq, answer.Seq, s.seq)
	}
	if answer.Token < s.token {
		return 0, fmt.Errorf("%w: %d after %d", errStaleToken, answer.Token, s.token)
	}
	if answer.HoldMillis <= 0 || answer.HoldMillis > maxLease.Milliseconds() {
		return 0, fmt.Errorf("%w: %d ms", errInvalidLease, answer.HoldMillis)
	}
	hold := time.Duration(answer.HoldMillis) * time.Millisecond
	if now >= s.sentAt+hold {
		return 0, fmt.Errorf("%w: %v after it was sent", errLateAnswer, now-s.sentAt)
	}
	return hold, nil
}

// boundInterval returns the pause that an answer asks for, within its bounds.
func (s *session) boundInterval(millis int64) time.Duration {
	interval := defaultInterval
	if millis > 0 && millis <= maxLease.Milliseconds() {
		interval = time.Duration(millis) * time.Millisecond
	}
	return max(minInterval, min(interval, s.lease/leaseShare))
}

// endRun records that the handler of a run has returned.
func (s *session) endRun(ended api.EndedRun) {
	if _, open := s.running[ended.RunRef]; !open {
		return
	}
	delete(s.running, ended.RunRef)
	s.ended[ended.RunRef] = ended
}

// drain makes the worker reject new runs from now on.
func (s *session) drain() { s.draining = true }

// stopAll requests the stop of all open runs and returns those that were not
// stopped before.
func (s *session) stopAll() []api.RunRef {
	var todo actions
	for _, ref := range s.runningRefs() {
		s.stopRun(ref, &todo)
	}
	return todo.stop
}

// drained reports whether a draining worker may end: no run is open or
// unacknowledged, and the leader has acknowledged that the worker is
// draining.
func (s *session) drained() bool {
	return s.draining && s.drainingAccepted && !s.outstanding && len(s.running) == 0 && len(s.ended) == 0
}

// runningRefs returns the open runs, sorted.
func (s *session) runningRefs() []api.RunRef {
	refs := make([]api.RunRef, 0, len(s.running))
	for ref := range s.running {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// endedRuns returns the unacknowledged reports, sorted.
func (s *session) endedRuns() []api.EndedRun {
	runs := make([]api.EndedRun, 0, len(s.ended))
	for _, run := range s.ended {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b api.EndedRun) int { return compareRefs(a.RunRef, b.RunRef) })
	return runs
}

// compareRefs orders runs by task and number.
func compareRefs(a, b api.RunRef) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
}
