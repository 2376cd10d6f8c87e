// Package clusterclock computes the cluster time that timed starts, reservations
// and retry delays use: the median of the voters' wall clocks, extrapolated on
// the leader's monotonic clock, never backward. It is pure arithmetic; all
// readings and times are passed in. It must not read a clock.
//
// The wall clock of one machine alone moves nothing: of three readings the median
// stays with the two that agree. When only two of three voters respond, there is
// no majority among the clocks; then the one nearer to the extrapolated time
// counts, so that a jump in either direction is still ignored, and the lower one
// if no time was ever logged (late rather than early).
//
// A new leader continues from the latest time in the log. The first median of a
// term may step the clock forward, since nobody counted while there was no
// leader. Later the clock is slewed: forward by a tenth of the passing time or by
// a tenth of the gap a second, whichever is more, so that even a large gap closes
// within a minute or so; and at half speed while the median is behind. It never
// goes back, so no start that was due becomes not due.
//
// A reading that was long on the network makes a voter look behind, never ahead:
// such errors start tasks late, not early.
package clusterclock
