// Package trial is one run of the lab: it starts a fleet, loads it while a
// scenario goes on, waits for all jobs to end, stops the fleet, and has what
// was observed checked.
package trial
