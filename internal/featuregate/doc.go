// Package featuregate lists the policies of placement and scheduling that an
// experiment may disable one by one, to measure the effect of each (an ablation). They
// are listed nowhere else. docs/notes/ablation.md describes the experiments.
//
// All features are enabled unless the setting experiment.off of a scheduler names
// them. The names are part of that setting and must not change.
//
// # Invariant
//
// No guarantee depends on a feature: leases, fencing tokens, the ready gate, syncs and
// the checks at commit cannot be disabled. Features affect only what the scheduler
// prefers, so that all guarantees hold with any set of features disabled.
package featuregate
