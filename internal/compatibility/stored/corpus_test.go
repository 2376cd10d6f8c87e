package stored

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

// ordersKept is less than the script has, so that the oldest is dropped.
const ordersKept = 3

// keptEntries stay in the log behind a snapshot.
const keptEntries = 5

// Places of the script after which the replica of the corpus takes a snapshot.
var snapshotAfter = map[string]bool{"first configuration": true, "repeating job": true, "workers forgotten": true, "expiry": true}

// member is a replica of the corpus.
func member(id raft.ReplicaID, zone string) raft.Member {
	return raft.Member{ID: id, Name: "scheduler-" + zone, Zone: zone, Address: "127.0.0.1:71" + string(id[len(id)-2:])}
}

// memberships are those that the log of the corpus goes through: three founders,
// a learner, the joint change in which it takes a voter's place, and its end.
func memberships() []raft.Membership {
	north, south, west := member("00000000000000a1", "north"), member("00000000000000a2", "south"), member("00000000000000a3", "west")
	newcomer := member("00000000000000a4", "west")
	founders := []raft.Member{north, south, west}
	changed := []raft.Member{north, south, newcomer}
	return []raft.Membership{
		{Voters: founders},
		{Voters: founders, Learners: []raft.Member{newcomer}},
		{Voters: changed, Outgoing: founders, Learners: []raft.Member{west}},
		{Voters: changed},
	}
}

// writer is a replica that writes the corpus, as package replica would.
type writer struct {
	t         *testing.T
	directory string
	store     *storage.Disk
	machine   *record.Machine
	last      raft.Entry
	// hardState has the commit index that the next write carries.
	hardState  raft.HardState
	membership raft.Membership
	// snapshots is false for a replica whose log goes back to its beginning.
	snapshots bool
	// commands and results are the lines of the golden files.
	commands, results bytes.Buffer
}

func newWriter(t *testing.T, directory string) *writer {
	t.Helper()
	store, err := storage.OpenDisk(storage.DiskConfig{Directory: directory})
	if err != nil {
		t.Fatal(err)
	}
	machine := newMachine(store)
	w := &writer{t: t, directory: directory, store: store, machine: machine}
	machine.Observe(nil, func(event record.Event) { w.results.WriteString("  " + describeEvent(event) + "\n") })
	return w
}

// found writes the snapshot with which a cluster begins.
func (w *writer) found() {
	w.t.Helper()
	w.last = raft.Entry{Index: 1, Term: 1}
	w.membership = memberships()[0]
	w.saveSnapshot(0)
}

// lead begins a term with its first entry.
func (w *writer) lead(term uint64) {
	w.t.Helper()
	w.hardState.Term, w.hardState.VotedFor = term, "00000000000000a1"
	w.write(raft.EntryNoop, nil)
}

// write appends one entry and applies nothing; the entry before it is committed.
func (w *writer) write(kind raft.EntryKind, data []byte) {
	w.t.Helper()
	w.hardState.Commit = w.last.Index
	w.last = raft.Entry{Index: w.last.Index + 1, Term: w.hardState.Term, Kind: kind, Data: data}
	hardState := w.hardState
	if err := w.store.Save(&hardState, []raft.Entry{w.last}, true); err != nil {
		w.t.Fatal(err)
	}
	if kind != raft.EntryCommand {
		w.machine.Skip(w.last.Index)
	}
}

func (w *writer) changeMembership(membership raft.Membership) {
	w.t.Helper()
	data, err := raft.EncodeMembership(membership)
	if err != nil {
		w.t.Fatal(err)
	}
	w.write(raft.EntryMembership, data)
	w.membership = membership
}

// run writes and applies a command, and notes what it did.
func (w *writer) run(c command) {
	w.t.Helper()
	if c.Token != w.hardState.Term {
		w.lead(c.Token)
	}
	data, err := record.Encode(c.Command)
	if err != nil {
		w.t.Fatalf("%s: %v", c.name, err)
	}
	w.commands.WriteString(c.name + "\t" + printable(data) + "\n")
	w.results.WriteString(c.name + "\n")
	w.write(raft.EntryCommand, data)
	result, err := w.machine.Apply(w.last.Index, data)
	if err != nil {
		w.t.Fatalf("%s: %v", c.name, err)
	}
	w.results.WriteString(describeResult(result))
	if w.snapshots && snapshotAfter[c.name] {
		w.saveSnapshot(keptEntries)
	}
}

func (w *writer) saveSnapshot(keep uint64) {
	w.t.Helper()
	_, write, err := w.machine.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	meta := raft.SnapshotMeta{Index: w.last.Index, Term: w.last.Term, Membership: w.membership}
	if err := w.store.SaveSnapshot(meta, keep, write); err != nil {
		w.t.Fatal(err)
	}
}

// replaceTail leaves entries of an earlier term that a later one replaced, and
// one that is not committed.
func (w *writer) replaceTail() {
	w.t.Helper()
	w.lead(5)
	kept := w.last
	w.hardState.Commit = kept.Index
	for range 3 {
		w.last = raft.Entry{Index: w.last.Index + 1, Term: 5, Kind: raft.EntryNoop}
		if err := w.store.Save(nil, []raft.Entry{w.last}, true); err != nil {
			w.t.Fatal(err)
		}
	}
	w.last = kept
	w.hardState.Term, w.hardState.VotedFor = 7, "00000000000000a2"
	entries := []raft.Entry{{Index: kept.Index + 1, Term: 7, Kind: raft.EntryNoop}, {Index: kept.Index + 2, Term: 7, Kind: raft.EntryNoop}}
	hardState := w.hardState
	if err := w.store.Save(&hardState, entries, true); err != nil {
		w.t.Fatal(err)
	}
}

// corpus is what the present code writes for the script.
type corpus struct {
	commands, results []byte
	snapshot, view    []byte
	// folders are the data folders, by name.
	folders map[string]string
}

// writeCorpus plays the script on a voter that takes snapshots and on one that
// has none but the first, and hands the state to a newcomer.
func writeCorpus(t *testing.T) corpus {
	t.Helper()
	voter, unshortened := newWriter(t, filepath.Join(t.TempDir(), "voter")), newWriter(t, filepath.Join(t.TempDir(), "unshortened"))
	voter.snapshots = true
	folders := make(map[string]string)
	for name, w := range map[string]*writer{"voter": voter, "unshortened": unshortened} {
		defer func() { _ = w.store.Close() }()
		w.play()
		folders[name] = filepath.Join(t.TempDir(), "killed")
		copyFolder(t, w.directory, folders[name])
	}
	folders["newcomer"] = writeNewcomer(t, voter)
	return corpus{
		commands: voter.commands.Bytes(),
		results:  voter.results.Bytes(),
		snapshot: snapshotOf(t, voter.machine),
		view:     viewOf(t, voter.machine, submittedJobs()),
		folders:  folders,
	}
}

// play runs the whole script, with a change of the membership between.
func (w *writer) play() {
	w.t.Helper()
	w.found()
	for _, c := range script() {
		w.run(c)
		switch c.name {
		case "three workers":
			w.changeMembership(memberships()[1])
			w.changeMembership(memberships()[2])
		case "expiry":
			w.changeMembership(memberships()[3])
			if w.snapshots {
				w.saveSnapshot(keptEntries)
			}
		}
	}
	w.replaceTail()
}

// writeNewcomer copies archive and snapshot of a voter and goes on a little.
func writeNewcomer(t *testing.T, voter *writer) string {
	t.Helper()
	directory := filepath.Join(t.TempDir(), "newcomer")
	w := newWriter(t, directory)
	jobs, err := voter.store.Archive().Page(0, "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(w.store.Archive().Put(jobs), w.store.Archive().Sync()); err != nil {
		t.Fatal(err)
	}
	meta, data, found, err := voter.store.OpenSnapshot()
	if err != nil || !found {
		t.Fatalf("the voter has no snapshot: %v", err)
	}
	defer func() { _ = data.Close() }()
	content, err := io.ReadAll(data)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.machine.Restore(bytes.NewReader(content)); err != nil {
		t.Fatal(err)
	}
	w.hardState = raft.HardState{Term: meta.Term}
	w.last = raft.Entry{Index: meta.Index, Term: meta.Term}
	if err := w.store.Save(&w.hardState, nil, true); err != nil {
		t.Fatal(err)
	}
	if err := w.store.InstallSnapshot(meta, bytes.NewReader(content)); err != nil {
		t.Fatal(err)
	}
	commands := script()
	w.run(commands[len(commands)-1])
	w.lead(5)
	if err := w.store.Save(&raft.HardState{Term: 5, VotedFor: "00000000000000a1", Commit: w.last.Index}, nil, true); err != nil {
		t.Fatal(err)
	}
	if err := w.store.Close(); err != nil {
		t.Fatal(err)
	}
	return directory
}

func snapshotOf(t *testing.T, machine *record.Machine) []byte {
	t.Helper()
	_, write, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var data bytes.Buffer
	if err := write(&data); err != nil {
		t.Fatal(err)
	}
	return data.Bytes()
}

// copyFolder copies the files of a folder as they are now.
func copyFolder(t *testing.T, from, to string) {
	t.Helper()
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

// packFolder writes the files of a folder into a compressed archive.
func packFolder(t *testing.T, directory, file string) {
	t.Helper()
	var packed bytes.Buffer
	compressed := gzip.NewWriter(&packed)
	archive := tar.NewWriter(compressed)
	if err := archive.AddFS(os.DirFS(directory)); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(archive.Close(), compressed.Close(), os.WriteFile(file, packed.Bytes(), 0o600)); err != nil {
		t.Fatal(err)
	}
}

// unpackFolder is the reverse of packFolder, into a new folder.
func unpackFolder(t *testing.T, file string) string {
	t.Helper()
	packed, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = packed.Close() }()
	uncompressed, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	archive := tar.NewReader(uncompressed)
	for {
		header, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return directory
		}
		if err != nil {
			t.Fatal(err)
		}
		content, err := io.ReadAll(archive)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(directory, filepath.Base(header.Name)), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
