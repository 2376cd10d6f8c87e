// Package report summarizes the call log and the workers' event logs of a run:
// counts, delays and gaps in service, as JSON for programs and as text for people.
// It does not check promises; package checker does.
package report
