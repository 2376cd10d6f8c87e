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

var update = flag.Bool("update", false, "write the corpus anew with the present sources")

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

func golden(name string) string { return filepath.Join("testdata", name) }

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(golden(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// TestCorpus_IsWrittenTheSame plays the script with the present code, and holds
// what it writes against the corpus.
func TestCorpus_IsWrittenTheSame(t *testing.T) {
	written := writeCorpus(t)
	if *update {
		updateCorpus(t, written)
	}
	t.Run("commands", func(t *testing.T) { sameText(t, readGolden(t, commandsFile), written.commands) })
	t.Run("results and events", func(t *testing.T) { sameText(t, readGolden(t, resultsFile), written.results) })
	t.Run("snapshot", func(t *testing.T) { sameSnapshot(t, readGolden(t, snapshotFile), written.snapshot) })
	t.Run("view", func(t *testing.T) { sameText(t, readGolden(t, viewFile), written.view) })
	for name, directory := range written.folders {
		t.Run("folder of the "+name, func(t *testing.T) {
			stored := unpackFolder(t, golden(name+folderSuffix))
			sameText(t, []byte(describeFolder(t, stored)), []byte(describeFolder(t, directory)))
		})
	}
}

func updateCorpus(t *testing.T, written corpus) {
	t.Helper()
	commit, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		t.Fatalf("the commit of the sources is not known: %v", err)
	}
	files := map[string][]byte{
		makerFile: commit, commandsFile: written.commands, resultsFile: written.results, snapshotFile: written.snapshot, viewFile: written.view,
	}
	for name, content := range files {
		if err := os.WriteFile(golden(name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, directory := range written.folders {
		packFolder(t, directory, golden(name+folderSuffix))
		store, loaded := openFolder(t, golden(name+folderSuffix))
		content := describeLoaded(t, loaded)
		if err := errors.Join(store.Close(), os.WriteFile(golden(name+loadedSuffix), []byte(content), 0o600)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFolder_IsReadToTheSameState opens the data folders of the corpus, and
// applies what was committed to the snapshot found there.
func TestFolder_IsReadToTheSameState(t *testing.T) {
	for _, name := range []string{"voter", "unshortened", "newcomer"} {
		t.Run(name, func(t *testing.T) {
			store, loaded := openFolder(t, golden(name+folderSuffix))
			t.Cleanup(func() { _ = store.Close() })
			sameText(t, readGolden(t, name+loadedSuffix), []byte(describeLoaded(t, loaded)))
			machine := replay(t, store, loaded)
			if name != "newcomer" {
				sameSnapshot(t, readGolden(t, snapshotFile), snapshotOf(t, machine))
				sameText(t, readGolden(t, viewFile), viewOf(t, machine, submittedJobs()))
			}
		})
	}
}

// openFolder opens a copy of a data folder of the corpus.
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

// newMachine returns the state machine of a replica of the corpus.
func newMachine(store *storage.Disk) *record.Machine {
	return record.NewMachine(record.Config{Archive: store.Archive(), MaxConfigOrders: ordersKept})
}

// replay brings a machine to the state of all that was committed.
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

// TestCommand_IsReadAsItWasGiven decodes the stored commands and encodes them
// again.
func TestCommand_IsReadAsItWasGiven(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(string(readGolden(t, commandsFile))), "\n")
	commands := script()
	if len(lines) != len(commands) {
		t.Fatalf("the corpus has %d commands, the script %d", len(lines), len(commands))
	}
	for i, line := range lines {
		name, digits, _ := strings.Cut(line, "\t")
		if name != commands[i].name {
			t.Fatalf("command %d is %q, expected %q", i, name, commands[i].name)
		}
		data, err := hex.DecodeString(digits)
		if err != nil {
			continue // too long to be kept whole; the log has it
		}
		decoded, err := record.Decode(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if difference := cmp.Diff(commands[i].Command, decoded, cmpopts.EquateEmpty()); difference != "" {
			t.Errorf("%s (- given, + read):\n%s", name, difference)
		}
		again, err := record.Encode(decoded)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !bytes.Equal(data, again) {
			t.Errorf("%s is written as\n%s\nexpected\n%s", name, diagnose(again), diagnose(data))
		}
	}
}

// TestScript_SetsEveryField keeps the script whole when a command gets a field.
func TestScript_SetsEveryField(t *testing.T) {
	set := make(map[field]bool)
	for _, c := range script() {
		collectSet(reflect.ValueOf(c.Command), set)
	}
	for _, missing := range missingFields(reflect.TypeFor[record.Command](), set, make(map[reflect.Type]bool)) {
		t.Errorf("no command of the script sets %s", missing)
	}
}

// field is a field of a type.
type field struct {
	holder reflect.Type
	index  int
}

// collectSet adds the fields below a value that are not zero.
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

// missingFields names the exported fields below a type that are not in set.
func missingFields(holder reflect.Type, set map[field]bool, seen map[reflect.Type]bool) []string {
	for holder.Kind() == reflect.Pointer || holder.Kind() == reflect.Slice {
		holder = holder.Elem()
	}
	if holder.Kind() != reflect.Struct || seen[holder] {
		return nil
	}
	seen[holder] = true
	var missing []string
	for i := range holder.NumField() {
		if !holder.Field(i).IsExported() {
			continue
		}
		if !set[field{holder, i}] {
			missing = append(missing, holder.String()+"."+holder.Field(i).Name)
		}
		missing = append(missing, missingFields(holder.Field(i).Type, set, seen)...)
	}
	return missing
}

// TestMembership_IsReadAndWrittenTheSame: the log holds memberships in a form of
// package raft.
func TestMembership_IsReadAndWrittenTheSame(t *testing.T) {
	store, loaded := openFolder(t, golden("voter"+folderSuffix))
	t.Cleanup(func() { _ = store.Close() })
	if !reflect.DeepEqual(loaded.Snapshot.Membership, memberships()[3]) {
		t.Errorf("the snapshot has the membership %+v", loaded.Snapshot.Membership)
	}
	found := 0
	for _, entry := range loaded.Entries {
		if entry.Kind != raft.EntryMembership {
			continue
		}
		found++
		membership, err := raft.DecodeMembership(entry.Data)
		if err != nil {
			t.Fatal(err)
		}
		again, err := raft.EncodeMembership(membership)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(entry.Data, again) {
			t.Errorf("entry %d is written as %s, expected %s", entry.Index, diagnose(again), diagnose(entry.Data))
		}
	}
	if found == 0 {
		t.Error("the log of the voter has no membership")
	}
}

// sameText compares texts by lines.
func sameText(t *testing.T, want, got []byte) {
	t.Helper()
	if bytes.Equal(want, got) {
		return
	}
	wanted, found := strings.Split(string(want), "\n"), strings.Split(string(got), "\n")
	for i := range min(len(wanted), len(found)) {
		if wanted[i] != found[i] {
			t.Fatalf("line %d is\n%s\nexpected\n%s", i+1, found[i], wanted[i])
		}
	}
	t.Fatalf("%d lines, expected %d", len(found), len(wanted))
}

// sameSnapshot compares snapshots of the record, and shows the first part that
// differs.
func sameSnapshot(t *testing.T, want, got []byte) {
	t.Helper()
	if bytes.Equal(want, got) {
		return
	}
	wanted, found := snapshotParts(t, want), snapshotParts(t, got)
	for i := range min(len(wanted), len(found)) {
		if !bytes.Equal(wanted[i], found[i]) {
			t.Fatalf("part %d is\n%s\nexpected\n%s", i, diagnose(found[i]), diagnose(wanted[i]))
		}
	}
	t.Fatalf("%d parts of %d bytes, expected %d of %d, or frame and checksum differ", len(found), len(got), len(wanted), len(want))
}

// snapshotParts are the CBOR items between the magic and the SHA-256.
func snapshotParts(t *testing.T, snapshot []byte) [][]byte {
	t.Helper()
	rest, known := bytes.CutPrefix(snapshot, []byte("decklever record\n"))
	if !known || len(rest) < sha256.Size {
		t.Fatalf("a snapshot begins with %q", snapshot[:min(len(snapshot), 20)])
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

// diagnose writes CBOR as text.
func diagnose(data []byte) string {
	text, err := cbor.Diagnose(data)
	if err != nil {
		return hex.EncodeToString(data)
	}
	return text
}
