// Package placement decides which worker runs which task. It is deterministic: it does no
// input or output, reads no clock and starts no goroutine, so the same calls give the
// same decisions. It is not the source of truth: it caches what the record states about
// workers and tasks, and the record checks each decision again when it is applied.
//
// An Engine is not safe for concurrent use; the scheduler's leader calls it while holding
// its lock. The cost of a pass depends on what changed since the last pass, not on the
// number of waiting tasks.
//
// Structure. The Engine is composed of one type per concern, each in a file of its own. A
// type owns its state: other types change it only through its methods, and each type gets
// references only to the types that it calls.
//
//   - backlog: waiting tasks by priority, queue and class; active or unschedulable
//   - classIndex: equivalence classes of waiting tasks
//   - runTable, stepTable: open and nominated runs, and counts per step for spread
//   - workerIndex: free capacity of workers, and pools ordered by free capacity
//   - targetFinder: which workers are feasible (Filter) and which is best (Score)
//   - preferredReserve: the share of a preferred worker that other tasks leave free
//   - reservationTable: windows, their slots and the profile of free capacity
//   - preemptor, nominationList: which runs are preempted, and for which tasks
//   - gangDrainer: capacity drained for a gang that found too little for a long time
//   - backfillReservations: workers reserved for tasks that other tasks must not delay
//
// The packages below this one hold what needs none of the types above: queues, teams and
// fair share, resource arithmetic, which workers could ever hold a task, utilization by
// service, and labels preferred recently.
//
// Equivalence classes. Waiting tasks of the same shape share a class (as in Borg). Once a
// pass found no worker for a class, the class is unschedulable: passes skip it until a
// worker changed on which it might fit. Preferences are not part of the shape, so that
// there are few classes. The one exception is the locality wait: the preferred labels are
// part of the shape until the caller adds the task again without WaitsForPreferred.
//
// Choice of a worker. Best fit ("fill the fullest"): of the workers on which a task fits,
// the one with the least free capacity takes it, so that large holes remain for large
// tasks. Preferences are weighed before free capacity and never make a task wait, except
// for the locality wait. A task of a queue with headroom leaves part of a worker free,
// and waits for such a worker while its service is highly utilized. A task that runs
// until cancelled takes any free capacity as a last resort.
//
// Reservations. Slots take capacity from the start of their window to its end, whether
// used or not. Pending slots are assigned before anything else is placed; a slot moves
// when its worker can no longer hold it.
//
// Preemption. A task for which a slot is reserved may preempt runs of any priority to get
// the capacity of the slot; other tasks and gangs may preempt only runs of a lower
// priority. Only preemptible runs are preempted, and never those in slots. The preempting
// task or gang is then nominated: its targets are promised, it counts as running for
// limits and fair share, and it is placed once the preempted runs were released.
//
// Gangs. Either all members are placed in one pass or none is. For a gang that found too
// little capacity for gangDrainAfterPasses passes, capacity is drained: members get their
// targets one by one as capacity is released. Capacity is drained for one gang at a time.
//
// Deference and backfill. A queue that defers is served after the queues to which it
// defers. Meanwhile, tasks ordered after a task that found no worker do not use the
// worker that is expected to have the capacity for that task first (EASY backfilling).
//
// Invariants, checked by the property tests: resources are never allocated twice and
// never lost; limits, spread rules, labels and reserved slots hold for every decision; no
// task waits while there is free capacity that it could use, except for capacity that
// another concern reserves.
package placement
