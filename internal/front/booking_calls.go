package front

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// defaultBookingHours is how far ahead bookings are listed by default, in hours.
	defaultBookingHours = 24
	// maxReleaseBytes limits the body of a release.
	maxReleaseBytes = 16 << 10
)

// bookings serves GET /v1/bookings.
func (f *Front) bookings(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	horizon, refusal := parseHorizon(request.URL.Query())
	if refusal != nil {
		return 0, nil, refusal
	}
	list, refusal := f.Bookings(request.Context(), horizon)
	return http.StatusOK, list, refusal
}

// Bookings lists the booking windows that overlap the time from now until horizon from now.
func (f *Front) Bookings(ctx context.Context, horizon time.Duration) (api.BookingList, *api.Error) {
	answer, refusal := relayRead[protocol.BookingsAnswer](ctx, f, protocol.MethodBookings, protocol.BookingsRequest{HorizonMillis: horizon.Milliseconds()})
	answer.List.Bookings = nonNilSlice(answer.List.Bookings)
	return answer.List, refusal
}

// releaseBooking serves POST /v1/bookings/release.
func (f *Front) releaseBooking(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	release, refusal := readBody[api.ReleaseRequest](writer, request, maxReleaseBytes)
	if refusal != nil {
		return 0, nil, refusal
	}
	answer, refusal := f.ReleaseBooking(request.Context(), release)
	return http.StatusOK, answer, refusal
}

// ReleaseBooking releases the reserved slots of a booking window.
func (f *Front) ReleaseBooking(ctx context.Context, release api.ReleaseRequest) (api.ReleaseAnswer, *api.Error) {
	if fields := api.ValidateRelease(&release); len(fields) > 0 {
		return api.ReleaseAnswer{}, httpjson.Invalid("release", fields)
	}
	_, refusal := relayMutation[protocol.Empty](ctx, f, protocol.MethodRelease, protocol.ReleaseRequest{Release: release})
	return api.ReleaseAnswer{Released: true}, refusal
}

// parseHorizon parses the parameter "hours". Default: defaultBookingHours.
func parseHorizon(values url.Values) (time.Duration, *api.Error) {
	text := values.Get("hours")
	if text == "" {
		return defaultBookingHours * time.Hour, nil
	}
	hours, err := strconv.Atoi(text)
	if err != nil || hours < 1 || hours > api.MaxBookingHours {
		return 0, malformedField("hours", text, fmt.Sprintf("1 to %d", api.MaxBookingHours))
	}
	return time.Duration(hours) * time.Hour, nil
}
