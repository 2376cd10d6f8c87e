// Package monoclock reads the clock that all observers on one machine share:
// CLOCK_MONOTONIC, in nanoseconds. Unlike the monotonic part of a time.Time,
// its readings can be compared between processes.
package monoclock
