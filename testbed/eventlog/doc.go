// Package eventlog reads the event logs in which workers write each actual start
// and end of a run, one JSON object a line; a worker's settings call such a file
// its journal.
//
// An event log is the checker's proof of what really ran; the product never
// reads it, and this package never writes one.
package eventlog
