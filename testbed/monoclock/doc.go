// Package monoclock reads CLOCK_MONOTONIC in nanoseconds. All processes on one
// machine share this clock, so unlike the monotonic part of a time.Time, its
// readings can be compared between processes.
package monoclock
