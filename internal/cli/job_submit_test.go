package cli

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func TestJobSubmit_SendsFile(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{"PUT /v1/jobs/j:1": {okReply(api.SubmitAnswer{ID: "j:1"})}})
	got := runCommand(t, front, "", "job", "submit", writeFile(t, "job.yaml", jobFile), "--id", "j:1")
	assertText(t, "output", got.out+got.err, "job j:1 had been accepted before\n")
	want := `{"queue":"q","steps":[{"name":"a","tasks":[{"service":"s","resources":{"cpu_millis":1},"max_duration":"5s"}]}]}`
	assertText(t, "body", front.requestsTo("PUT /v1/jobs/j:1")[0].body, want)
}
