package record

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestRestore_SnapshotWithoutNewerFields(t *testing.T) {
	// The header as it was before reservations: fields 1 to 10.
	data := snapshotOf(t, map[int]any{
		1: 1, 2: 9, 3: 1234, 4: 0, 5: 1, 6: testConfig(), 7: 0, 8: 0, 9: 0, 10: 0,
	})
	machine := restored(t, data, newTestArchive())
	machine.Read(func(v View) {
		expect(t, "applied", v.Applied(), 9)
		expect(t, "clock", v.Clock(), 1234)
	})
	expectReleased(t, machine)
}

func TestRestore_DamagedSnapshotChangesNothing(t *testing.T) {
	h := newHarness(t)
	h.submit("j", stepSpec("a", 1))
	before := snapshotBytes(t, h.machine)
	cases := []struct {
		name    string
		damaged []byte
	}{
		{"empty", nil},
		{"cut short", before[:len(before)-1]},
		{"a bit of a part", withFlippedBit(before, 40)},
		{"a bit of the checksum", withFlippedBit(before, len(before)-1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := h.machine.Restore(bytes.NewReader(c.damaged))
			var snapshotError *SnapshotError
			if !errors.Is(err, ErrSnapshot) || !errors.As(err, &snapshotError) {
				t.Fatalf("damaged snapshot: %v", err)
			}
			expect(t, "part", snapshotError.Part, partFrame)
		})
	}
	expect(t, "unchanged", bytes.Equal(before, snapshotBytes(t, h.machine)), true)
	h.takeEvents()
	if err := h.machine.Restore(bytes.NewReader(before)); err != nil {
		t.Fatal(err)
	}
	expectEvents(t, h, "replaced")
}

// TestRestore_InvalidPartIsNamed: a snapshot with a good checksum and a part that
// contradicts another is refused with the name of that part.
func TestRestore_InvalidPartIsNamed(t *testing.T) {
	worker := map[int]any{1: "w", 2: "w-1"}
	config := testConfig()
	cases := []struct {
		name   string
		header map[int]any
		parts  []any
		part   string
		want   string
	}{
		{"unknown format", map[int]any{1: 2}, nil, "header", "format 2, expected 1"},
		{"missing part", map[int]any{1: 1, 6: config, 9: 1}, nil, "worker", "cannot be decoded"},
		{"surplus part", map[int]any{1: 1, 6: config}, []any{worker}, "frame", "last part ends at"},
		{"worker twice", map[int]any{1: 1, 6: config, 9: 2}, []any{worker, worker}, `worker "w"`, "found twice, expected once"},
		{"job without a spec", map[int]any{1: 1, 6: config, 10: 1}, []any{map[int]any{1: "j"}}, `job "j"`, "has no spec"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			before := snapshotBytes(t, h.machine)
			err := h.machine.Restore(bytes.NewReader(snapshotOf(t, append([]any{c.header}, c.parts...)...)))
			var snapshotError *SnapshotError
			if !errors.Is(err, ErrSnapshot) || !errors.As(err, &snapshotError) {
				t.Fatalf("got %v, expected a SnapshotError", err)
			}
			expect(t, "part", snapshotError.Part, c.part)
			if !strings.Contains(snapshotError.Problem, c.want) {
				t.Fatalf("problem %q, expected %q", snapshotError.Problem, c.want)
			}
			expect(t, "unchanged", bytes.Equal(before, snapshotBytes(t, h.machine)), true)
		})
	}
}

// snapshotOf frames parts as a snapshot with a good checksum.
func snapshotOf(t *testing.T, parts ...any) []byte {
	t.Helper()
	data := []byte(snapshotMagic)
	for _, part := range parts {
		encoded, err := encoding.Marshal(part)
		if err != nil {
			t.Fatal(err)
		}
		data = append(data, encoded...)
	}
	sum := sha256.Sum256(data)
	return append(data, sum[:]...)
}

// withFlippedBit returns a copy of data with the lowest bit of one byte changed.
func withFlippedBit(data []byte, at int) []byte {
	changed := slices.Clone(data)
	changed[at] ^= 1
	return changed
}
