package record

import (
	"bytes"
	"crypto/sha256"
	"testing"

	"github.com/decklever/decklever/api"
)

func FuzzDecode(f *testing.F) {
	spec := api.JobSpec{Queue: testQueue, Steps: []api.StepSpec{step("a", 2), replicas("b", 3, "a")}}
	seeds := []Command{
		{Submit: &Submit{ID: "j", Spec: spec, Digest: spec.Digest()}},
		{Cancel: &Cancel{Jobs: []string{"j"}}},
		{PutConfig: &PutConfig{OrderID: "o", Config: testConfig()}},
		{Place: &Place{Placements: []Placement{onWorker(id("j", "a", 0), 1, "w")}}},
		{Close: &Close{Runs: []RunEnd{{Run: RunID{Task: id("j", "a", 0), Number: 1}, Outcome: api.OutcomeFailed}}}},
		{Register: &RegisterWorkers{Workers: []Worker{testWorker("w")}}},
		{Submit: &Submit{ID: "k", Spec: repeating(3, 2000, step("a", 1)), Digest: "d"}},
		{Expand: &ExpandRepeats{Jobs: []Expansion{{Job: "r", Through: 2}}}},
		{Release: &ReleaseWindow{Queue: testQueue, Booking: "b", Start: 2000, End: 3000}},
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
		r := newRig(t)
		r.register(testWorker("w"))
		r.submit("j", step("a", 2), step("b", 1, "a"))
		r.submitSpec("r", repeating(3, 2000, step("a", 1)))
		if _, err := r.machine.Apply(r.index+1, data); err != nil {
			t.Fatalf("a readable entry could not be applied: %v", err)
		}
	})
}

func FuzzRestore(f *testing.F) {
	r := newRig(f)
	r.register(testWorker("w"))
	r.submit("j", step("a", 2), replicas("b", 3, "a"))
	r.mustPlace(onWorker(id("j", "a", 0), 1, "w"))
	r.apply(Command{Release: &ReleaseWindow{Queue: testQueue, Booking: "b", Start: 2000, End: 3000}})
	r.submitSpec("r", repeating(9, 2000, step("a", 2), step("b", 1, "a")))
	r.expand("r", 3)
	data := snapshotBytes(f, r.machine)
	f.Add(data[len(snapshotMagic) : len(data)-sha256.Size])
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, parts []byte) {
		framed := append([]byte(snapshotMagic), parts...)
		sum := sha256.Sum256(framed)
		machine := NewMachine(Config{Archive: newTestArchive()})
		if err := machine.Restore(bytes.NewReader(append(framed, sum[:]...))); err != nil {
			return
		}
		again := snapshotBytes(t, machine)
		if !bytes.Equal(again, snapshotBytes(t, restoredDefault(t, again))) {
			t.Fatal("a restored machine writes another snapshot")
		}
	})
}

func restoredDefault(t *testing.T, data []byte) *Machine {
	machine := NewMachine(Config{Archive: newTestArchive()})
	if err := machine.Restore(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	return machine
}
