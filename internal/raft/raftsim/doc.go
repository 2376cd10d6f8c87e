// Package raftsim drives many raft nodes through seeded faults in virtual time
// and checks the promises of the replicated log after each step.
//
// A run is a single goroutine that works off one queue of events; all chance
// comes from one seeded source, so that a seed gives the same run each time.
// Faults: lost, late, doubled and reordered messages, cut links (also one way),
// crashes that lose unsynced writes, also between persisting and sending,
// machines that stop running for seconds, clocks that drift, lost disks with
// replacement by a new replica, membership changes, leadership transfers.
//
// Checked: one leader for each term, one lease at a time (in true time), equal
// applied entries everywhere, no acknowledged entry lost, reads that miss
// nothing, and that service and membership are whole again after the faults.
package raftsim
