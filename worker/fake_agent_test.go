package worker

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
)

// fakeAgent is an in-memory agent and leader, used as the HTTP transport of the
// worker. It sends each order once and acknowledges a reported run in the answer
// to that report. The mutex guards all fields.
type fakeAgent struct {
	mutex        sync.Mutex
	orders       []api.StartOrder
	stops        []api.RunRef
	down         bool
	delay        time.Duration
	heartbeats   []api.Heartbeat
	sentAt       []time.Time
	inFlight     int
	overlapped   bool
	acknowledged []api.EndedRun
}

func (f *fakeAgent) RoundTrip(request *http.Request) (*http.Response, error) {
	var heartbeat api.Heartbeat
	if err := json.NewDecoder(request.Body).Decode(&heartbeat); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	f.inFlight++
	f.overlapped = f.overlapped || f.inFlight > 1
	f.heartbeats = append(f.heartbeats, heartbeat)
	f.sentAt = append(f.sentAt, time.Now())
	down, late := f.down, f.delay
	f.mutex.Unlock()
	defer f.set(func() { f.inFlight-- })
	select {
	case <-time.After(late):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	if down {
		return newResponse(http.StatusServiceUnavailable, api.Error{Code: api.CodeUnavailable, Message: "down"})
	}
	return newResponse(http.StatusOK, f.answer(heartbeat))
}

func (f *fakeAgent) answer(heartbeat api.Heartbeat) api.HeartbeatAnswer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	answer := answerTo(heartbeat, 1, f.orders...)
	answer.Stop = f.stops
	f.orders = nil
	for _, ended := range heartbeat.Ended {
		f.acknowledged = append(f.acknowledged, ended)
		answer.Acknowledged = append(answer.Acknowledged, ended.RunRef)
	}
	return answer
}

func newResponse(status int, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(bytes.NewReader(data))}, nil
}

func (f *fakeAgent) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}
