// Package record is the state machine that the replicated log feeds. It owns the
// desired state: live jobs with their steps, tasks and open runs, the known
// workers, the configuration with its history and orders, the released
// reservation windows, the drained zones, and which ended jobs the archive shows.
//
// A Command is one entry of the log. Machine.Apply decodes it and calls the
// applyX method of its kind, in the file named after the kind; Machine.Read and
// Machine.Observe give readers a View and Events; Machine.Snapshot and
// Machine.Restore write and read the whole state.
//
// # Invariants
//
// Applying is deterministic: the same entries give the same state, the same
// Results and the same snapshot bytes on every replica. No clock is read but the
// commands' own, no random number is drawn, and the order of a map never reaches
// the state, an event or a result. Programs of different versions run side by side
// during a rolling change, so this holds for every text that is stored, too.
//
// Applying is idempotent where a caller may repeat itself. A command that names
// what is unknown, ended or done before is skipped or answered with the first
// outcome, and never an error: after a restart the log is applied again from the
// last snapshot, to an archive that may be ahead of it.
//
// A run is committed here before the worker is told to start it. What a worker
// reports is observed state, which package scheduler owns; it changes nothing here
// until the leader has proposed it and the entry is applied. A final task never
// changes again, and a task has at most one open run.
//
// # Locking
//
// Machine has one read-write lock, which guards the state and all that is reached
// from it. Views and observers run under it: they must not block, must not call the
// Machine and must not keep or change what they are given, except that workers and
// configurations are immutable.
//
// # Must not
//
// The package does no I/O but through its Archive, starts no goroutine, reads no
// wall clock, and knows neither the network nor the leader's plans. The encodings of
// commands, snapshots and archived jobs are stored data and must stay readable.
package record
