// Package ledger keeps what callers and operators saw: each request, its
// answer, and when both happened. It stands in memory for the checker and in a
// file of JSON lines for people. Faults that the lab caused stand in it too.
package ledger
