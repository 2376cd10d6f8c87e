package replica

import "time"

const (
	// batchIntervalFactor is the minimum time between the starts of two batches of
	// proposals, as a multiple of the average save duration. Each batch costs a sync and a
	// call to every follower whatever its size, so the next batch fills while one is saved.
	batchIntervalFactor = 2
	// saveAverageWindow is the window of the moving average of save durations, in saves.
	saveAverageWindow = 8
)

// batchPacer delays batches so that a steady stream of proposals forms fewer of them. The
// delay follows the average save duration, so that it is negligible with a fast disk, and
// is at most maxDelay. A proposal that arrives after a pause is not delayed. batchPacer is
// owned by the loop goroutine.
type batchPacer struct {
	// averageSave is the moving average of save durations; 0 before the first save.
	averageSave time.Duration
	maxDelay    time.Duration
	// nextBatchAt is the monotonic time from which the next batch may begin.
	nextBatchAt time.Duration
}

// observeSave adds the duration of one save to the average.
func (p *batchPacer) observeSave(duration time.Duration) {
	if p.averageSave == 0 {
		p.averageSave = duration
		return
	}
	p.averageSave += (duration - p.averageSave) / saveAverageWindow
}

// recordBatch records that a batch began at now.
func (p *batchPacer) recordBatch(now time.Duration) {
	p.nextBatchAt = now + min(batchIntervalFactor*p.averageSave, p.maxDelay)
}

// delay returns the time until the next batch may begin; 0 if it may begin at now.
func (p *batchPacer) delay(now time.Duration) time.Duration {
	return max(p.nextBatchAt-now, 0)
}
