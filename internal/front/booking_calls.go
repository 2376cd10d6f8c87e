package front

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
)

const (
	// defaultBookingHours is how far ahead bookings are read.
	defaultBookingHours = 24
	// maxReleaseBytes bounds the body of a release.
	maxReleaseBytes = 16 << 10
)

// bookings serves GET /v1/bookings.
func (f *Front) bookings(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	horizon, refusal := horizonOf(request.URL.Query())
	if refusal != nil {
		return 0, nil, refusal
	}
	answer, refusal := relay[fleet.BookingsRequest, fleet.BookingsAnswer](request.Context(), f, relayCall[fleet.BookingsRequest]{
		method:  fleet.MethodBookings,
		request: fleet.BookingsRequest{HorizonMillis: horizon.Milliseconds()},
	})
	answer.List.Bookings = listOf(answer.List.Bookings)
	return http.StatusOK, answer.List, refusal
}

// releaseBooking serves POST /v1/bookings/release.
func (f *Front) releaseBooking(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	var release api.ReleaseRequest
	if refusal := api.DecodeStrict(http.MaxBytesReader(writer, request.Body, maxReleaseBytes), &release); refusal != nil {
		return 0, nil, refusal
	}
	if fields := api.ValidateRelease(&release); len(fields) > 0 {
		return 0, nil, invalid("release", fields)
	}
	_, refusal := relay[fleet.ReleaseRequest, fleet.Empty](request.Context(), f, relayCall[fleet.ReleaseRequest]{
		method:  fleet.MethodRelease,
		request: fleet.ReleaseRequest{Release: release},
		effect:  true,
	})
	return http.StatusOK, api.ReleaseAnswer{Released: true}, refusal
}

// horizonOf reads ?hours=.
func horizonOf(values url.Values) (time.Duration, *api.Error) {
	text := values.Get("hours")
	if text == "" {
		return defaultBookingHours * time.Hour, nil
	}
	hours, err := strconv.Atoi(text)
	if err != nil || hours < 1 || hours > api.MaxBookingHours {
		return 0, malformed("hours", text, fmt.Sprintf("1 to %d", api.MaxBookingHours))
	}
	return time.Duration(hours) * time.Hour, nil
}
