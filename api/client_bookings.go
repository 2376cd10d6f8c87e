package api

import (
	"context"
	"strconv"
	"time"
)

// Bookings returns the windows that overlap the time from now until the horizon
// has passed. The horizon is rounded up to hours and must then be 1 to
// MaxBookingHours.
func (c *Client) Bookings(ctx context.Context, horizon time.Duration) (BookingList, error) {
	hours := int64((horizon + time.Hour - 1) / time.Hour)
	var answer BookingList
	err := c.get(ctx, "/v1/bookings?hours="+strconv.FormatInt(hours, 10), &answer)
	return answer, err
}

// ReleaseBooking releases the capacity of a window early. It is idempotent.
// It returns an error with CodeNotFound if the window is unknown.
func (c *Client) ReleaseBooking(ctx context.Context, request ReleaseRequest) error {
	var answer ReleaseAnswer
	return c.post(ctx, "/v1/bookings/release", request, &answer)
}
