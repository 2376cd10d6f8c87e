package front

import (
	"context"
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
)

// maxCancelBytes limits the body of a cancellation. It is large enough for
// api.MaxCancelledJobs ids of the maximum length.
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

// CancelMany cancels jobs, either by id or all jobs of a queue. It is idempotent. Jobs of a
// queue that are accepted after the call began are never cancelled, so that an attempt which
// reaches a leader late does no harm.
func (f *Front) CancelMany(ctx context.Context, cancel api.CancelRequest) (api.CancelAnswer, *api.Error) {
	if fields := api.ValidateCancel(&cancel); len(fields) > 0 {
		return api.CancelAnswer{}, httpjson.Invalid("cancellation", fields)
	}
	if cancel.Queue != "" && cancel.SubmittedUntil == nil {
		queues, refusal := f.Queues(ctx)
		if refusal != nil {
			return api.CancelAnswer{}, refusal
		}
		cancel.SubmittedUntil = queues.AsOf
	}
	answer, refusal := relayMutation[protocol.CancelManyAnswer](ctx, f, protocol.MethodCancelMany, protocol.CancelManyRequest{Cancel: cancel})
	return answer.Answer, refusal
}
