package scheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// promptInterval is the heartbeat interval given to a worker whose reports were just
	// committed, that is answered for the first time in this term, or that is asked to stop
	// runs that it does not list: the planner is likely to use its free capacity within that
	// time, and such a run is placed again only after another heartbeat.
	promptInterval = 20 * time.Millisecond
	// workersPerBaseInterval is the number of workers above which the heartbeat
	// interval grows with their number, so that the leader's load does not.
	workersPerBaseInterval = 200
	// intervalsPerLease limits the grown interval to this fraction of the lease, so that
	// a lease survives the loss of two consecutive heartbeats.
	intervalsPerLease = 4
)

// heartbeat answers one heartbeat of one worker. It checks that the leader holds its
// lease before it draws conclusions, and again right before it answers.
//
// What a heartbeat reports is true whether or not its caller still waits, so ctx does
// not bound the commits. It only keeps assignments out of an answer that nobody reads.
// The run ends in a heartbeat are recorded even if the heartbeat is refused.
func (l *leader) heartbeat(ctx context.Context, request protocol.HeartbeatRequest) (protocol.HeartbeatAnswer, error) {
	if !l.log.HoldsLease(l.token) {
		l.observeRefusedEnds(request)
		return protocol.HeartbeatAnswer{}, l.notLeader()
	}
	observed := l.observeHeartbeat(request)
	acknowledged, err := l.commit(observed)
	if err != nil {
		l.enqueueEnds(observed.reports)
		return protocol.HeartbeatAnswer{}, err
	}
	if observed.late {
		return protocol.HeartbeatAnswer{}, &rpc.Error{Code: rpc.CodeUnavailable, Message: "heartbeat is not newer than one already received"}
	}
	return l.answerHeartbeat(ctx, observed, acknowledged)
}

// heartbeatObservation is a heartbeat that is being handled, and the conclusions drawn
// from it.
type heartbeatObservation struct {
	request protocol.HeartbeatRequest
	worker  *workerEntry
	// late is true if the heartbeat is not newer than one seen before. Then only the
	// run ends that it lists are used.
	late bool
	// leaseExpirations is the worker's lease.expirations when the heartbeat arrived.
	leaseExpirations uint64
	// mustRegister is true if the worker's description must be committed before the
	// heartbeat is answered.
	mustRegister bool
	differences  reconciliation
	reports      reports
}

// observeHeartbeat updates the worker's entry from a heartbeat, and compares the runs
// that the heartbeat lists with those open on the worker.
func (l *leader) observeHeartbeat(request protocol.HeartbeatRequest) *heartbeatObservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	heartbeat := request.Heartbeat
	now := l.now()
	l.settings.observeAgent(request, now)
	worker, known := l.registry.byID[heartbeat.WorkerID]
	if !known {
		worker = l.registry.add(workerInfo(request, l.log.Now()), now)
	}
	observed := &heartbeatObservation{request: request, worker: worker, leaseExpirations: worker.lease.expirations}
	l.registry.observeHeartbeatGap(worker, now)
	if worker.observeHeartbeat(heartbeat, now) {
		l.registry.claimAddress(worker)
		if l.registry.refreshPlannerWorker(worker, now) {
			l.wake()
		}
		worker.recordCheckpoints(heartbeat.Progress)
		observed.mustRegister = l.registry.mustRegister(worker, workerInfo(request, 0), now)
		observed.differences = reconcile(worker.runs, heartbeat, l.token)
	} else {
		l.metrics.heartbeats.WithLabelValues("not_newer").Inc()
		observed.late = true
		observed.differences = reconcileLate(worker.runs, heartbeat)
	}
	l.assignments.quarantineConflicts(worker, &observed.differences)
	l.assignments.applyDifferences(worker, &observed.differences)
	if !observed.late {
		l.health.observeProgress(worker, heartbeat.Progress, now)
	}
	observed.reports = l.assignments.classifyReports(&observed.differences)
	return observed
}

func workerInfo(request protocol.HeartbeatRequest, now record.Millis) record.Worker {
	heartbeat := request.Heartbeat
	return record.Worker{
		Name: heartbeat.Name, ID: heartbeat.WorkerID, Zone: request.Zone, Capacity: heartbeat.Capacity,
		Services: heartbeat.Services, Labels: heartbeat.Labels, RegisteredAt: now,
		Address: addressOf(request),
	}
}

// commit commits the worker's registration and the reported run ends, and returns the
// reports that may be acknowledged.
func (l *leader) commit(observed *heartbeatObservation) ([]api.RunRef, error) {
	if err := l.register(observed); err != nil {
		return nil, err
	}
	return l.commitReports(observed)
}

// register commits the worker's description if the record lacks it. A worker that cannot
// be registered yet is answered all the same, without assignments.
func (l *leader) register(observed *heartbeatObservation) error {
	if !observed.mustRegister {
		return nil
	}
	info := workerInfo(observed.request, l.log.Now())
	result, err := l.proposeOwn(record.Command{RegisterWorkers: &record.RegisterWorkers{Workers: []record.Worker{info}}})
	if err != nil {
		return l.proposalError(err)
	}
	if len(result.RejectedWorkers) == 0 {
		l.logger.Info("worker registered", slog.String("worker", info.Name),
			slog.String("worker_id", info.ID), slog.String("zone", info.Zone))
	}
	return nil
}

// answerHeartbeat extends the worker's lease and returns its assignments. It fails with
// rpc.CodeUnavailable if a newer heartbeat arrived or the lease expired while this one
// was being handled.
func (l *leader) answerHeartbeat(ctx context.Context, observed *heartbeatObservation, acknowledged []api.RunRef) (protocol.HeartbeatAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	worker := observed.worker
	if worker.seq != observed.request.Heartbeat.Seq || worker.lease.expirations != observed.leaseExpirations {
		l.metrics.heartbeats.WithLabelValues("overtaken").Inc()
		return protocol.HeartbeatAnswer{}, &rpc.Error{Code: rpc.CodeUnavailable, Message: "heartbeat was superseded: a newer one arrived or the lease expired"}
	}
	interval := l.registry.heartbeatInterval()
	prompt := len(acknowledged) > 0 || !worker.answered() || len(observed.differences.dropped) > 0
	if prompt {
		interval = promptInterval
	}
	worker.answer(l.now(), l.registry.leaseDuration(), l.registry.driftMargin())
	worker.answeredPromptly, worker.leaderStallAtAnswer = prompt, l.registry.stalls.totalDelay
	if l.registry.refreshPlannerWorker(worker, l.now()) {
		l.wake()
	}
	answer := api.HeartbeatAnswer{
		Seq:            worker.seq,
		Token:          l.token,
		HoldMillis:     l.registry.leaseDuration().Milliseconds(),
		IntervalMillis: interval.Milliseconds(),
		Start:          l.startAssignments(ctx, worker),
		Stop:           l.assignments.stopRequests(worker, observed.differences),
		Acknowledged:   acknowledged,
		ConfigVersion:  l.settings.version,
	}
	if !l.log.HoldsLease(l.token) {
		return protocol.HeartbeatAnswer{}, l.notLeader()
	}
	l.metrics.heartbeats.WithLabelValues("answered").Inc()
	l.metrics.assignments.Add(float64(len(answer.Start)))
	return protocol.HeartbeatAnswer{Answer: answer}, nil
}

// startAssignments returns the assignments of the runs placed on the worker; each run
// is assigned once. It returns none if the worker is leaving, whose unassigned runs it
// revokes, or if the caller no longer waits.
func (l *leader) startAssignments(ctx context.Context, worker *workerEntry) []api.StartOrder {
	if worker.isLeaving() {
		l.assignments.revokeUnassigned(worker)
		l.drains.stopDeparting(worker, l.now(), l.registry.heartbeatInterval())
		return []api.StartOrder{}
	}
	if ctx.Err() != nil {
		return []api.StartOrder{}
	}
	return l.assignments.start(worker)
}
