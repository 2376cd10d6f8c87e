package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// ReleaseAnswer is the answer of POST /v1/bookings/release.
type ReleaseAnswer struct {
	// Released is always true: the window's room is given back, by this call or
	// one before it.
	Released bool `json:"released"`
}

// Bookings reads the windows that overlap the time from now to the horizon,
// which counts in whole hours, rounded up, from 1 to MaxBookingHours.
func (c *Client) Bookings(ctx context.Context, horizon time.Duration) (BookingList, error) {
	hours := int64((horizon + time.Hour - 1) / time.Hour)
	var answer BookingList
	err := c.read(ctx, "/v1/bookings?hours="+strconv.FormatInt(hours, 10), &answer)
	return answer, err
}

// ReleaseBooking gives the room of a window back; again, it changes nothing.
// A window that is not known is refused with CodeNotFound.
func (c *Client) ReleaseBooking(ctx context.Context, request ReleaseRequest) error {
	var answer ReleaseAnswer
	return c.post(ctx, "/v1/bookings/release", request, &answer)
}

// CancelJobs cancels many jobs in one call, by id or all of a queue, and
// returns how many it cancelled. After a lost answer the call is sent again;
// what the lost one cancelled does not count then.
func (c *Client) CancelJobs(ctx context.Context, request CancelRequest) (cancelled int, err error) {
	var answer CancelAnswer
	err = c.post(ctx, "/v1/cancellations", request, &answer)
	return answer.Cancelled, err
}

// post makes a POST call that changes something.
func (c *Client) post(ctx context.Context, path string, request, into any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return malformed(fmt.Sprintf("the request has no JSON form: %v", err))
	}
	err = c.do(ctx, clientCall{method: http.MethodPost, path: path, body: body, effect: true}, into)
	return err
}
