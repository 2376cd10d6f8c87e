package front

import (
	"context"
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
)

// maxCancelBytes bounds the body of a cancellation. As many ids as allowed, of the greatest
// length, fit.
const maxCancelBytes = 2 << 20

// cancelJobs serves POST /v1/cancellations.
func (f *Front) cancelJobs(writer http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	cancel, refusal := readBody[api.CancelRequest](writer, request, maxCancelBytes)
	if refusal != nil {
		return 0, nil, refusal
	}
	answer, refusal := f.CancelMany(request.Context(), cancel)
	return http.StatusOK, answer, refusal
}

// CancelMany cancels jobs by id or queue. It is idempotent.
func (f *Front) CancelMany(ctx context.Context, cancel api.CancelRequest) (api.CancelAnswer, *api.Error) {
	if fields := api.ValidateCancel(&cancel); len(fields) > 0 {
		return api.CancelAnswer{}, httpjson.Invalid("cancellation", fields)
	}
	answer, refusal := change[protocol.CancelManyAnswer](ctx, f, protocol.MethodCancelMany, protocol.CancelManyRequest{Cancel: cancel})
	return answer.Answer, refusal
}
