// Package feasibility describes workers and decides which of them could hold a task
// when empty, by service, labels, spread domain and capacity.
//
// It does not consider runs: package placement decides whether a task fits beside
// the open runs. Its functions are pure. The texts that they return are shown to users
// as the reason why a task waits or a job is rejected.
package feasibility
