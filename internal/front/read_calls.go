package front

import (
	"context"
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// Workers lists the registered workers.
func (f *Front) Workers(ctx context.Context) (api.WorkerList, *api.Error) {
	answer, refusal := relayRead[protocol.WorkersAnswer](ctx, f, protocol.MethodWorkers, protocol.Empty{})
	answer.List.Workers = nonNilSlice(answer.List.Workers)
	return answer.List, refusal
}

// Members lists the schedulers.
func (f *Front) Members(ctx context.Context) (api.MemberList, *api.Error) {
	answer, refusal := relayRead[protocol.MembersAnswer](ctx, f, protocol.MethodMembers, protocol.Empty{})
	answer.List.Members = nonNilSlice(answer.List.Members)
	return answer.List, refusal
}

// Queues lists the queues.
func (f *Front) Queues(ctx context.Context) (api.QueueList, *api.Error) {
	answer, refusal := relayRead[protocol.QueuesAnswer](ctx, f, protocol.MethodQueues, protocol.Empty{})
	answer.List.Queues = nonNilSlice(answer.List.Queues)
	return answer.List, refusal
}

// queue serves GET /v1/queues/{queue}.
func (f *Front) queue(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	status, refusal := f.Queue(request.Context(), pathValue(request, "queue"))
	return http.StatusOK, status, refusal
}

// Queue returns the status of one queue, or a 404 error if the queue is not in the
// configuration in force.
func (f *Front) Queue(ctx context.Context, name string) (api.QueueStatus, *api.Error) {
	answer, refusal := relayRead[protocol.QueueAnswer](ctx, f, protocol.MethodQueue, protocol.QueueRequest{Name: name})
	return answer.Status, refusal
}
