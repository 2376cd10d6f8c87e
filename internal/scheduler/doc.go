// Package scheduler implements the leader: the work of a replica while it holds the
// leadership. It compares the runs that workers list in heartbeats (observed state) with the
// record (desired state), and reconciles them by opening, assigning, stopping and
// closing runs. It also serves the calls that fronts relay.
//
// All state of this package is rebuilt from the record and from heartbeats in each new
// term and discarded when the term ends.
//
// # Ownership of state
//
// A leader exists for one term. It is composed of components and passes events on to
// them; an operation that involves several components is a method of leader.
//
//   - workerRegistry: worker incarnations, their heartbeats and leases, the current
//     incarnation by address, the leader's own stalls, the planner's view of workers
//   - assignments: open runs, pending starts, revocations; the outbox of assignments,
//     reconciliation with the runs that workers list, reports of ended runs
//   - pendingWork: waiting tasks, their timers, ranks and locality waits
//   - gangs: steps whose tasks start together, and steps with a common outcome
//   - calendar: the windows of reservations
//   - admissionControl: SLO tracking by queue, submissions that are being committed
//   - healthReview: the health of workers, judged from their runs, and the progress of runs
//   - drains: drained workers and zones, departures
//   - repeats: occurrences of repeating jobs that are still to be added
//   - proposer: the leader's own commands until they are committed
//   - settings: the configuration in force, and the processes that confirmed it
//   - jobWaiters: calls that wait for the end of a job
//
// The components share workerEntry and runState; the comments of these types say which
// component writes which part.
//
// # Dependencies between components
//
// A component has no pointer to the leader, to its lock or to another component. It
// has the term's environment; everything else is passed as an argument or as a narrow
// interface (runEnder, plannerWorkers, taskQueue, gangMembers, waitingTasks,
// workerResponsiveness, workerFailures, backlogObserver), which
// TestComponents_ShareNoState verifies. Components make decisions; they do not block,
// start no goroutine, read no clock but the environment's, and never read the record.
//
// # Locking
//
// leader.mu guards every component and the planner; no component has a lock. Handlers of
// calls, events and ticks acquire it; methods of components expect it to be held. State
// that is immutable during a term (type term) needs no lock.
//
// The record's lock is acquired before leader.mu, since the record calls handleEvent
// under its own lock. So code that holds leader.mu must not read the record or propose a
// command.
package scheduler
