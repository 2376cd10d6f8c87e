// Package feasibility describes workers and says which of them could ever hold a
// task: by service, labels, spread domain and capacity.
//
// It knows nothing of runs: whether a task fits beside what runs now is for
// package placement. It is pure, and the texts that it returns are shown to users
// as the reason why a task waits or a job is rejected.
package feasibility
