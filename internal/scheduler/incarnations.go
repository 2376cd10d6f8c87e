package scheduler

import (
	"time"

	"github.com/decklever/decklever/internal/protocol"
)

// Two incarnations at one address are never alive at the same time. If one of them is
// proven alive at a moment when this leader already knew the other, it is the later one,
// and the other has ended. An incarnation is proven alive at the moment at which an
// answer was given that it is known to have accepted; a heartbeat alone proves nothing,
// since it may have been in transit for long. Clocks of other machines are not used.

// replacedAfterIntervals is the number of heartbeat intervals for which no heartbeat of an
// incarnation must have arrived before it counts as replaced, even if another one is
// proven alive at its address.
const replacedAfterIntervals = 2

// addressOf returns the worker's address, which is unique in the cluster; empty if the
// worker has none.
func addressOf(request protocol.HeartbeatRequest) string {
	if request.Heartbeat.Place == "" {
		return ""
	}
	return request.Agent + "/" + request.Heartbeat.Place
}

// hasOpenRuns reports whether the worker has an open run that is not being closed.
func (w *workerEntry) hasOpenRuns() bool {
	for _, run := range w.runs {
		if !run.closing {
			return true
		}
	}
	return false
}

// claimAddress makes the worker the current incarnation at its address, unless the worker
// is not proven alive, or another one was proven alive there later.
func (r *workerRegistry) claimAddress(worker *workerEntry) {
	address := worker.info.Address
	if address == "" || worker.provenAliveAt == 0 {
		return
	}
	if other := r.currentByAddress[address]; other == nil || other.provenAliveAt <= worker.provenAliveAt {
		r.currentByAddress[address] = worker
	}
}

// releaseAddress removes a worker that was dropped from the index by address.
func (r *workerRegistry) releaseAddress(worker *workerEntry) {
	if r.currentByAddress[worker.info.Address] == worker {
		delete(r.currentByAddress, worker.info.Address)
	}
}

// mustExpireReplaced reports whether a later incarnation has replaced the worker at its
// address, so that its runs must be closed although its lease may not have expired. It is
// false once the worker counts as expired and has no run left to close.
func (r *workerRegistry) mustExpireReplaced(worker *workerEntry, now time.Duration) bool {
	if worker.info.Address == "" || worker.lease.expired && !worker.hasOpenRuns() {
		return false
	}
	current := r.currentByAddress[worker.info.Address]
	if current == nil || current == worker || current.provenAliveAt < worker.firstKnownAt {
		return false
	}
	lastSeen := max(worker.lastSeen, worker.firstKnownAt)
	return current.provenAliveAt > worker.provenAliveAt && now-lastSeen > replacedAfterIntervals*r.heartbeatInterval()
}
