package front

import (
	"context"
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
)

// read relays a call that changes nothing and has no parameters.
func read[Answer any](ctx context.Context, f *Front, method fleet.Method) (Answer, *api.Error) {
	return relay[fleet.Empty, Answer](ctx, f, relayCall[fleet.Empty]{method: method})
}

// workers serves GET /v1/workers.
func (f *Front) workers(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	list, refusal := f.Workers(request.Context())
	return http.StatusOK, list, refusal
}

// Workers lists the registered workers.
func (f *Front) Workers(ctx context.Context) (api.WorkerList, *api.Error) {
	answer, refusal := read[fleet.WorkersAnswer](ctx, f, fleet.MethodWorkers)
	answer.List.Workers = listOf(answer.List.Workers)
	return answer.List, refusal
}

// members serves GET /v1/members.
func (f *Front) members(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	list, refusal := f.Members(request.Context())
	return http.StatusOK, list, refusal
}

// Members lists the schedulers.
func (f *Front) Members(ctx context.Context) (api.MemberList, *api.Error) {
	answer, refusal := read[fleet.MembersAnswer](ctx, f, fleet.MethodMembers)
	answer.List.Members = listOf(answer.List.Members)
	return answer.List, refusal
}

// queues serves GET /v1/queues.
func (f *Front) queues(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	list, refusal := f.Queues(request.Context())
	return http.StatusOK, list, refusal
}

// Queues lists the queues.
func (f *Front) Queues(ctx context.Context) (api.QueueList, *api.Error) {
	answer, refusal := read[fleet.QueuesAnswer](ctx, f, fleet.MethodQueues)
	answer.List.Queues = listOf(answer.List.Queues)
	return answer.List, refusal
}

// queue serves GET /v1/queues/{queue}.
func (f *Front) queue(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	status, refusal := f.Queue(request.Context(), pathValue(request, "queue"))
	return http.StatusOK, status, refusal
}

// Queue reads what one queue holds; one that the configuration in force does
// not have is not found.
func (f *Front) Queue(ctx context.Context, name string) (api.QueueStatus, *api.Error) {
	answer, refusal := relay[fleet.QueueRequest, fleet.QueueAnswer](ctx, f, relayCall[fleet.QueueRequest]{
		method:  fleet.MethodQueue,
		request: fleet.QueueRequest{Name: name},
	})
	return answer.Status, refusal
}
