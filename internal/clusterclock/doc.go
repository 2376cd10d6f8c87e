// Package clusterclock computes the cluster time: the lower median of the
// voters' wall clocks, carried forward on the monotonic clock and never
// backward. One machine's clock jump moves nothing. It is pure: every reading
// is an argument.
package clusterclock
