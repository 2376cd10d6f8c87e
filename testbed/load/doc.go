// Package load generates the load of the test bed: from a seed it submits the jobs of
// a deployment at their rates, independent of the answers (an open loop), resubmits some
// deliberately, and polls each job until it is final. It records each call and its answer
// in the call log.
package load
