package storage

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
)

// TestAnyFlippedBit: whatever bit of the log file is wrong, a start either
// finds all that was saved, or refuses.
func TestAnyFlippedBit(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, logFile)
	d := open(t, directory)
	must(t, d.Save(&raft.HardState{Term: 1, VotedFor: "b", Commit: 3}, entries(1, 300, 1), true))
	must(t, d.Close())
	id := d.ReplicaID()
	intact, err := os.ReadFile(path)
	must(t, err)
	d = open(t, directory)
	want := load(t, d)
	must(t, d.Close())

	random := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for i := range 60 {
		damaged := append([]byte(nil), intact...)
		at := random.IntN(len(damaged))
		if i%3 == 0 { // in a meta page
			at = i%2*os.Getpagesize() + boltPageHeader + random.IntN(boltMetaSize)
		}
		damaged[at] ^= 1 << random.IntN(8)
		must(t, os.WriteFile(path, damaged, filePermission))
		d, err := OpenDisk(DiskConfig{Directory: directory})
		var loaded Loaded
		if err == nil {
			loaded, err = d.Load()
			must(t, d.Close())
		}
		switch {
		case errors.Is(err, ErrCorrupt):
			refused++
		case i%3 == 0:
			t.Fatalf("byte %d of a meta page: damage was not noticed", at)
		case err != nil:
			t.Fatalf("byte %d: %v, want ErrCorrupt", at, err)
		case d.ReplicaID() != id:
			t.Fatalf("byte %d: replica id %s, want %s", at, d.ReplicaID(), id)
		default:
			if diff := cmp.Diff(want, loaded); diff != "" {
				t.Fatalf("byte %d: %s", at, diff)
			}
		}
	}
	if refused < 20 {
		t.Fatalf("only %d flips were noticed", refused)
	}
}
