package replica

import "time"

const (
	// batchIntervalFactor is the time between the starts of two batches of proposals,
	// as a multiple of the average time of a save: while one batch is saved the next one
	// fills, and each costs a sync and a call to every follower, whatever is in it.
	batchIntervalFactor = 2
	// saveAverageWindow is the number of saves that the average is taken over.
	saveAverageWindow = 8
)

// batchPacer groups proposals that come steadily into fewer batches. It follows how
// long saves take, so that a fast disk delays nothing, and never delays a batch for
// longer than maxDelay. A proposal that comes after a pause is not delayed. It belongs
// to the loop.
type batchPacer struct {
	// averageSave is the average time of a save; 0 before the first.
	averageSave time.Duration
	maxDelay    time.Duration
	// nextBatchAt is the monotonic time from which the next batch may begin.
	nextBatchAt time.Duration
}

// observeSave takes the duration of one save into the average.
func (p *batchPacer) observeSave(took time.Duration) {
	if p.averageSave == 0 {
		p.averageSave = took
		return
	}
	p.averageSave += (took - p.averageSave) / saveAverageWindow
}

// recordBatch records that a batch begins now.
func (p *batchPacer) recordBatch(now time.Duration) {
	p.nextBatchAt = now + min(batchIntervalFactor*p.averageSave, p.maxDelay)
}

// delay returns how long the next batch has to wait; 0 if it may begin.
func (p *batchPacer) delay(now time.Duration) time.Duration {
	return max(p.nextBatchAt-now, 0)
}
