package cli

import "testing"

func TestConfigDiff_PrintsUnifiedDiff(t *testing.T) {
	front := newFakeFront(t, map[string][]reply{"GET /v1/config": {configReply(7, "w1")}})
	got := runCommand(t, front, "", "config", "diff", "testdata/config.json")
	want := "--- version 7\n+++ testdata/config.json\n@@ -1,11 +1,9 @@\n queues:\n   - name: q\n-    weight: 1\n+    weight: 4\n     caller_share: 1\n     default_allowed_failures: 3\n-drains:\n-  workers:\n-    - w1\n+drains: {}\n limits:\n   max_job_bytes: 1048576\n   max_tasks_per_job: 1000\n"
	assertText(t, "diff", got.out+got.err, want)
}
