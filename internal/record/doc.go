// Package record implements the state machine to which the replicated log is
// applied. It owns the desired state: live jobs with their steps, tasks and open
// runs, the known workers, the configuration with its history and orders, the
// released reservation windows, the drained zones, and which archived jobs are
// visible.
//
// A Command is one entry of the log. Machine.Apply decodes it and calls the applyX
// method of its kind, in the file named after the kind. Machine.Read and
// Machine.Observe give readers a View and Events. Machine.Snapshot and
// Machine.Restore write and read the complete state.
//
// # Invariants
//
// Applying is deterministic: the same entries give the same state, the same Results
// and the same snapshot bytes on every replica. The only clock is the time in the
// commands, no random number is drawn, and map iteration order never affects the
// state, an event or a result. Programs of different versions run side by side
// during a rolling upgrade, so stored texts must be the same in all of them, too.
//
// Applying is idempotent where a caller may repeat a command. A command that names
// something unknown, ended or already done is skipped or answered with the first
// outcome; it is never an error. This is required because after a restart the log
// is applied again from the last snapshot, to an archive that may be ahead of the
// snapshot.
//
// A run is committed here before the worker is instructed to start it. Worker
// reports are observed state, which package scheduler owns; a report changes
// nothing here until the leader has proposed it and the entry is applied. The state
// of a final task never changes, and a task has at most one open run.
//
// # Locking
//
// Machine has one read-write lock, which guards the state and everything reachable
// from it. Views and observers run under this lock: they must not block, call the
// Machine, or retain or change the values they are given. Workers and
// configurations are immutable and may be retained.
//
// # Restrictions
//
// The package does I/O only through its Archive, starts no goroutine, reads no wall
// clock, and depends neither on the network nor on the leader's plans. The
// encodings of commands, snapshots and archived jobs are stored data and must stay
// readable.
package record
