// Package schedulerprocess runs a scheduler as a process: from its settings it opens the
// data folder and connects the replica, the record and the scheduler.Service, which acts
// while the replica leads. A gateway lets operators call any scheduler. Without a data
// folder the process is a Relay, which has no replica.
//
// It sets what holds for the process as a whole: GOMAXPROCS and the GC percentage.
package schedulerprocess
