// Package report turns what a run observed, which is the call log and the workers'
// event logs, into one summary: counts, delays and gaps in service,
// for programs as JSON and for people as text. It judges nothing; package
// checker does.
package report
