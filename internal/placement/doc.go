// Package placement decides which worker runs which task. It is pure: no input or
// output, no clock, no goroutine, and the same calls give the same decisions. It is no
// source of truth: it caches what the record says of workers and tasks, and the record
// checks each decision again when it is applied.
//
// An Engine is not safe for concurrent use; the scheduler's leader calls it under its
// lock. Its cost follows what changed since the last pass, not what waits.
//
// Concerns. The Engine composes one type for each concern, in a file of that concern. A
// type owns its state: others change it through its methods alone, and it is given only
// those others that it calls.
//
//   - backlog: what waits, by priority, queue and class; active or unschedulable
//   - classIndex: equivalence classes of waiting tasks
//   - runTable, stepTable: open and nominated runs, and counts of steps for spread
//   - workerIndex: what is free on workers, and pools in the order of fullness
//   - targetFinder: which workers are feasible (Filter) and which is best (Score)
//   - preferredReserve: what others leave free on workers that tasks prefer
//   - reservationTable: windows, their slots and the profile of free capacity
//   - preemptor, nominationList: which runs make way, and for whom
//   - gangDrainer: capacity drained for a gang that found too little for long
//   - backfillReservations: workers reserved for tasks that others must not delay
//
// Packages below hold what needs none of these: queues, teams and fair share,
// arithmetic on resources, what could ever hold a task, utilization by service, and
// labels preferred lately.
//
// Equivalence classes. Waiting tasks of the same shape share a class (as in Borg). Once
// a pass found no worker for a class, the class is unschedulable: it is skipped until a
// worker changed on which it might fit. What a task prefers is no part of its shape, so
// that classes stay few; the one exception is a task that waits for what it prefers
// (locality wait), for as long as whoever added it lets it.
//
// Choice. Best fit, "fill the fullest": of the workers on which a task fits, the one
// with the least free takes it, so that large holes stay for large tasks. Preferences
// are weighed before fullness and never make a task wait, but for the locality wait. A
// task of a queue with headroom leaves part of a worker free, and waits for that while its
// service is highly utilized. A task that runs until cancelled takes as a last resort
// whatever capacity there is.
//
// Reservations. Slots take capacity from the start of their window to its end, used or
// not. Pending slots are assigned before anything else is placed; they move when their
// worker cannot hold them any more.
//
// Preemption. A task for which a slot is reserved takes the slot's capacity from
// preemptible runs of any priority; other tasks and gangs take it from preemptible runs
// of a lower priority. The task is then nominated: its target is promised, it counts as
// running for limits and fair share, and it is placed once the runs asked to stop were
// released. Runs in slots are never victims.
//
// Gangs. All members are placed in one pass or none is. For a gang that found too little
// for gangDrainAfterPasses, capacity is drained: members get their targets one by one as
// capacity comes free, for one gang at a time.
//
// Deference and backfill. A queue that defers goes after those to which it does.
// Meanwhile what goes after a task that found no worker leaves alone the worker that is
// expected to have the capacity first (EASY backfilling).
//
// Invariants, which the property tests check: resources are never taken twice nor lost;
// limits, spread rules, labels and reserved slots hold for every decision; nothing waits
// beside capacity that it could use, but for what other concerns reserve.
package placement
