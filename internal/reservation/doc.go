// Package reservation evaluates the recurring bookings of a configuration, which reserve
// capacity for a queue ahead of an event.
//
//   - [Windows] lists the time windows of a booking's schedule. Each window's slots are
//     reserved from its lead time on, which precedes its start.
//   - [Check] is the admission check of a configuration: it finds the bookings whose
//     slots do not fit onto the registered workers together.
//
// Two related things belong to other packages: api.Schedule computes the starts, also
// across changes of local time, and package placement manages the reserved slots on
// workers. This package is pure: it does no I/O and reads no clock; the same arguments
// give the same results.
//
// # Terms
//
// A booking asks for a number of slots of equal size; api.BookingConfig.Slice is the
// resources of one slot. A window is one occurrence of a booking. Its lead is the time
// before its start during which its slots are already reserved.
package reservation
