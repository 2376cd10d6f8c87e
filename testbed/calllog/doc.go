// Package calllog records what callers and operators observed (each request, its
// answer and the times of both) and the faults that the test bed injected.
//
// A Log is append-only. It is held in memory for the checker and written to a file
// of JSON lines for people. It never interprets an entry; package checker does.
package calllog
