// Package load is the callers of the test bed: from a seed it submits the jobs of a
// deployment at their rates, whatever the answers (an open loop), sends some
// again on purpose, and follows each job until it is final. All that it sees
// is recorded in the call log.
package load
