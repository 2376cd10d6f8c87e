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
	// promptInterval is given to a worker whose reports were just committed, or that was
	// just seen for the first time: its free capacity is likely to be used within it.
	promptInterval = 20 * time.Millisecond
	// workersPerBaseInterval: beyond this many workers the heartbeat interval
	// grows with their number, so that the leader's load does not.
	workersPerBaseInterval = 200
	// intervalsPerLease bounds the interval, so that a lease survives the loss
	// of two heartbeats in a row.
	intervalsPerLease = 4
)

// heartbeat answers one heartbeat of one worker. It checks the leader's lease
// before it draws conclusions and right before it answers.
//
// What a heartbeat reports is true whether or not its caller still waits, so the
// caller's context bounds nothing here. It only keeps assignments from an answer
// that nobody takes. The ends that it lists are taken also when it is refused.
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
		return protocol.HeartbeatAnswer{}, &rpc.Error{Code: rpc.CodeUnavailable, Message: "heartbeat is not newer than one already heard"}
	}
	return l.answerHeartbeat(ctx, observed, acknowledged)
}

// observation is a heartbeat in progress.
type observation struct {
	request protocol.HeartbeatRequest
	worker  *workerEntry
	// late is true if a newer heartbeat was seen before: then it reports
	// ended runs and nothing else.
	late bool
	// leaseExpirations is the worker's count when the heartbeat was seen.
	leaseExpirations uint64
	// mustRegister is true if the record has to learn of the worker first.
	mustRegister bool
	differences  reconciliation
	reports      reports
}

// observeHeartbeat takes over what a heartbeat says of its worker, and compares the runs
// that it lists with the record.
func (l *leader) observeHeartbeat(request protocol.HeartbeatRequest) *observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	heartbeat := request.Heartbeat
	now := l.now()
	l.settings.observeAgent(request, now)
	worker, known := l.registry.byID[heartbeat.WorkerID]
	if !known {
		worker = l.registry.add(workerInfo(request, l.log.Now()), now)
	}
	observed := &observation{request: request, worker: worker, leaseExpirations: worker.lease.expirations}
	l.registry.observeHeartbeatGap(worker, now)
	if worker.observeHeartbeat(heartbeat, now) {
		l.registry.claimAddress(worker)
		if l.registry.refreshPlannerWorker(worker, now) {
			l.wake()
		}
		worker.recordCheckpoints(heartbeat.Progress)
		observed.mustRegister = l.registry.mustRegister(worker, workerInfo(request, 0), now)
		observed.differences = reconcile(worker.runs, heartbeat)
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

// commit puts what the heartbeat reports into the record, and returns the reports
// that may be acknowledged.
func (l *leader) commit(observed *observation) ([]api.RunRef, error) {
	if err := l.register(observed); err != nil {
		return nil, err
	}
	return l.commitReports(observed)
}

// register commits what the record must know of the worker. A worker that
// cannot be registered yet is answered all the same, without assignments.
func (l *leader) register(observed *observation) error {
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

// answerHeartbeat extends the lease and gives the assignments, unless the heartbeat has
// been overtaken meanwhile by a newer one or by the expiry of the lease.
func (l *leader) answerHeartbeat(ctx context.Context, observed *observation, acknowledged []api.RunRef) (protocol.HeartbeatAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	worker := observed.worker
	if worker.seq != observed.request.Heartbeat.Seq || worker.lease.expirations != observed.leaseExpirations {
		l.metrics.heartbeats.WithLabelValues("overtaken").Inc()
		return protocol.HeartbeatAnswer{}, &rpc.Error{Code: rpc.CodeUnavailable, Message: "heartbeat was overtaken"}
	}
	interval := l.registry.heartbeatInterval()
	prompt := len(acknowledged) > 0 || !worker.answered()
	if prompt {
		interval = promptInterval
	}
	worker.answer(l.now(), l.registry.leaseDuration(), l.registry.driftMargin())
	worker.answeredPromptly, worker.leaderStallAtAnswer = prompt, l.registry.stalls.total
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
	l.metrics.orders.Add(float64(len(answer.Start)))
	return protocol.HeartbeatAnswer{Answer: answer}, nil
}

// startAssignments gives each run placed on the worker its one assignment, if the
// caller still waits for it.
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
