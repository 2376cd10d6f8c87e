package workerhealth

import "fmt"

// Thresholds of outlier detection. A worker is an outlier if faults make up half of
// its outcomes, in three jobs, or a quarter, in four. At a share of 2% of tasks that
// fail by their own fault, 3 faults among 6 outcomes are seen once in 6,000 such
// windows.
const (
	fewFaultyJobs, highFaultShare  = 3, 0.5
	manyFaultyJobs, someFaultShare = 4, 0.25
	// outlierFactor is the multiple of the other workers' share of faults from which
	// on a worker can be an outlier: a service that fails everywhere ejects nobody.
	outlierFactor = 2
	// priorFaults among priorOutcomes are added to the outcomes of the other workers,
	// so that a few of them do not decide.
	priorFaults, priorOutcomes = 0.5, 10
)

// outcomeCount sums up run ends, of one worker or of several.
type outcomeCount struct {
	// faultWeight is the weight of failed and stalled runs; see stallWeight.
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

// faultShare is the part of the outcomes that are faults, from 0 to 1.
func (c outcomeCount) faultShare() float64 {
	if c.faultWeight == 0 {
		return 0
	}
	return float64(c.faultWeight) / float64(c.faultWeight+c.successes)
}

// smoothedFaultShare is faultShare with the prior added.
func (c outcomeCount) smoothedFaultShare() float64 {
	return (float64(c.faultWeight) + priorFaults) / (float64(c.faultWeight+c.successes) + priorOutcomes)
}

// isOutlier reports whether a worker with these outcomes is an outlier among others
// that have others together.
func (c outcomeCount) isOutlier(others outcomeCount) bool {
	share := c.faultShare()
	if share < outlierFactor*others.smoothedFaultShare() {
		return false
	}
	return c.faultyJobs >= fewFaultyJobs && share >= highFaultShare || c.faultyJobs >= manyFaultyJobs && share >= someFaultShare
}

// reason is the Status.Reason of an outlier.
func (c outcomeCount) reason() string {
	return fmt.Sprintf("work fails or stands still here and not elsewhere: weight %d against %d successes", c.faultWeight, c.successes)
}
