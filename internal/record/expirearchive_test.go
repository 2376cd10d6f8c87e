package record

import "testing"

func TestExpireArchive_DropsOnlyAfterDurableSnapshot(t *testing.T) {
	h := newHarness(t)
	h.submit("j", stepSpec("a", 1))
	h.cancel("j")
	h.now = 5000
	expire := Command{ExpireArchive: &ExpireArchive{Before: 2000, Limit: 10}}
	h.apply(expire)
	h.machine.Read(func(v View) {
		_, known, _ := v.Status("j", nil)
		expect(t, "job found after the expiry", known, false)
	})
	snapshotBytes(t, h.machine)
	h.apply(expire)
	expect(t, "archived jobs after one snapshot, which may not be durable", len(h.archive.jobs), 1)
	snapshotBytes(t, h.machine)
	h.apply(expire)
	expect(t, "archived jobs after a second snapshot", len(h.archive.jobs), 0)
	expect(t, "outcome of a submit with the id of the deleted job", h.submit("j", stepSpec("b", 1)), SubmitAccepted)
}
