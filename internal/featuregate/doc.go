// Package featuregate names the policies of placement and scheduling that an experiment
// may switch off, one by one, to measure what each is worth (an ablation). It is the
// one place that lists them.
//
// Nothing that a promise rests on is among them: holds, leases, fencing tokens, the
// ready gate, syncs and the checks at commit cannot be switched off. What is off is
// only what the scheduler prefers, so that every mix of mechanisms keeps all promises.
package featuregate
