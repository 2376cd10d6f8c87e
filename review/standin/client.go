package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Names of the one service and the routes of the configuration.
const (
	service = "dahu75a"
	host    = "noje8.example"
	prefix  = "/nyka740/"
	urgent  = "/nyka741/"
)

// step is a step of a job as PROTOCOL.md says.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMb        int    `json:"memMb,omitempty"`
	EstimateMs   int    `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// putConfig sends the first configuration, as the operator does, until it is taken.
func (f *fleet) putConfig(attempts int) error {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetMs": 4000, "priority": priority, "service": service, "attempts": attempts, "extend": 1.5,
		}
	}
	body, err := json.Marshal(map[string]any{
		"version":  3,
		"routes":   []any{route("r-a3hwrr6", prefix, 0), route("r-i9n73hh", urgent, 0)},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "rejectsOverload": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	last := ""
	taken := func() bool {
		for _, m := range f.schedulers {
			request, err := http.NewRequest(http.MethodPost, "http://"+m.outside+"/-/Config.Put", bytes.NewReader(body))
			if err != nil {
				return false
			}
			request.Header.Set("Base-Version", "0")
			request.Header.Set("Content-Type", "application/json")
			response, err := f.operator.Do(request)
			if err != nil {
				last = err.Error()
				continue
			}
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			last = fmt.Sprint(response.StatusCode, " ", string(text))
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		return false
	}
	if !waitFor(20*time.Second, taken) {
		return errors.New("the first configuration was not taken: " + last)
	}
	f.record.add("operator: configuration 3 is acknowledged")
	return nil
}

// clientCalls are the calls of one client, each over a connection of its own choice.
var clientCalls = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// call makes one call of a client to a front and returns the status (0: no answer) and the
// body.
func call(front *machine, method, path string, body []byte, limit time.Duration) (int, string) {
	request, err := http.NewRequest(method, "http://"+front.outside+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	client := *clientCalls
	client.Timeout = limit
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in, and again with the same ID at another front after silence, 502 or
// 504, and as a new try after 429 or 503, until it is accepted or the time is over.
func (f *fleet) submit(prefix, id string, job job, limit time.Duration) bool {
	body, err := json.Marshal(job)
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		front := f.fronts[rand.IntN(len(f.fronts))]
		status, text := call(front, http.MethodPost, prefix+id, body, 3*time.Second)
		tasks := 0
		for _, step := range job.Steps {
			tasks += step.Count
		}
		f.record.add("client: POST %s%s (%d tasks, spec of %d bytes) at %s -> %d %s", prefix, id, tasks, len(job.Spec), front.name, status, text)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// state asks one front for the state of a job.
func (f *fleet) state(front *machine, prefix, id string) (int, string) {
	status, text := call(front, http.MethodGet, prefix+id, nil, 3*time.Second)
	if status != http.StatusOK {
		return status, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(text), &answer) != nil {
		return status, "unreadable"
	}
	return status, answer.State
}

// newID returns the ID of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
