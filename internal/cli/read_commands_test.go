package cli

import (
	"encoding/json"
	"strings"
	"testing"
)

const statusTable = `ID  QUEUE  PRIORITY  STATE      SUBMITTED             ENDED
j   q      5         succeeded  2026-01-31T14:00:00Z  -

TASK   STATE      RUN  FAILURES  WORKER  REASON
j/a/0  succeeded  2    1         w1      -
j/a/1  pending    0    0         -       no room  [2J
`

func TestReadCommands_PrintTables(t *testing.T) {
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
			got := runCommand(t, newFakeFront(t, fleetReplies()), "", strings.Fields(c.arguments)...)
			assertText(t, "output", got.out, c.out)
			assertText(t, "errors", got.err, c.err)
			if got.code != ExitOK {
				t.Errorf("got exit code %d, want 0", got.code)
			}
		})
	}
}

func TestReadCommands_JSONIsAPIObject(t *testing.T) {
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
		t.Run(arguments, func(t *testing.T) {
			got := runCommand(t, newFakeFront(t, fleetReplies()), "", append(strings.Fields(arguments), "-o", "json")...)
			assertText(t, arguments, got.out+got.err, jsonOf(want))
		})
	}
	got := runCommand(t, newFakeFront(t, fleetReplies()), "", "queue", "list", "-o", "yaml")
	assertText(t, "yaml", got.out, "queues:\n  - name: q\n    jobs: 4\n    waiting_jobs: 1\n    pending_tasks: 2\n    running_tasks: 3\n")
	var document map[string]json.RawMessage
	got = runCommand(t, newFakeFront(t, fleetReplies()), "", "status", "-o", "json")
	if err := json.Unmarshal([]byte(got.out), &document); err != nil || len(document) != 4 {
		t.Errorf("status: got error %v in %s, want a JSON object with 4 fields", err, got.out)
	}
}
