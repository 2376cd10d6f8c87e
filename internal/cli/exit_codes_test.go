package cli

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestRun_ExitCodeFollowsAnswer(t *testing.T) {
	const submit = "PUT /v1/jobs/j"
	field := api.FieldError{Field: "steps[0].name", Value: "", Expected: "a name"}
	cases := []struct {
		name      string
		replies   map[string][]reply
		arguments string
		code      int
		err       string
	}{
		{"accepted", map[string][]reply{submit: {{status: 201, body: api.SubmitAnswer{ID: "j", Created: true}}}}, "job submit - --id j", ExitOK, ""},
		{"invalid", map[string][]reply{submit: {refusalReply(422, api.CodeInvalid, field)}}, "job submit - --id j", ExitRefused, "decklever: submit job j: invalid: because\n  steps[0].name is \"\", expected a name\n"},
		{"conflict", map[string][]reply{submit: {refusalReply(409, api.CodeConflict)}}, "job submit - --id j", ExitRefused, "decklever: submit job j: conflict: because\n"},
		{"over a limit", map[string][]reply{submit: {refusalReply(429, api.CodeOverLimit)}}, "job submit - --id j", ExitRefused, "decklever: submit job j: over_limit: because\n"},
		{"internal", map[string][]reply{submit: {refusalReply(500, api.CodeInternal)}}, "job submit - --id j", ExitFailed, "decklever: submit job j: internal: because\n"},
		{"not a front", map[string][]reply{submit: {{status: 404}}}, "job submit - --id j", ExitFailed, "decklever: submit job j: internal: answer 404 Not Found without a reason\n"},
		{"unavailable", map[string][]reply{submit: {unavailableReply(api.CodeUnavailable)}}, "job submit - --id j", ExitUnavailable, "decklever: submit job j: unavailable: because (ask again in 10s)\n"},
		{"not found", map[string][]reply{"GET /v1/jobs/j": {refusalReply(404, api.CodeNotFound)}}, "job wait j", ExitRefused, "decklever: wait for job j: not_found: because\n"},
		{"awaited job failed", map[string][]reply{submit: {okReply(api.SubmitAnswer{ID: "j"})}, "GET /v1/jobs/j": {okReply(sampleStatus("running")), okReply(sampleStatus("failed"))}}, "job submit - --id j --wait", ExitJobFailed, "decklever: job j ended failed\n"},
		{"awaited job cancelled", map[string][]reply{"GET /v1/jobs/j": {okReply(sampleStatus("cancelled"))}}, "job wait j", ExitJobFailed, "decklever: job j ended cancelled\n"},
		{"awaited job not ended in time", map[string][]reply{"GET /v1/jobs/j": {okReply(sampleStatus("running"))}}, "job wait j --timeout 1ms", ExitUnavailable, "decklever: job j has not ended; it is running\n"},
		{"status of a failed job", map[string][]reply{"GET /v1/jobs/j": {okReply(sampleStatus("failed"))}}, "job status j", ExitOK, ""},
		{"cancel of an unknown job", map[string][]reply{"POST /v1/jobs/i/cancel": {refusalReply(404, api.CodeNotFound)}}, "job cancel i", ExitRefused, "decklever: cancel job i: not_found: because\n"},
		{"cancel of many, unavailable", map[string][]reply{"POST /v1/cancellations": {unavailableReply(api.CodeUnavailable)}}, "job cancel i j k", ExitUnavailable, "decklever: cancel 3 jobs: unavailable: because (ask again in 10s)\n"},
		{"cancel of an unknown queue", map[string][]reply{"GET /v1/queues": {okReply(api.QueueList{})}, "POST /v1/cancellations": {refusalReply(404, api.CodeNotFound)}}, "job cancel --queue q --yes", ExitRefused, "decklever: cancel the jobs of queue q: not_found: because\n"},
		{"unknown window", map[string][]reply{"POST /v1/bookings/release": {refusalReply(404, api.CodeNotFound)}}, "booking release q/b --start 2026-01-31T15:00:00+01:00", ExitRefused, "decklever: release q/b at 2026-01-31T14:00:00Z: not_found: because\n"},
		{"unknown booking", fleetReplies(), "booking show q/x", ExitRefused, "decklever: there is no booking q/x\n"},
		{"unknown queue", fleetReplies(), "queue show x", ExitRefused, "decklever: there is no queue x\n"},
		{"invalid configuration", map[string][]reply{"POST /v1/config/validate": {refusalReply(422, api.CodeInvalid)}}, "config validate testdata/config.json", ExitRefused, "decklever: validate testdata/config.json: invalid: because\n"},
		{"lost race", map[string][]reply{"PUT /v1/config": {refusalReply(412, api.CodeLostRace)}}, "config apply testdata/config.json --base 0", ExitRefused, "decklever: propose a configuration on version 0: lost_race: because\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := runCommand(t, newFakeFront(t, c.replies), jobFile, strings.Fields(c.arguments)...)
			if got.code != c.code {
				t.Errorf("got exit code %d, want %d; errors: %s", got.code, c.code, got.err)
			}
			assertText(t, "errors", got.err, c.err)
		})
	}
}

func TestRun_WrongUsageSendsNoRequest(t *testing.T) {
	directory := t.TempDir()
	cases := []struct{ arguments, err string }{
		{"jbo", "decklever: unknown command \"jbo\" for \"decklever\"; did you mean job?\n"},
		{"job lst", "decklever: unknown command \"lst\" for \"decklever job\"; did you mean list?\n"},
		{"job status", "decklever: accepts 1 arg(s), received 0\n"},
		{"job status a/b", "decklever: job id \"a/b\", expected 1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-', the first a letter or digit\n"},
		{"job status j --wait 2m", "decklever: --wait is 2m0s, expected 0s to 1m0s\n"},
		{"job list --limit 0", "decklever: --limit is 0, expected 1 to 1000\n"},
		{"job submit -", "decklever: the id of a job is missing; for submit it is given with --id\n"},
		{"job submit " + directory + "/none --id j", "decklever: " + directory + "/none: no such file or directory\n"},
		{"status --wide", "decklever: unknown flag: --wide\n"},
		{"status -o xml", "decklever: --output is \"xml\", expected table, json, yaml\n"},
		{"status --timeout 0s", "decklever: --timeout is 0s, expected a duration above 0\n"},
		{"status --front localhost", "decklever: --front: endpoint \"localhost\" is not a URL such as http://127.1.0.1:7100\n"},
		{"job cancel", "decklever: expected ids of jobs, or --queue NAME --yes\n"},
		{"job cancel i a/b", "decklever: job id \"a/b\", expected 1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-', the first a letter or digit\n"},
		{"job cancel --queue q", "decklever: --queue q cancels all its jobs; say --yes as well if that is meant\n"},
		{"job cancel j --queue q --yes", "decklever: expected either ids of jobs or --queue NAME --yes\n"},
		{"booking list --hours 169", "decklever: --hours is 169, expected 1 to 168\n"},
		{"booking show opening", "decklever: booking \"opening\", expected QUEUE/NAME, such as swaps/opening\n"},
		{"booking release q/b", "decklever: --start is \"\", expected a time such as 2026-01-31T14:00:00Z\n"},
		{"queue show q --jobs 101", "decklever: --jobs is 101, expected 0 to 100\n"},
		{"timeline --by zone", "decklever: --by is \"zone\", expected worker or queue\n"},
		{"timeline --width 59", "decklever: --width is 59, expected 60 to 1000\n"},
		{"timeline --svg a --png b", "decklever: if any flags in the group [svg png] are set none of the others can be; [png svg] were all set\n"},
		{"completion tcsh", "decklever: invalid argument \"tcsh\" for \"decklever completion\"\n"},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			got := runCommand(t, newFakeFront(t, nil), "", strings.Fields(c.arguments)...)
			if got.code != ExitUsage || got.out != "" {
				t.Errorf("%s: got exit code %d and output %q, want exit code 2 and no output", c.arguments, got.code, got.out)
			}
			assertText(t, c.arguments, got.err, c.err)
		})
	}
}
