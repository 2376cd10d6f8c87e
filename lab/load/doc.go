// Package load is the lab's callers: from a seed it hands in the jobs of a
// deployment at their rates, whatever the answers (an open loop), sends some
// again on purpose, and follows each job until it is final. All that it sees
// goes into the ledger.
package load
