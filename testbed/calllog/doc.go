// Package calllog holds what callers and operators saw: each request, its
// answer, and when both happened, and the faults that the test bed injected.
//
// A Log is append-only. It stands in memory for the checker and in a file of
// JSON lines for people. It never interprets an entry; package checker does.
package calllog
