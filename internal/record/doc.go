// Package record is the state machine that the replicated log feeds: jobs,
// steps, tasks, runs, known workers, the configuration with its orders, and
// the archive of ended jobs. Applying the same entries gives the same state
// on every replica: no clock, no random number and no map order is used.
//
// Desired state lives here; what workers say is observed state and lives in
// package scheduler. A run is committed here before its order is given, and a
// worker's word never outranks this record.
package record
