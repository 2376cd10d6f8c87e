// Package featuregate names the policies of placement and scheduling that an
// experiment may disable one by one, to measure what each is worth (an ablation). It is
// the one place that lists them. docs/notes/ablation.md has the experiments.
//
// All features are enabled unless the setting experiment.off of a scheduler names
// them. The texts of the names are part of that setting and must not change.
//
// # Invariant
//
// No guarantee rests on a feature: leases, fencing tokens, the ready gate, syncs and
// the checks at commit cannot be disabled. Features decide only what the scheduler
// prefers, so that every set of disabled features keeps all guarantees.
package featuregate
