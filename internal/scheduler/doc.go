// Package scheduler is the acting scheduler: what a replica does while it
// leads. It hears workers' heartbeats, keeps the registry of what was seen
// (observed state), compares it with the record (desired state), and closes
// the difference by opening, ordering, stopping and closing runs. It also
// serves the calls that fronts relay.
//
// All of it is rebuilt from the record and from heartbeats at each new term;
// nothing here outlives the term.
package scheduler
