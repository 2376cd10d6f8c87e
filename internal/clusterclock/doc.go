// Package clusterclock computes the cluster time that timed starts, reservations
// and retry delays use: the median of the voters' wall clocks, extrapolated on
// the leader's monotonic clock. It never goes back. The package is pure
// arithmetic: all readings and times are passed in, and it must not read a clock.
//
// A jump of a single machine's wall clock does not move cluster time: of three
// readings the median stays with the two that agree. When only two of three voters
// respond and their clocks differ, neither has a majority. The reading nearer to
// the extrapolated time is then used, so that a jump in either direction is still
// ignored; if no time was ever logged, the lower reading is used, since a late
// start is preferred to an early one.
//
// A new leader continues from the latest time in the log. Cluster time does not
// advance while there is no leader, so it can be behind when a term begins: the
// first median of the term may step it forward. After that the clock is slewed:
// forward by a tenth of the elapsed time or by a tenth of the gap per second,
// whichever is more, so that even a large gap closes within about a minute; and at
// half speed while the median is behind. It never goes back, so a start that was
// due stays due.
//
// A reading that was delayed by the network makes a voter's clock appear behind,
// never ahead: such errors start tasks late, not early.
package clusterclock
