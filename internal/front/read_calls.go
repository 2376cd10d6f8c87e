package front

import (
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
)

// read relays a call that changes nothing and has no parameters.
func read[Answer any](request *http.Request, f *Front, method fleet.Method) (Answer, *api.Error) {
	return relay[fleet.Empty, Answer](request.Context(), f, relayCall[fleet.Empty]{method: method})
}

// workers serves GET /v1/workers.
func (f *Front) workers(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	answer, refusal := read[fleet.WorkersAnswer](request, f, fleet.MethodWorkers)
	answer.List.Workers = listOf(answer.List.Workers)
	return http.StatusOK, answer.List, refusal
}

// members serves GET /v1/members.
func (f *Front) members(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	answer, refusal := read[fleet.MembersAnswer](request, f, fleet.MethodMembers)
	answer.List.Members = listOf(answer.List.Members)
	return http.StatusOK, answer.List, refusal
}

// queues serves GET /v1/queues.
func (f *Front) queues(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	answer, refusal := read[fleet.QueuesAnswer](request, f, fleet.MethodQueues)
	answer.List.Queues = listOf(answer.List.Queues)
	return http.StatusOK, answer.List, refusal
}
