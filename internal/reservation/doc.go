// Package reservation computes the standing bookings of a configuration, which reserve
// capacity for a queue ahead of an event.
//
//   - [Windows] lists the time windows of a booking's schedule, with the lead before
//     each of them from which on its slots are reserved.
//   - [Check] is the admission check of a configuration: it finds the bookings that do
//     not fit onto the registered workers together.
//
// It owns neither the schedules (api.Schedule says where starts are, and what becomes
// of them where local time jumps) nor the reserved slots on workers, which package
// placement has. It is pure: it does no I/O and reads no clock; the same arguments give
// the same results.
//
// # Terms
//
// A booking asks for a number of slots of equal size; api.BookingConfig.Slice is the
// resources of one slot. A window is one occurrence of a booking.
package reservation
