package api

import (
	"context"
	"strconv"
	"time"
)

// Bookings reads the windows that overlap the time from now to the horizon,
// which is rounded up to whole hours, 1 to MaxBookingHours.
func (c *Client) Bookings(ctx context.Context, horizon time.Duration) (BookingList, error) {
	hours := int64((horizon + time.Hour - 1) / time.Hour)
	var answer BookingList
	err := c.get(ctx, "/v1/bookings?hours="+strconv.FormatInt(hours, 10), &answer)
	return answer, err
}

// ReleaseBooking releases the capacity of a window early. It is idempotent.
// An unknown window is an error with CodeNotFound.
func (c *Client) ReleaseBooking(ctx context.Context, request ReleaseRequest) error {
	var answer ReleaseAnswer
	return c.post(ctx, "/v1/bookings/release", request, &answer)
}
