package record

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

func (h *harness) withdraw(ids ...string) {
	h.t.Helper()
	h.apply(Command{CancelJobs: &CancelJobs{Jobs: ids, Withdraw: true}})
}

// TestWithdraw_RefusesLaterSubmission guards against a job that is accepted after its cancel
// was answered, since its submission was held up on its way.
func TestWithdraw_RefusesLaterSubmission(t *testing.T) {
	h := newHarness(t)
	h.withdraw("j", "k")
	expect(t, "submission of a withdrawn job", h.submit("j", stepSpec("a", 1)), SubmitWithdrawn)
	h.cancel("l")
	expect(t, "submission after a cancel of an earlier program", h.submit("l", stepSpec("a", 1)), SubmitAccepted)
}

func TestWithdraw_LeavesKnownJobsAlone(t *testing.T) {
	h := newHarness(t)
	h.submit("live", stepSpec("a", 1))
	h.submit("ended", stepSpec("a", 1))
	h.cancel("ended")
	h.withdraw("live", "ended")
	expect(t, "state of the live job", h.status("live").State, api.StateCancelled)
	expect(t, "resend of the live job", h.submit("live", stepSpec("a", 1)), SubmitDuplicate)
	expect(t, "resend of the ended job", h.submit("ended", stepSpec("a", 1)), SubmitDuplicate)
	expect(t, "withdrawn jobs", len(h.machine.state.withdrawn.byID), 0)
}

func TestWithdraw_EndsAfterRetention(t *testing.T) {
	h := newHarness(t)
	h.withdraw("j")
	h.now += withdrawnRetention - 1
	expect(t, "submission before the end of the retention", h.submit("j", stepSpec("a", 1)), SubmitWithdrawn)
	h.now++
	expect(t, "submission at the end of the retention", h.submit("j", stepSpec("a", 1)), SubmitAccepted)
}

func TestWithdraw_OldestIsDroppedBeyondLimit(t *testing.T) {
	h := newHarness(t)
	for i := range maxWithdrawnJobs + 1 {
		h.withdraw(fmt.Sprint("j", i))
	}
	expect(t, "withdrawn jobs", len(h.machine.state.withdrawn.byID), maxWithdrawnJobs)
	expect(t, "submission of the oldest", h.submit("j0", stepSpec("a", 1)), SubmitAccepted)
	expect(t, "submission of the second", h.submit("j1", stepSpec("a", 1)), SubmitWithdrawn)
}

func TestWithdraw_IsInSnapshots(t *testing.T) {
	h := newHarness(t)
	h.withdraw("j")
	_, write, err := h.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var snapshot bytes.Buffer
	if err := write(&snapshot); err != nil {
		t.Fatal(err)
	}
	h.withdraw("k")
	if err := h.machine.Restore(&snapshot); err != nil {
		t.Fatal(err)
	}
	expect(t, "job of the snapshot is withdrawn", h.machine.state.withdrawn.has("j"), true)
	expect(t, "later job is withdrawn", h.machine.state.withdrawn.has("k"), false)
}

// TestWithdraw_SameJobTwiceInOneCancel guards against a job that the first id ends and the
// second withdraws, though a replica that replays the entry finds it in the archive.
func TestWithdraw_SameJobTwiceInOneCancel(t *testing.T) {
	h := newHarness(t)
	h.submit("j", stepSpec("a", 1))
	h.withdraw("j", "j")
	expect(t, "withdrawn jobs", len(h.machine.state.withdrawn.byID), 0)
}
