// Package eventlog reads the event logs to which workers write each actual start and
// end of a run, one JSON object per line. A worker's settings call this file its
// journal.
//
// The checker takes the event logs as the record of what really ran. The product never
// reads them, and this package never writes one.
package eventlog
