package scheduler

import (
	"time"

	"github.com/decklever/decklever/internal/protocol"
)

// Addresses: of two incarnations at one address, which can never live at once, one that
// lived when the other was known already is the later one, so that the other has ended. That
// a worker lived at some moment is proven by an answer that was given then and
// that it has accepted; a heartbeat alone may have been on its way for long.
// Clocks of other machines have no part in it.

// replacedAfterIntervals is for how many heartbeat intervals an incarnation must have been
// unseen before it counts as replaced, whatever is proven of another one.
const replacedAfterIntervals = 2

// addressOf names a worker's address in the whole fleet; empty if it has none.
func addressOf(request protocol.HeartbeatRequest) string {
	if request.Heartbeat.Place == "" {
		return ""
	}
	return request.Agent + "/" + request.Heartbeat.Place
}

// hasOpenRuns reports whether a run is open here that is not being closed.
func (w *workerEntry) hasOpenRuns() bool {
	for _, run := range w.runs {
		if !run.closing {
			return true
		}
	}
	return false
}

// claimAddress records a worker that may have proven that it lives.
func (r *workerRegistry) claimAddress(worker *workerEntry) {
	address := worker.info.Address
	if address == "" || worker.provenAliveAt == 0 {
		return
	}
	if other := r.currentByAddress[address]; other == nil || other.provenAliveAt <= worker.provenAliveAt {
		r.currentByAddress[address] = worker
	}
}

// releaseAddress forgets a worker that is not known any more.
func (r *workerRegistry) releaseAddress(worker *workerEntry) {
	if r.currentByAddress[worker.info.Address] == worker {
		delete(r.currentByAddress, worker.info.Address)
	}
}

// replaced reports that a worker has ended although its lease still stands, as a later
// incarnation lives at its address, and that this must be acted on.
func (r *workerRegistry) replaced(worker *workerEntry, now time.Duration) bool {
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
