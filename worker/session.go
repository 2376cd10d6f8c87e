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
	// defaultInterval is the pause between heartbeats until an accepted answer
	// sets one, and if the answer's pause is not positive or over maxLease.
	defaultInterval = 200 * time.Millisecond
	// minInterval is the shortest pause between heartbeats.
	minInterval = 10 * time.Millisecond
	// leaseDivisor bounds the pause between heartbeats to lease/leaseDivisor, so
	// that the lease does not expire when one heartbeat is lost.
	leaseDivisor = 3
	// maxLease is the longest lease that an answer may grant.
	maxLease = time.Hour
)

// Errors with which an answer is rejected. Nothing in a rejected answer is used.
var (
	errStaleSeq     = errors.New("answer is not to the newest heartbeat")
	errStaleToken   = errors.New("token is lower than the highest accepted")
	errLateAnswer   = errors.New("answer arrived after the lease that it grants had expired")
	errInvalidLease = errors.New("lease duration in the answer is out of range")
)

// identity describes the worker in every heartbeat.
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
	stopping     bool // the loop was instructed to cancel the handler
	leaseExpired bool // the lease expired since the run was started
	progress     progress
	// sentChanges is the value of progress.changes that the outstanding
	// heartbeat contains, 0 if it contains no progress of the run.
	// confirmedChanges is the value that the leader has received, 0 if the
	// progress must be sent again.
	sentChanges, confirmedChanges uint64
	// lastSentSeq is the Seq of the newest heartbeat that contained the run's
	// progress.
	lastSentSeq uint64
}

// session implements the worker's side of the heartbeat protocol for one
// incarnation of the worker. It does no I/O and reads no clock: all times are
// those of the worker's monotonic clock, since an arbitrary start. It has no
// lock, since only its loop uses it. The rules of the protocol are in
// docs/DESIGN.md, "Leases, tokens and runs".
type session struct {
	identity identity

	seq          uint64 // of the newest heartbeat, 0 before the first
	outstanding  bool   // the newest heartbeat was neither accepted nor abandoned
	sentAt       time.Duration
	sentDraining bool // draining was set when the newest heartbeat was made

	acceptedSeq      uint64
	drainingAccepted bool // an answer to a heartbeat sent while draining was accepted
	token            uint64
	lease            time.Duration
	leaseExpiry      time.Duration
	interval         time.Duration
	draining         bool

	running map[api.RunRef]*openRun
	ended   map[api.RunRef]api.EndedRun
	// reportsDeferred is true if some reports did not fit into the newest
	// heartbeat.
	reportsDeferred bool
}

func newSession(id identity) *session {
	return &session{
		identity: id,
		interval: defaultInterval,
		running:  make(map[api.RunRef]*openRun),
		ended:    make(map[api.RunRef]api.EndedRun),
	}
}

// nextHeartbeat returns the next heartbeat and makes it the outstanding one:
// answers to earlier heartbeats are rejected from now on. now must be read
// before the request is sent, since the lease counts from it.
func (s *session) nextHeartbeat(now time.Duration) api.Heartbeat {
	s.seq++
	s.outstanding = true
	s.sentAt = now
	s.sentDraining = s.draining
	ended, deferred := s.splitEndedRuns()
	s.reportsDeferred = len(deferred) > 0
	return api.Heartbeat{
		WorkerID:    s.identity.WorkerID,
		Name:        s.identity.Name,
		Seq:         s.seq,
		AcceptedSeq: s.acceptedSeq,

		AcceptedToken: s.token,
		Capacity:      s.identity.Capacity,
		Services:      s.identity.Services,
		Labels:        s.identity.Labels,
		Running:       append(s.runningRefs(), deferred...),
		Ended:         ended,
		Progress:      s.progressToSend(),
		Draining:      s.draining || s.blocked(),
	}
}

// abandonHeartbeat marks the newest heartbeat as no longer outstanding after its
// request failed or its answer was rejected. A later answer to it is rejected.
func (s *session) abandonHeartbeat() {
	s.outstanding = false
	s.resetConfirmedProgress()
}

// leaseExpired reports whether the lease has expired or was never granted.
func (s *session) leaseExpired(now time.Duration) bool { return now >= s.leaseExpiry }

// expireLease marks all open runs as stopping if the lease has expired, and
// returns the runs whose lease expired since the last call, sorted, for the
// caller to cancel. It must be called with each new time before any other method
// that takes the time, so that nothing is done under an expired lease.
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

// blocked reports whether a handler is still running after the lease under which
// it was started has expired. The worker rejects new runs until that handler has
// returned.
func (s *session) blocked() bool {
	for _, run := range s.running {
		if run.leaseExpired {
			return true
		}
	}
	return false
}

// accept applies an answer completely and returns the resulting actions, or
// returns an error and changes nothing. expireLease must have been called with
// the same now.
func (s *session) accept(now time.Duration, answer api.HeartbeatAnswer) (actions, error) {
	lease, err := s.checkAnswer(now, answer)
	if err != nil {
		return actions{}, err
	}
	s.outstanding = false
	s.acceptedSeq = answer.Seq
	s.drainingAccepted = s.drainingAccepted || s.sentDraining
	s.confirmProgress(answer.Token != s.token)
	s.token = answer.Token
	s.lease = lease
	s.leaseExpiry = s.sentAt + lease
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

// checkAnswer returns the duration of the lease that an answer grants, or an
// error if the answer must not be used.
func (s *session) checkAnswer(now time.Duration, answer api.HeartbeatAnswer) (time.Duration, error) {
	if !s.outstanding || answer.Seq != s.seq {
		return 0, fmt.Errorf("%w: got seq %d, newest is %d", errStaleSeq, answer.Seq, s.seq)
	}
	if answer.Token < s.token {
		return 0, fmt.Errorf("%w: got %d, highest accepted is %d", errStaleToken, answer.Token, s.token)
	}
	if answer.HoldMillis <= 0 || answer.HoldMillis > maxLease.Milliseconds() {
		return 0, fmt.Errorf("%w: got %d ms, want more than 0 and at most 1 h", errInvalidLease, answer.HoldMillis)
	}
	lease := time.Duration(answer.HoldMillis) * time.Millisecond
	if now >= s.sentAt+lease {
		return 0, fmt.Errorf("%w: %v after the heartbeat was sent", errLateAnswer, now-s.sentAt)
	}
	return lease, nil
}

// boundInterval returns the pause between heartbeats that an answer requests,
// limited to at least minInterval and at most lease/leaseDivisor; minInterval
// takes precedence.
func (s *session) boundInterval(millis int64) time.Duration {
	interval := defaultInterval
	if millis > 0 && millis <= maxLease.Milliseconds() {
		interval = time.Duration(millis) * time.Millisecond
	}
	return max(minInterval, min(interval, s.lease/leaseDivisor))
}

// endRun records the report of a run whose handler has returned. It does nothing
// if the run is not open.
func (s *session) endRun(ended api.EndedRun) {
	if _, open := s.running[ended.RunRef]; !open {
		return
	}
	delete(s.running, ended.RunRef)
	s.ended[ended.RunRef] = ended
}

// drain makes the worker reject new runs from now on.
func (s *session) drain() { s.draining = true }

// stopAll marks all open runs as stopping and returns those that were not
// stopping before, for the caller to cancel.
func (s *session) stopAll() []api.RunRef {
	var todo actions
	for _, ref := range s.runningRefs() {
		s.stopRun(ref, &todo)
	}
	return todo.stop
}

// drained reports whether a draining worker may exit: no heartbeat is
// outstanding, no run is open or unacknowledged, and the leader has acknowledged
// that the worker is draining.
func (s *session) drained() bool {
	return s.draining && s.drainingAccepted && !s.outstanding && len(s.running) == 0 && len(s.ended) == 0
}

// runningRefs returns the open runs, sorted by compareRefs.
func (s *session) runningRefs() []api.RunRef {
	refs := make([]api.RunRef, 0, len(s.running))
	for ref := range s.running {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// endedRuns returns the unacknowledged reports, sorted by compareRefs.
func (s *session) endedRuns() []api.EndedRun {
	runs := make([]api.EndedRun, 0, len(s.ended))
	for _, run := range s.ended {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b api.EndedRun) int { return compareRefs(a.RunRef, b.RunRef) })
	return runs
}

// compareRefs orders runs by task and then by run number.
func compareRefs(a, b api.RunRef) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
}
