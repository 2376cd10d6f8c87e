package record

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"slices"
	"testing"
)

func TestRestore_SnapshotWithoutNewerFields(t *testing.T) {
	// The header as it was before bookings: fields 1 to 10.
	header, err := encoding.Marshal(map[int]any{
		1: 1, 2: 9, 3: 1234, 4: 0, 5: 1, 6: testConfig(), 7: 0, 8: 0, 9: 0, 10: 0,
	})
	if err != nil {
		t.Fatal(err)
	}
	data := append([]byte(snapshotMagic), header...)
	sum := sha256.Sum256(data)
	machine := restored(t, append(data, sum[:]...), newTestArchive())
	machine.Read(func(v View) {
		expect(t, "applied", v.Applied(), 9)
		expect(t, "clock", v.Clock(), 1234)
	})
	expectReleased(t, machine)
}

func TestRestore_DamagedSnapshotChangesNothing(t *testing.T) {
	r := newHarness(t)
	r.submit("j", stepSpec("a", 1))
	before := snapshotBytes(t, r.machine)
	for _, damaged := range [][]byte{nil, before[:len(before)-1], withFlippedBit(before, 40), withFlippedBit(before, len(before)-1)} {
		if err := r.machine.Restore(bytes.NewReader(damaged)); !errors.Is(err, ErrSnapshot) {
			t.Fatalf("damaged snapshot: %v", err)
		}
	}
	expect(t, "unchanged", bytes.Equal(before, snapshotBytes(t, r.machine)), true)
	r.takeEvents()
	if err := r.machine.Restore(bytes.NewReader(before)); err != nil {
		t.Fatal(err)
	}
	expectEvents(t, r, "replaced")
}

func withFlippedBit(data []byte, at int) []byte {
	changed := slices.Clone(data)
	changed[at] ^= 1
	return changed
}
