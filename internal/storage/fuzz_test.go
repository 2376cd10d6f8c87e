package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
)

// FuzzUnseal holds that no sealed value panics, that a refusal names the file,
// and that a value which checks is one that was sealed under its key.
func FuzzUnseal(f *testing.F) {
	key := binary.BigEndian.AppendUint64(nil, 7)
	state, err := sealValue(stateKey, diskState{HardState: raft.HardState{Term: 3, VotedFor: "a"}, LastIndex: 7})
	must(f, err)
	f.Add(key, seal(key, append(make([]byte, entryHeaderSize), "data"...)))
	f.Add(key, seal(key, nil))
	f.Add(stateKey, state)
	f.Add([]byte{}, []byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, key, value []byte) {
		const file = "folder/log.db"
		entry, err := unsealEntry(file, key, value)
		checkRefusal(t, file, err)
		if err == nil && entry.Index != binary.BigEndian.Uint64(key) {
			t.Fatalf("entry %d was found under key %x", entry.Index, key)
		}
		var state diskState
		checkRefusal(t, file, unsealValue(file, key, value, &state))
		payload, err := unseal(file, key, value)
		if err == nil && !bytes.Equal(seal(key, payload), value) {
			t.Fatalf("%x checks, but is not what is sealed", value)
		}
		// A payload that checks, whatever is in it.
		checkRefusal(t, file, unsealValue(file, key, seal(key, value), &state))
		_, err = unsealEntry(file, key, seal(key, value))
		checkRefusal(t, file, err)
	})
}

func checkRefusal(t *testing.T, file string, err error) {
	t.Helper()
	if err != nil && (!errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), file)) {
		t.Fatalf("refused with %q, want ErrCorrupt and the file", err)
	}
}

// FuzzSnapshotFile holds that no snapshot file panics, that a refusal names the
// file, and that one which checks reads the same once written again.
func FuzzSnapshotFile(f *testing.F) {
	meta := raft.SnapshotMeta{Index: 9, Term: 2, Membership: raft.Membership{Voters: []raft.Member{{ID: "a", Name: "control-1"}}}}
	for _, content := range []string{"", "what the record wrote"} {
		var file bytes.Buffer
		must(f, writeSnapshotTo(&file, meta, writeText(content)))
		f.Add(file.Bytes())
		f.Add(file.Bytes()[:file.Len()-1])
	}
	long := binary.BigEndian.AppendUint32([]byte(snapshotMagic), 1<<32-1)
	f.Add(append(long, make([]byte, 64)...))
	directory := f.TempDir()
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(directory, snapshotFile)
		must(t, os.WriteFile(path, content, filePermission))
		meta, data, found, err := readSnapshotFile(directory)
		checkRefusal(t, path, err)
		if err != nil {
			return
		}
		must(t, writeSnapshotFile(directory, meta, writeText(string(data))))
		again, dataAgain, foundAgain, err := readSnapshotFile(directory)
		must(t, err)
		if diff := cmp.Diff(meta, again); !found || !foundAgain || diff != "" || !bytes.Equal(data, dataAgain) {
			t.Fatalf("reads differently after it was written: %s", diff)
		}
	})
}
