package cli

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

const jobFile = "queue: q\nsteps:\n  - name: a\n    tasks:\n      - {service: s, resources: {cpu_millis: 1}, max_duration: 5s}\n"

const statusTable = `ID  QUEUE  PRIORITY  STATE      SUBMITTED             ENDED
j   q      5         succeeded  2026-01-31T14:00:00Z  -

TASK   STATE      RUN  FAILURES  WORKER  REASON
j/a/0  succeeded  2    1         w1      -
j/a/1  pending    0    0         -       no room  [2J
`

// fleetReplies answers every reading call.
func fleetReplies() map[string][]reply {
	room := api.Resources{CPUMillis: 8000, MemoryMB: 64}
	return map[string][]reply{
		"GET /v1/jobs/j":          {ok(sampleStatus(api.StateSucceeded))},
		"GET /v1/jobs":            {ok(api.JobList{Jobs: []api.JobSummary{{ID: "j", Queue: "q", State: "running", SubmittedAt: sampleTime, TasksTotal: 2, TasksEnded: 1}}, NextPageToken: "j"}), ok(api.JobList{Jobs: []api.JobSummary{{ID: "k", Queue: "q", State: "failed", SubmittedAt: sampleTime, TasksTotal: 1, TasksEnded: 1}}})},
		"GET /v1/config":          {configAt(7)},
		"GET /v1/config/versions": {ok(api.ConfigVersions{Versions: []api.ConfigVersion{{Version: 7, OrderID: "o", AcceptedAt: sampleTime, Digest: "0123456789abcdef"}}})},
		"GET /v1/config/rollout":  {ok(api.Rollout{Version: 7, Processes: []api.ProcessRollout{{Process: "a1", Role: "agent", Zone: "z1", Version: 6, AgeMillis: 1500}, {Process: "f1", Role: "front", Zone: "z1", Version: 7}}})},
		"GET /v1/workers":         {ok(api.WorkerList{Workers: []api.WorkerStatus{{Name: "w1", Zone: "z1", State: api.WorkerReady, Capacity: room, Services: []string{"s", "t"}, Runs: 1}, {Name: "w2", Zone: "z2", State: api.WorkerLost, SilentMillis: 9000, Reason: "r"}}})},
		"GET /v1/members":         {ok(api.MemberList{Token: 3, CommitIndex: 9, Members: []api.MemberStatus{{ReplicaID: "ff", Name: "s1", Zone: "z1", Address: "127.1.0.1:1", Leader: true, Voter: true, Matched: 9}}})},
		"GET /v1/bookings":        {ok(sampleBookings())},
		"GET /v1/drains":          {ok(api.DrainList{Zones: []api.ZoneDrain{{Zone: "z3", Drained: true}}})},
		"GET /v1/queues":          {ok(api.QueueList{Queues: []api.QueueStatus{{Name: "q", Jobs: 4, WaitingJobs: 1, Pending: 2, Running: 3}}})},
	}
}

func TestReadingCommandsPrintTables(t *testing.T) {
	const members = "NAME  ZONE  ADDRESS      REPLICA  LEADER  VOTER  MATCHED  SILENT\ns1    z1    127.1.0.1:1  ff       yes     yes    9        0s\n"
	const queues = "QUEUE  JOBS  WAITING JOBS  PENDING TASKS  RUNNING TASKS\nq      4     1             2              3\n"
	const jobs = "ID  QUEUE  STATE    TASKS ENDED  SUBMITTED\nj   q      running  1/2          2026-01-31T14:00:00Z\n"
	cases := []struct {
		arguments string
		out, err  string
	}{
		{"job status j", statusTable, ""},
		{"job status j --wait 10s", statusTable, ""},
		{"job wait j", statusTable, ""},
		{"job list", jobs, "there are more; go on with --page-token j, or use --all\n"},
		{"job list --all", jobs + "k   q      failed   1/1          2026-01-31T14:00:00Z\n", ""},
		{"config get", "# version 7\nqueues:\n  - name: q\ndrains: {}\nlimits: {}\ntimings: {}\n", ""},
		{"config history", "VERSION  ACCEPTED              ORDER  DIGEST\n7        2026-01-31T14:00:00Z  o      0123456789ab\n", ""},
		{"config rollout", "version 7, roll-out incomplete, 1 of 2 processes behind\n\nPROCESS  ROLE   ZONE  VERSION  AGE\na1       agent  z1    6        1.5s\nf1       front  z1    7        0s\n", ""},
		{"worker list", "NAME  ZONE  STATE  RUNS  CPU MILLIS  MEMORY MB  ACCELERATORS  SILENT  SERVICES  REASON\nw1    z1    ready  1     0/8000      0/64       0/0           0s      s,t       -\nw2    z2    lost   0     0/0         0/0        0/0           9s      -         r\n", ""},
		{"member list", "token 3, committed up to 9\n\n" + members, ""},
		{"queue list", queues, ""},
		{"status", "leader         s1 in z1 (token 3)\nworkers        2 in all, 1 ready, 1 lost\nconfiguration  version 7, roll-out incomplete, 1 of 2 processes behind\n\n" + members + "\n" + queues, ""},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			got := decklever(t, newFakeFront(t, fleetReplies()), "", strings.Fields(c.arguments)...)
			wantText(t, "output", got.out, c.out)
			wantText(t, "errors", got.err, c.err)
			if got.code != ExitOK {
				t.Errorf("exit code %d", got.code)
			}
		})
	}
}

func TestJSONIsTheObjectOfTheAPI(t *testing.T) {
	replies := fleetReplies()
	cases := map[string]any{
		"job status j":   replies["GET /v1/jobs/j"][0].body,
		"config get":     replies["GET /v1/config"][0].body,
		"config history": replies["GET /v1/config/versions"][0].body,
		"config rollout": replies["GET /v1/config/rollout"][0].body,
		"worker list":    replies["GET /v1/workers"][0].body,
		"member list":    replies["GET /v1/members"][0].body,
		"queue list":     replies["GET /v1/queues"][0].body,
		"drains list":    replies["GET /v1/drains"][0].body,
		"booking list":   replies["GET /v1/bookings"][0].body,
		"job list":       replies["GET /v1/jobs"][0].body,
	}
	for arguments, want := range cases {
		got := decklever(t, newFakeFront(t, fleetReplies()), "", append(strings.Fields(arguments), "-o", "json")...)
		wantText(t, arguments, got.out+got.err, jsonOf(want))
	}
	got := decklever(t, newFakeFront(t, fleetReplies()), "", "queue", "list", "-o", "yaml")
	wantText(t, "yaml", got.out, "queues:\n  - name: q\n    jobs: 4\n    waiting_jobs: 1\n    pending_tasks: 2\n    running_tasks: 3\n")
	var whole map[string]json.RawMessage
	got = decklever(t, newFakeFront(t, fleetReplies()), "", "status", "-o", "json")
	if err := json.Unmarshal([]byte(got.out), &whole); err != nil || len(whole) != 4 {
		t.Errorf("status: %v in %s", err, got.out)
	}
}

func TestExitCodes(t *testing.T) {
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
		{"invalid", map[string][]reply{submit: {refusal(422, api.CodeInvalid, field)}}, "job submit - --id j", ExitRefused, "decklever: submit job j: invalid: because\n  steps[0].name is \"\", expected a name\n"},
		{"conflict", map[string][]reply{submit: {refusal(409, api.CodeConflict)}}, "job submit - --id j", ExitRefused, "decklever: submit job j: conflict: because\n"},
		{"over a limit", map[string][]reply{submit: {refusal(429, api.CodeOverLimit)}}, "job submit - --id j", ExitRefused, "decklever: submit job j: over_limit: because\n"},
		{"internal", map[string][]reply{submit: {refusal(500, api.CodeInternal)}}, "job submit - --id j", ExitFailed, "decklever: submit job j: internal: because\n"},
		{"not a front", map[string][]reply{submit: {{status: 404}}}, "job submit - --id j", ExitFailed, "decklever: submit job j: internal: answer 404 Not Found without a reason\n"},
		{"unavailable", map[string][]reply{submit: {refusalLater(api.CodeUnavailable)}}, "job submit - --id j", ExitUnavailable, "decklever: submit job j: unavailable: because (ask again in 10s)\n"},
		{"not found", map[string][]reply{"GET /v1/jobs/j": {refusal(404, api.CodeNotFound)}}, "job wait j", ExitRefused, "decklever: wait for job j: not_found: because\n"},
		{"waited, failed", map[string][]reply{submit: {ok(api.SubmitAnswer{ID: "j"})}, "GET /v1/jobs/j": {ok(sampleStatus("running")), ok(sampleStatus("failed"))}}, "job submit - --id j --wait", ExitJobFailed, "decklever: job j ended failed\n"},
		{"waited, cancelled", map[string][]reply{"GET /v1/jobs/j": {ok(sampleStatus("cancelled"))}}, "job wait j", ExitJobFailed, "decklever: job j ended cancelled\n"},
		{"waited too short", map[string][]reply{"GET /v1/jobs/j": {ok(sampleStatus("running"))}}, "job wait j --timeout 1ms", ExitUnavailable, "decklever: job j has not ended; it is running\n"},
		{"failed job is read", map[string][]reply{"GET /v1/jobs/j": {ok(sampleStatus("failed"))}}, "job status j", ExitOK, ""},
		{"one cancel of an unknown job", map[string][]reply{"POST /v1/jobs/i/cancel": {refusal(404, api.CodeNotFound)}}, "job cancel i", ExitRefused, "decklever: cancel job i: not_found: because\n"},
		{"cancel of many, unavailable", map[string][]reply{"POST /v1/cancellations": {refusalLater(api.CodeUnavailable)}}, "job cancel i j k", ExitUnavailable, "decklever: cancel 3 jobs: unavailable: because (ask again in 10s)\n"},
		{"cancel of an unknown queue", map[string][]reply{"POST /v1/cancellations": {refusal(404, api.CodeNotFound)}}, "job cancel --queue q --yes", ExitRefused, "decklever: cancel the jobs of queue q: not_found: because\n"},
		{"unknown window", map[string][]reply{"POST /v1/bookings/release": {refusal(404, api.CodeNotFound)}}, "booking release q/b --start 2026-01-31T15:00:00+01:00", ExitRefused, "decklever: release q/b at 2026-01-31T14:00:00Z: not_found: because\n"},
		{"unknown booking", fleetReplies(), "booking show q/x", ExitRefused, "decklever: there is no booking q/x\n"},
		{"unknown queue", fleetReplies(), "queue show x", ExitRefused, "decklever: there is no queue x\n"},
		{"invalid configuration", map[string][]reply{"POST /v1/config/validate": {refusal(422, api.CodeInvalid)}}, "config validate testdata/config.json", ExitRefused, "decklever: validate testdata/config.json: invalid: because\n"},
		{"lost race", map[string][]reply{"PUT /v1/config": {refusal(412, api.CodeLostRace)}}, "config apply testdata/config.json --base 0", ExitRefused, "decklever: propose a configuration on version 0: lost_race: because\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := decklever(t, newFakeFront(t, c.replies), jobFile, strings.Fields(c.arguments)...)
			if got.code != c.code {
				t.Errorf("exit code %d, want %d: %s", got.code, c.code, got.err)
			}
			wantText(t, "errors", got.err, c.err)
		})
	}
}

func TestWrongUseIsRefusedBeforeAnyCall(t *testing.T) {
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
		got := decklever(t, newFakeFront(t, nil), "", strings.Fields(c.arguments)...)
		if got.code != ExitUsage || got.out != "" {
			t.Errorf("%s: exit code %d, output %q", c.arguments, got.code, got.out)
		}
		wantText(t, c.arguments, got.err, c.err)
	}
}

func TestSubmitSendsTheFile(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{"PUT /v1/jobs/j:1": {ok(api.SubmitAnswer{ID: "j:1"})}})
	got := decklever(t, front, "", "job", "submit", writeFile(t, "job.yaml", jobFile), "--id", "j:1")
	wantText(t, "output", got.out+got.err, "job j:1 had been accepted before\n")
	want := `{"queue":"q","steps":[{"name":"a","tasks":[{"service":"s","resources":{"cpu_millis":1},"max_duration":"5s"}]}]}`
	wantText(t, "body", front.got("PUT /v1/jobs/j:1")[0].body, want)
}

func TestEveryCommandHasHelpAndExample(t *testing.T) {
	a := newApp(Config{})
	commands := a.rootCommand().Commands()
	for len(commands) > 0 {
		command := commands[0]
		commands = append(commands[1:], command.Commands()...)
		if command.Short == "" || command.Example == "" {
			t.Errorf("%s has no short help or no example", command.CommandPath())
		}
	}
}

func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		got := decklever(t, nil, "", "completion", shell)
		if got.code != ExitOK || !strings.Contains(got.out, "decklever") {
			t.Errorf("%s: exit code %d, %d bytes", shell, got.code, len(got.out))
		}
	}
	cases := map[string]string{
		"job status ":       "j\n:4\n",
		"job status j ":     ":4\n",
		"worker drain w1 ":  "w2\n:4\n",
		"zone evacuate ":    "z1\nz2\n:4\n",
		"job list --queue ": "q\n:4\n",
		"queue show ":       "q\n:4\n",
		"booking show ":     "q/closing\nq/opening\nr/nightly\n:4\n",

		"booking release q/opening --start ": "2026-01-31T12:30:00Z\n2026-02-01T00:30:00Z\n:4\n",
		"config apply ":                      "yaml\nyml\njson\n:8\n",
	}
	for line, want := range cases {
		got := decklever(t, newFakeFront(t, fleetReplies()), "", append([]string{"__complete"}, strings.Split(line, " ")...)...)
		wantText(t, line, got.out, want)
	}
	refused := newFakeFront(t, map[string][]reply{"GET /v1/jobs": {refusal(500, api.CodeInternal)}})
	got := decklever(t, refused, "", "__complete", "job", "status", "")
	wantText(t, "without an answer", got.out, ":4\n")
}
