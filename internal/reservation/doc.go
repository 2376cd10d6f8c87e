// Package reservation works out standing bookings: the windows that a schedule
// gives in a time zone, and whether the bookings of a configuration fit the
// registered room together. It is pure. Starts, and what becomes of them where
// local time jumps, are the business of api.Schedule.
package reservation
