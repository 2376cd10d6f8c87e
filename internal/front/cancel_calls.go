package front

import (
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
)

// maxCancelBytes bounds the body of a cancellation; the most ids of the
// greatest length fit.
const maxCancelBytes = 2 << 20

// cancelJobs serves POST /v1/cancellations.
func (f *Front) cancelJobs(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	var cancel api.CancelRequest
	if refusal := api.DecodeStrict(http.MaxBytesReader(writer, request.Body, maxCancelBytes), &cancel); refusal != nil {
		return 0, nil, refusal
	}
	if fields := api.ValidateCancel(&cancel); len(fields) > 0 {
		return 0, nil, invalid("cancellation", fields)
	}
	answer, refusal := relay[fleet.CancelManyRequest, fleet.CancelManyAnswer](request.Context(), f, relayCall[fleet.CancelManyRequest]{
		method:  fleet.MethodCancelMany,
		request: fleet.CancelManyRequest{Cancel: cancel},
		effect:  true,
	})
	return http.StatusOK, answer.Answer, refusal
}
