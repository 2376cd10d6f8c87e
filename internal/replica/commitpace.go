package replica

import "time"

const (
	// batchIntervalInSaves is the pause between the starts of two batches of proposals, in
	// typical times of a save: while one is saved the next one gathers, and each
	// batch costs a sync and a call to every follower, whatever is in it.
	batchIntervalInSaves = 2
	// saveAverageWindow is over how many saves their typical time is averaged.
	saveAverageWindow = 8
)

// batchPacer groups proposals that come steadily into fewer batches. It follows how
// long saves take, so that a fast disk delays nothing, and never waits for longer than
// half a tick. A proposal that comes after a pause is never delayed.
type batchPacer struct {
	// averageSave is the average time of a save; 0 before the first.
	averageSave time.Duration
	// maxDelay bounds the pause.
	maxDelay time.Duration
	// next is when the next batch may begin.
	nextBatchAt time.Duration
}

// observeSave takes in how long a save took.
func (p *batchPacer) observeSave(took time.Duration) {
	if p.averageSave == 0 {
		p.averageSave = took
		return
	}
	p.averageSave += (took - p.averageSave) / saveAverageWindow
}

// recordBatch takes in that a batch begins now.
func (p *batchPacer) recordBatch(now time.Duration) {
	p.nextBatchAt = now + min(batchIntervalInSaves*p.averageSave, p.maxDelay)
}

// delay is for how long the next batch has to wait; 0 if it may begin.
func (p *batchPacer) delay(now time.Duration) time.Duration {
	return max(p.nextBatchAt-now, 0)
}
