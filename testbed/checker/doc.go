// Package checker compares the answers that callers received (package calllog) with
// what workers ran (package eventlog) and reports each violation of a promise of
// docs/DESIGN.md.
//
// Its functions are pure: they do no I/O, read no clock, and use nothing that the
// product reports about its own correctness. The same history always has the same
// verdict; testdata/histories.jsonl holds histories with the verdicts of earlier
// versions.
package checker
