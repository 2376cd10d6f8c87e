// Package placement decides which worker holds which task. It is pure: no
// input or output, no clock, no goroutine, and the same calls give the same
// decisions.
//
// The Engine keeps its own picture of workers' free room and of waiting
// tasks, fed by small changes, so that the cost of a pass grows with what
// changed. Waiting tasks of the same shape share one class: once a class
// found no worker it is skipped until a change could have made room for it.
//
// The rule of choice is "fill the fullest" (BigV, section 8): of the workers
// where a task fits, the one with the least room left takes it, so that large
// holes stay for large tasks.
//
// Wishes. What a task would rather have of its worker (wishes.go) is weighed
// before fullness among the workers that can take it, and never makes it wait.
// So it is no part of a task's shape. The one exception is a task that waits for what
// it prefers (localitywait.go), for as long as whoever added it lets it.
//
// Room and time. Slices of a reservation take room on their workers from the
// window's start to its end, whether a run uses them or not. A run outside of
// slots is counted against them at each such start (a point) unless it is
// preemptible or surely ended by then (StartedAt + MaxDuration). So work that
// cannot be made to leave stays off the slots, and other work may use their
// room until it is needed. Pending slots are assigned before anything else is
// placed; they move when their worker cannot keep them.
//
// Preemption. A reserved task takes its slot from preemptible runs of any
// priority; other tasks and whole gangs take room from preemptible runs of a
// lower priority. The task is then nominated: its room is promised, it counts
// as running for limits and fairness, and it is placed once the runs asked to
// stop were released. Runs in slots are never victims.
//
// Yielding. A queue that yields goes after those to which it does. Meanwhile what goes
// after a task that found no worker leaves alone the worker that is closest to having it
// (kept.go).
//
// Groups. A gang that found no worker for gangDrainAfterPasses passes gets its places one
// by one as they come free; one gang at a time, and not for long while most room is
// free.
//
// Last room. A task that runs until cancelled takes whatever room there is, also
// what is kept from others (lastroom.go).
package placement
