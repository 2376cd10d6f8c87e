// Package report turns what a run observed, which is the callers' ledger and
// the workers' journals, into one summary: counts, delays and gaps in service,
// for programs as JSON and for people as text. It judges nothing; package check
// does.
package report
