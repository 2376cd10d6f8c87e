// Package fairshare counts the open runs of queues and teams against their limits
// and shares, and says which queue is furthest below its share.
//
// Sharing is weighted max-min fairness over one resource, the number of open runs: the
// queue with the lowest running/weight goes next. Limits of queues and teams bound what
// runs; what a limit holds back waits here until a run ends or a rule changes.
//
// A Table owns queues and teams, which are made when they are first named and never
// dropped: their number is that of names in the configuration. It knows neither tasks
// nor workers, and is not safe for concurrent use.
package fairshare
