package record

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestRestore_SnapshotWithoutNewerFieldsAccepted(t *testing.T) {
	// A header from before ReleasedWindows and DrainedZones were added has only the
	// fields 1 to 10.
	data := snapshotOf(t, map[int]any{
		1: 1, 2: 9, 3: 1234, 4: 0, 5: 1, 6: testConfig(), 7: 0, 8: 0, 9: 0, 10: 0,
	})
	machine := restoreMachine(t, data, newTestArchive())
	machine.Read(func(v View) {
		expect(t, "applied", v.Applied(), 9)
		expect(t, "clock", v.Clock(), 1234)
	})
	expectReleasedWindows(t, machine)
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
		{"truncated", before[:len(before)-1]},
		{"flipped bit in a part", withFlippedBit(before, 40)},
		{"flipped bit in the checksum", withFlippedBit(before, len(before)-1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := h.machine.Restore(bytes.NewReader(c.damaged))
			var snapshotError *SnapshotError
			if !errors.Is(err, ErrSnapshot) || !errors.As(err, &snapshotError) {
				t.Fatalf("restore damaged snapshot: got error %v, want a SnapshotError", err)
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

// TestRestore_InvalidPartNamedInError checks that Restore rejects a snapshot with a
// valid checksum and an invalid part, changes nothing, and names that part in its
// error.
func TestRestore_InvalidPartNamedInError(t *testing.T) {
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
				t.Fatalf("got error %v, want a SnapshotError", err)
			}
			expect(t, "part", snapshotError.Part, c.part)
			if !strings.Contains(snapshotError.Problem, c.want) {
				t.Fatalf("got problem %q, want one that contains %q", snapshotError.Problem, c.want)
			}
			expect(t, "unchanged", bytes.Equal(before, snapshotBytes(t, h.machine)), true)
		})
	}
}

// snapshotOf returns a snapshot with the given parts and a valid checksum.
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

// withFlippedBit returns a copy of data with the lowest bit of the byte at offset
// flipped.
func withFlippedBit(data []byte, offset int) []byte {
	changed := slices.Clone(data)
	changed[offset] ^= 1
	return changed
}
