package stored

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

var update = flag.Bool("update", false, "rewrite the corpus with the current sources")

// Files of the corpus.
const (
	makerFile    = "MAKER"
	commandsFile = "commands.txt"
	resultsFile  = "results.txt"
	snapshotFile = "state.snapshot"
	viewFile     = "state.json"
	folderSuffix = ".tar.gz"
	loadedSuffix = ".loaded.txt"
)

func goldenPath(name string) string { return filepath.Join("testdata", name) }

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// TestCorpus_WrittenUnchanged applies the script with the current code, and compares
// what that writes with the corpus.
func TestCorpus_WrittenUnchanged(t *testing.T) {
	written := writeCorpus(t)
	if *update {
		updateCorpus(t, written)
	}
	t.Run("commands", func(t *testing.T) { compareText(t, readGolden(t, commandsFile), written.commands) })
	t.Run("results and events", func(t *testing.T) { compareText(t, readGolden(t, resultsFile), written.results) })
	t.Run("snapshot", func(t *testing.T) { compareSnapshot(t, readGolden(t, snapshotFile), written.snapshot) })
	t.Run("view", func(t *testing.T) { compareText(t, readGolden(t, viewFile), written.view) })
	for name, directory := range written.folders {
		t.Run("folder of the "+name, func(t *testing.T) {
			stored := unpackFolder(t, goldenPath(name+folderSuffix))
			compareText(t, []byte(describeFolder(t, stored)), []byte(describeFolder(t, directory)))
		})
	}
}

func updateCorpus(t *testing.T, written corpus) {
	t.Helper()
	commit, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		t.Fatalf("read the commit of the sources from git: %v", err)
	}
	files := map[string][]byte{
		makerFile: commit, commandsFile: written.commands, resultsFile: written.results, snapshotFile: written.snapshot, viewFile: written.view,
	}
	for name, content := range files {
		if err := os.WriteFile(goldenPath(name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, directory := range written.folders {
		packFolder(t, directory, goldenPath(name+folderSuffix))
		store, loaded := openFolder(t, goldenPath(name+folderSuffix))
		content := describeLoaded(t, loaded)
		if err := errors.Join(store.Close(), os.WriteFile(goldenPath(name+loadedSuffix), []byte(content), 0o600)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFolder_ReplayedToSameState opens the data folders of the corpus, and applies the
// committed entries to the stored snapshot.
func TestFolder_ReplayedToSameState(t *testing.T) {
	for _, name := range []string{"voter", "unshortened", "newcomer"} {
		t.Run(name, func(t *testing.T) {
			store, loaded := openFolder(t, goldenPath(name+folderSuffix))
			t.Cleanup(func() { _ = store.Close() })
			compareText(t, readGolden(t, name+loadedSuffix), []byte(describeLoaded(t, loaded)))
			machine := replay(t, store, loaded)
			if name != "newcomer" {
				compareSnapshot(t, readGolden(t, snapshotFile), snapshotOf(t, machine))
				compareText(t, readGolden(t, viewFile), viewOf(t, machine, submittedJobs()))
			}
		})
	}
}

// openFolder opens and loads a copy of a packed data folder. The caller closes the
// store.
func openFolder(t *testing.T, file string) (*storage.Disk, storage.LoadedState) {
	t.Helper()
	store, err := storage.OpenDisk(storage.DiskConfig{Directory: unpackFolder(t, file)})
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := store.Load()
	if err != nil {
		t.Fatal(errors.Join(err, store.Close()))
	}
	return store, loaded
}

// newMachine returns a new state machine with the settings of the corpus.
func newMachine(store *storage.Disk) *record.Machine {
	return record.NewMachine(record.Config{Archive: store.Archive(), MaxConfigOrders: maxConfigOrders})
}

// replay returns a state machine with the snapshot and all committed entries after it
// applied.
func replay(t *testing.T, store *storage.Disk, loaded storage.LoadedState) *record.Machine {
	t.Helper()
	machine := newMachine(store)
	if err := machine.Restore(bytes.NewReader(loaded.SnapshotData)); err != nil {
		t.Fatal(err)
	}
	for _, entry := range loaded.Entries {
		if entry.Index <= loaded.Snapshot.Index || entry.Index > loaded.HardState.Commit {
			continue
		}
		if entry.Kind != raft.EntryCommand {
			machine.Skip(entry.Index)
		} else if _, err := machine.Apply(entry.Index, entry.Data); err != nil {
			t.Fatal(err)
		}
	}
	return machine
}

// TestCommand_DecodedAndReencodedUnchanged checks that each stored command is decoded to
// that of the script, and that encoding it again gives the same bytes.
func TestCommand_DecodedAndReencodedUnchanged(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(string(readGolden(t, commandsFile))), "\n")
	commands := script()
	if len(lines) != len(commands) {
		t.Fatalf("corpus has %d commands, want %d as in the script", len(lines), len(commands))
	}
	for i, text := range lines {
		name, digits, _ := strings.Cut(text, "\t")
		if name != commands[i].name {
			t.Fatalf("command %d: got name %q, want %q", i, name, commands[i].name)
		}
		data, err := hex.DecodeString(digits)
		if err != nil {
			continue // a digest because of its length; the log has all bytes
		}
		decoded, err := record.Decode(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if difference := cmp.Diff(commands[i].Command, decoded, cmpopts.EquateEmpty()); difference != "" {
			t.Errorf("%s (- want, + got):\n%s", name, difference)
		}
		reencoded, err := record.Encode(decoded)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !bytes.Equal(data, reencoded) {
			t.Errorf("%s: re-encoded command: got\n%s\nwant\n%s", name, diagnose(reencoded), diagnose(data))
		}
	}
}

// TestScript_SetsEveryField checks that the script sets every field of every command,
// so that the corpus also covers fields that are added later.
func TestScript_SetsEveryField(t *testing.T) {
	set := make(map[field]bool)
	for _, c := range script() {
		collectSet(reflect.ValueOf(c.Command), set)
	}
	for _, missing := range missingFields(reflect.TypeFor[record.Command](), set, make(map[reflect.Type]bool)) {
		t.Errorf("no command of the script sets %s", missing)
	}
}

// field identifies a field of a struct type by its index.
type field struct {
	structType reflect.Type
	index      int
}

// collectSet adds the fields within a value that are not zero to set.
func collectSet(value reflect.Value, set map[field]bool) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			collectSet(value.Elem(), set)
		}
	case reflect.Slice:
		for i := range value.Len() {
			collectSet(value.Index(i), set)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if !value.Field(i).IsZero() {
				set[field{value.Type(), i}] = true
				collectSet(value.Field(i), set)
			}
		}
	default:
	}
}

// missingFields returns the names of the exported fields within a type that are not in
// set. It skips the types in seen, and adds those that it visits.
func missingFields(structType reflect.Type, set map[field]bool, seen map[reflect.Type]bool) []string {
	for structType.Kind() == reflect.Pointer || structType.Kind() == reflect.Slice {
		structType = structType.Elem()
	}
	if structType.Kind() != reflect.Struct || seen[structType] {
		return nil
	}
	seen[structType] = true
	var missing []string
	for i := range structType.NumField() {
		if !structType.Field(i).IsExported() {
			continue
		}
		if !set[field{structType, i}] {
			missing = append(missing, structType.String()+"."+structType.Field(i).Name)
		}
		missing = append(missing, missingFields(structType.Field(i).Type, set, seen)...)
	}
	return missing
}

// TestMembership_DecodedAndReencodedUnchanged checks the memberships in the log, which
// package raft encodes, and that of the snapshot.
func TestMembership_DecodedAndReencodedUnchanged(t *testing.T) {
	store, loaded := openFolder(t, goldenPath("voter"+folderSuffix))
	t.Cleanup(func() { _ = store.Close() })
	if !reflect.DeepEqual(loaded.Snapshot.Membership, memberships()[3]) {
		t.Errorf("got membership %+v in the snapshot, want the last of memberships()", loaded.Snapshot.Membership)
	}
	count := 0
	for _, entry := range loaded.Entries {
		if entry.Kind != raft.EntryMembership {
			continue
		}
		count++
		membership, err := raft.DecodeMembership(entry.Data)
		if err != nil {
			t.Fatal(err)
		}
		reencoded, err := raft.EncodeMembership(membership)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(entry.Data, reencoded) {
			t.Errorf("entry %d re-encoded: got %s, want %s", entry.Index, diagnose(reencoded), diagnose(entry.Data))
		}
	}
	if count == 0 {
		t.Error("got no membership entry in the voter's log, want at least one")
	}
}

// compareText compares texts line by line, and fails at the first difference.
func compareText(t *testing.T, want, got []byte) {
	t.Helper()
	if bytes.Equal(want, got) {
		return
	}
	wantRows, gotRows := strings.Split(string(want), "\n"), strings.Split(string(got), "\n")
	for i := range min(len(wantRows), len(gotRows)) {
		if wantRows[i] != gotRows[i] {
			t.Fatalf("line %d: got\n%s\nwant\n%s", i+1, gotRows[i], wantRows[i])
		}
	}
	t.Fatalf("got %d lines, want %d", len(gotRows), len(wantRows))
}

// compareSnapshot compares snapshots of a record.Machine, and reports the first part
// that differs.
func compareSnapshot(t *testing.T, want, got []byte) {
	t.Helper()
	if bytes.Equal(want, got) {
		return
	}
	wantParts, gotParts := snapshotParts(t, want), snapshotParts(t, got)
	for i := range min(len(wantParts), len(gotParts)) {
		if !bytes.Equal(wantParts[i], gotParts[i]) {
			t.Fatalf("part %d: got\n%s\nwant\n%s", i, diagnose(gotParts[i]), diagnose(wantParts[i]))
		}
	}
	t.Fatalf("got %d parts in %d bytes, want %d in %d; if these are equal, the checksum differs", len(gotParts), len(got), len(wantParts), len(want))
}

// snapshotParts returns the CBOR items between the magic and the SHA-256 of a snapshot.
func snapshotParts(t *testing.T, snapshot []byte) [][]byte {
	t.Helper()
	rest, known := bytes.CutPrefix(snapshot, []byte("decklever record\n"))
	if !known || len(rest) < sha256.Size {
		t.Fatalf("snapshot begins with %q, want the magic of a record snapshot and a checksum", snapshot[:min(len(snapshot), 20)])
	}
	rest = rest[:len(rest)-sha256.Size]
	var parts [][]byte
	for len(rest) > 0 {
		var part cbor.RawMessage
		after, err := cbor.UnmarshalFirst(rest, &part)
		if err != nil {
			t.Fatal(err)
		}
		parts, rest = append(parts, part), after
	}
	return parts
}

// diagnose returns CBOR in diagnostic notation, or hex digits if it is not valid.
func diagnose(data []byte) string {
	text, err := cbor.Diagnose(data)
	if err != nil {
		return hex.EncodeToString(data)
	}
	return text
}
