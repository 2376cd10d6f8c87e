// Package schedulerprocess runs a scheduler as a process. According to the settings, it
// opens the data folder and connects the replica, the record (the replicated state) and
// the scheduler.Service, which runs while the replica leads. A gateway lets operators call
// any scheduler. Without a data folder the process is a Relay, which has no replica.
//
// The package also sets two process-wide values: GOMAXPROCS and the GC percentage.
package schedulerprocess
