// Package scheduler is the acting scheduler: what a replica does while it leads. It
// observes workers' heartbeats, compares what they list (observed state) with the
// record (desired state), and closes the difference by opening, assigning, stopping
// and closing runs. It also serves the calls that fronts relay.
//
// All of it is rebuilt from the record and from heartbeats at each new term; nothing
// here outlives the term.
//
// # Who owns which state
//
// A leader is one term. It composes components and passes events on to them; a step
// that concerns several of them is a method of leader, in a file of its concern.
//
//   - workerRegistry: worker incarnations, their heartbeats and leases, the current
//     incarnation by address, the leader's own stalls, the planner's picture of workers
//   - assignments: open runs, pending starts, revocations; the outbox of assignments,
//     reconciliation with what workers list, reports of ended runs
//   - pendingWork: tasks that wait, their timers, ranks and locality waits
//   - gangs: steps whose tasks start together, and those with a common outcome
//   - calendar: the windows of reservations
//   - admissionControl: SLO tracking by queue, submissions that are being committed
//   - healthReview: what runs show of workers and of their own progress
//   - drains: drained workers and zones, departures
//   - repeats: occurrences to be added
//   - proposer: the leader's own commands until they are committed
//   - settings: the configuration in force, and which processes confirmed it
//   - jobWaiters: calls that wait for the end of a job
//
// workerEntry and runState are shared by the components: their comments say who
// writes which part.
//
// # Who may call whom
//
// A component has no pointer to the leader, to its lock or to another component. It
// has the term's environment, and what else it needs it gets as an argument or as a
// narrow interface (runEnder, plannerWorkers, taskQueue, gangMembers, waitingTasks,
// workerResponsiveness, workerFailures, backlogObserver). TestComponents_ShareNoState
// keeps to that. Components decide; they do not block, start no goroutine, read no
// clock but the environment's, and never read the record.
//
// # The lock
//
// leader.mu guards every component and the planner; no component has a lock. Handlers of
// calls, events and ticks take it, methods of components expect it to be held. What
// is immutable in a term (type term) needs no lock.
//
// The record's lock comes before leader.mu, since the record calls handleEvent under
// its own. So nothing that holds leader.mu may read the record or propose a command.
package scheduler
