// Package fairshare counts the open runs of queues and teams against their limits and
// shares, and determines which queue is furthest below its share.
//
// Sharing is weighted max-min fairness over one resource, the number of open runs: the
// queue with the lowest running/weight is served next. Limits of queues and teams bound
// the number of open runs; work that exceeds a limit waits here until a run ends or a
// rule changes.
//
// A Table owns queues and teams. It creates them when they are first named and never
// drops them: their number is bounded by the names in the configuration. It knows neither
// tasks nor workers, and is not safe for concurrent use.
package fairshare
