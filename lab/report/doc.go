// Package report turns what a run observed into one summary, for programs as
// JSON and for people as text.
package report
