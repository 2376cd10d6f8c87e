package record

import "testing"

func TestExpireArchive_DropsOnlyAfterDurableSnapshot(t *testing.T) {
	r := newHarness(t)
	r.submit("j", stepSpec("a", 1))
	r.cancel("j")
	r.now = 5000
	expire := Command{ExpireArchive: &ExpireArchive{Before: 2000, Limit: 10}}
	r.apply(expire)
	r.machine.Read(func(v View) {
		_, known, _ := v.Status("j", nil)
		expect(t, "hidden at once", known, false)
	})
	snapshotBytes(t, r.machine)
	r.apply(expire)
	expect(t, "one snapshot may not be durable", len(r.archive.jobs), 1)
	snapshotBytes(t, r.machine)
	r.apply(expire)
	expect(t, "dropped", len(r.archive.jobs), 0)
	expect(t, "id is free again", r.submit("j", stepSpec("b", 1)), SubmitAccepted)
}
