package scheduler

import (
	"log/slog"

	"github.com/decklever/decklever/internal/record"
)

// lossReason is why the leader closes a run as lost without a report of its end, as the
// log and the metrics name it.
type lossReason string

const (
	// lossNotAccepted: the answer with the run's assignment was not accepted.
	lossNotAccepted lossReason = "assignment_not_accepted"
	// lossInherited: an earlier leader placed the run, and the worker has not listed it in
	// this term, nor after it accepted a request to stop it.
	lossInherited lossReason = "inherited_unlisted"
	// lossDropped: the worker accepted the assignment or listed the run, and does not list it
	// after it accepted a request to stop it.
	lossDropped lossReason = "dropped"
	// lossLeaseExpired: the worker's lease has expired, or another incarnation replaced the
	// worker.
	lossLeaseExpired lossReason = "lease_expired"
	// lossEndedUnassigned: the worker reported the end of a run that was never assigned.
	lossEndedUnassigned lossReason = "ended_unassigned"
)

// lostRun is an open run that certainly never ends with a report, and why.
type lostRun struct {
	run    *runState
	reason lossReason
}

// closeLost queues the closing of the runs that a heartbeat shows to be lost, and logs how
// many there are for each reason, with the lengths of the heartbeat's lists.
func (a *assignments) closeLost(worker *workerEntry, differences *reconciliation) {
	if len(differences.lost) == 0 {
		return
	}
	counts := make(map[lossReason]int)
	for _, lost := range differences.lost {
		counts[lost.reason]++
		a.countLoss(lost.reason)
		a.ends.enqueueClose(lost.run, "the order did not take effect")
	}
	first := differences.lost[0].run.id
	a.logger.Warn("runs given up", slog.String("worker", worker.info.Name), slog.String("worker_id", worker.info.ID),
		slog.Uint64("seq", worker.seq), slog.Uint64("accepted_seq", worker.acceptedSeq),
		slog.Int("listed_running", differences.listedRunning), slog.Int("listed_ended", differences.listedEnded),
		slog.Int("not_accepted", counts[lossNotAccepted]), slog.Int("inherited", counts[lossInherited]), slog.Int("dropped", counts[lossDropped]),
		slog.String("task", first.Task.String()), slog.Uint64("run", uint64(first.Number)))
}

func (a *assignments) countLoss(reason lossReason) {
	a.metrics.runsGivenUp.WithLabelValues(string(reason)).Inc()
}

// lateSuccessResult is what follows from the success of a run that was given up before.
type lateSuccessResult string

const (
	// lateSuccessCounted: the success is committed.
	lateSuccessCounted lateSuccessResult = "counted"
	// lateSuccessWithheld: a newer run of the task may have been assigned, so the success is
	// neither committed nor acknowledged.
	lateSuccessWithheld lateSuccessResult = "withheld"
)

// lateSuccesses are the successes in one heartbeat of runs that were given up before.
type lateSuccesses struct {
	counted, withheld int
	// first is one of the runs.
	first record.RunID
}

// observe counts a late success. Workers repeat a report that is withheld, so it is counted
// once for each newer run; newer is nil if the task waits.
func (s *lateSuccesses) observe(end record.RunEnd, newer *runState, result lateSuccessResult, metrics *metrics) {
	if newer != nil {
		if newer.lateSuccessSeen {
			return
		}
		newer.lateSuccessSeen = true
	}
	if s.counted+s.withheld == 0 {
		s.first = end.Run
	}
	if result == lateSuccessCounted {
		s.counted++
	} else {
		s.withheld++
	}
	metrics.lateSuccesses.WithLabelValues(string(result)).Inc()
}

// log logs the late successes of one heartbeat, if there are any.
func (s *lateSuccesses) log(logger *slog.Logger) {
	if s.counted+s.withheld == 0 {
		return
	}
	logger.Warn("runs succeeded that were given up", slog.Int("counted", s.counted), slog.Int("withheld", s.withheld),
		slog.String("task", s.first.Task.String()), slog.Uint64("run", uint64(s.first.Number)))
}

// droppedReason returns why the run is lost once the worker accepted a request to stop it and
// does not list it.
func (r *runState) droppedReason() lossReason {
	if r.isInherited() && !r.observed.listed {
		return lossInherited
	}
	return lossDropped
}
