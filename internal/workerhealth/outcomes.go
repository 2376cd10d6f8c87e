package workerhealth

import "fmt"

// Thresholds of outlier detection. A worker can be an outlier if faults make up half of
// its outcomes and concern at least three jobs, or make up a quarter and concern at least
// four jobs. If 2% of tasks fail by their own fault, 3 faults among 6 outcomes occur in
// one of 6,000 such windows.
const (
	fewFaultyJobs, highFaultShare  = 3, 0.5
	manyFaultyJobs, someFaultShare = 4, 0.25
	// outlierFactor is the least multiple of the other workers' share of faults at which
	// a worker can be an outlier: if work fails on all workers, none is ejected.
	outlierFactor = 2
	// priorFaults and priorOutcomes are added to the faults and outcomes of the other
	// workers, so that few outcomes have little influence.
	priorFaults, priorOutcomes = 0.5, 10
)

// outcomeCount counts run ends, of one worker or of several.
type outcomeCount struct {
	// faultWeight is the number of failed runs, plus stallWeight for each stalled run.
	faultWeight int
	// successes is the number of succeeded runs.
	successes int
	// faultyJobs is the number of different jobs with a failed run, plus stallWeight
	// for each stalled run.
	faultyJobs int
}

func (c outcomeCount) add(other outcomeCount) outcomeCount {
	return outcomeCount{c.faultWeight + other.faultWeight, c.successes + other.successes, c.faultyJobs + other.faultyJobs}
}

func (c outcomeCount) sub(other outcomeCount) outcomeCount {
	return outcomeCount{c.faultWeight - other.faultWeight, c.successes - other.successes, c.faultyJobs - other.faultyJobs}
}

// faultShare returns the fraction of the outcomes that are faults, from 0 to 1.
func (c outcomeCount) faultShare() float64 {
	if c.faultWeight == 0 {
		return 0
	}
	return float64(c.faultWeight) / float64(c.faultWeight+c.successes)
}

// smoothedFaultShare returns faultShare with priorFaults and priorOutcomes added.
func (c outcomeCount) smoothedFaultShare() float64 {
	return (float64(c.faultWeight) + priorFaults) / (float64(c.faultWeight+c.successes) + priorOutcomes)
}

// isOutlier reports whether a worker with these outcomes is an outlier, where others is
// the sum of the outcomes of the workers that it is compared with.
func (c outcomeCount) isOutlier(others outcomeCount) bool {
	share := c.faultShare()
	if share < outlierFactor*others.smoothedFaultShare() {
		return false
	}
	return c.faultyJobs >= fewFaultyJobs && share >= highFaultShare || c.faultyJobs >= manyFaultyJobs && share >= someFaultShare
}

// reason returns the Status.Reason of a worker that is ejected for these outcomes.
func (c outcomeCount) reason() string {
	return fmt.Sprintf("work fails or stands still here and not elsewhere: weight %d against %d successes", c.faultWeight, c.successes)
}
