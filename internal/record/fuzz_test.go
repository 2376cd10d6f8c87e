package record

import (
	"bytes"
	"crypto/sha256"
	"testing"

	"github.com/decklever/decklever/api"
)

func FuzzDecode(f *testing.F) {
	spec := api.JobSpec{Queue: testQueue, Steps: []api.StepSpec{stepSpec("a", 2), replicatedStep("b", 3, "a")}}
	seeds := []Command{
		{SubmitJob: &SubmitJob{ID: "j", Spec: spec, Digest: spec.Digest()}},
		{CancelJobs: &CancelJobs{Jobs: []string{"j"}}},
		{PutConfig: &PutConfig{OrderID: "o", Config: testConfig()}},
		{PlaceTasks: &PlaceTasks{Placements: []Placement{placementOn(taskID("j", "a", 0), 1, "w")}}},
		{CloseRuns: &CloseRuns{Runs: []RunEnd{{Run: RunID{Task: taskID("j", "a", 0), Number: 1}, Outcome: api.OutcomeFailed}}}},
		{RegisterWorkers: &RegisterWorkers{Workers: []Worker{testWorker("w")}}},
		{SubmitJob: &SubmitJob{ID: "k", Spec: repeatingJob(3, 2000, stepSpec("a", 1)), Digest: "d"}},
		{ExpandRepeats: &ExpandRepeats{Jobs: []Expansion{{Job: "r", Through: 2}}}},
		{ReleaseWindow: &ReleaseWindow{Queue: testQueue, Booking: "b", Start: 2000, End: 3000}},
	}
	for _, seed := range seeds {
		data, err := Encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Decode(data); err != nil {
			return
		}
		h := newHarness(t)
		h.register(testWorker("w"))
		h.submit("j", stepSpec("a", 2), stepSpec("b", 1, "a"))
		h.submitSpec("r", repeatingJob(3, 2000, stepSpec("a", 1)))
		if _, err := h.machine.Apply(h.index+1, data); err != nil {
			t.Fatalf("Apply of an entry that Decode accepts: got error %v, want nil", err)
		}
	})
}

func FuzzRestore(f *testing.F) {
	h := newHarness(f)
	h.register(testWorker("w"))
	h.submit("j", stepSpec("a", 2), replicatedStep("b", 3, "a"))
	h.mustPlace(placementOn(taskID("j", "a", 0), 1, "w"))
	h.apply(Command{ReleaseWindow: &ReleaseWindow{Queue: testQueue, Booking: "b", Start: 2000, End: 3000}})
	h.submitSpec("r", repeatingJob(9, 2000, stepSpec("a", 2), stepSpec("b", 1, "a")))
	h.expand("r", 3)
	data := snapshotBytes(f, h.machine)
	f.Add(data[len(snapshotMagic) : len(data)-sha256.Size])
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, parts []byte) {
		framed := append([]byte(snapshotMagic), parts...)
		sum := sha256.Sum256(framed)
		machine := NewMachine(Config{Archive: newTestArchive()})
		if err := machine.Restore(bytes.NewReader(append(framed, sum[:]...))); err != nil {
			return
		}
		restoredBytes := snapshotBytes(t, machine)
		if !bytes.Equal(restoredBytes, snapshotBytes(t, restoreWithDefaults(t, restoredBytes))) {
			t.Fatal("restoring a snapshot and taking another: got different bytes, want equal bytes")
		}
	})
}

func restoreWithDefaults(t *testing.T, data []byte) *Machine {
	t.Helper()
	machine := NewMachine(Config{Archive: newTestArchive()})
	if err := machine.Restore(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	return machine
}
