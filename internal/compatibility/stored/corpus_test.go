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

// maxConfigOrders is the number of configuration orders whose outcome is kept. It is
// lower than the number of orders in the script, so that the oldest are dropped.
const maxConfigOrders = 3

// retainedEntries is the number of entries up to a snapshot's index that stay in the
// log.
const retainedEntries = 5

// snapshotAfter names the commands of the script after which the voter of the corpus
// takes a snapshot.
var snapshotAfter = map[string]bool{"first configuration": true, "repeating job": true, "workers forgotten": true, "expiry": true}

// member returns a replica of the corpus.
func member(id raft.ReplicaID, zone string) raft.Member {
	return raft.Member{ID: id, Name: "scheduler-" + zone, Zone: zone, Address: "127.0.0.1:71" + string(id[len(id)-2:])}
}

// memberships returns the successive memberships in the log of the corpus: three
// founders, the same with a learner, the joint membership while the learner replaces
// a voter, and the final membership.
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

// writer writes the data folder of one replica of the corpus in the way of package
// replica.
type writer struct {
	t         *testing.T
	directory string
	store     *storage.Disk
	machine   *record.Machine
	last      raft.Entry
	// hardState is saved with each entry; write first sets its commit index to the
	// entry before.
	hardState  raft.HardState
	membership raft.Membership
	// takesSnapshots is false for a replica that has only its first snapshot, so that
	// its log has every entry.
	takesSnapshots bool
	// commands and results are the content of commands.txt and results.txt.
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

// bootstrap writes the first snapshot of a new cluster, with the founders.
func (w *writer) bootstrap() {
	w.t.Helper()
	w.last = raft.Entry{Index: 1, Term: 1}
	w.membership = memberships()[0]
	w.saveSnapshot(0)
}

// beginTerm writes the no-op entry with which a new leader begins its term.
func (w *writer) beginTerm(term uint64) {
	w.t.Helper()
	w.hardState.Term, w.hardState.VotedFor = term, "00000000000000a1"
	w.write(raft.EntryNoop, nil)
}

// write appends one entry and commits the entry before it. It does not apply a
// command; its caller does.
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

// applyCommand writes and applies a command, in a new term if the command's token
// requires it, and records the result and the events. It takes a snapshot after the
// commands in snapshotAfter.
func (w *writer) applyCommand(c command) {
	w.t.Helper()
	if c.Token != w.hardState.Term {
		w.beginTerm(c.Token)
	}
	data, err := record.Encode(c.Command)
	if err != nil {
		w.t.Fatalf("%s: %v", c.name, err)
	}
	w.commands.WriteString(c.name + "\t" + hexOrDigest(data) + "\n")
	w.results.WriteString(c.name + "\n")
	w.write(raft.EntryCommand, data)
	result, err := w.machine.Apply(w.last.Index, data)
	if err != nil {
		w.t.Fatalf("%s: %v", c.name, err)
	}
	w.results.WriteString(describeResult(result))
	if w.takesSnapshots && snapshotAfter[c.name] {
		w.saveSnapshot(retainedEntries)
	}
}

func (w *writer) saveSnapshot(retainEntries uint64) {
	w.t.Helper()
	_, write, err := w.machine.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	meta := raft.SnapshotMeta{Index: w.last.Index, Term: w.last.Term, Membership: w.membership}
	if err := w.store.SaveSnapshot(meta, retainEntries, write); err != nil {
		w.t.Fatal(err)
	}
}

// replaceTail writes three entries of term 5 that two entries of term 7 replace. The
// entries of term 7 are not committed.
func (w *writer) replaceTail() {
	w.t.Helper()
	w.beginTerm(5)
	lastOfTerm := w.last
	w.hardState.Commit = lastOfTerm.Index
	for range 3 {
		w.last = raft.Entry{Index: w.last.Index + 1, Term: 5, Kind: raft.EntryNoop}
		if err := w.store.Save(nil, []raft.Entry{w.last}, true); err != nil {
			w.t.Fatal(err)
		}
	}
	w.last = lastOfTerm
	w.hardState.Term, w.hardState.VotedFor = 7, "00000000000000a2"
	entries := []raft.Entry{{Index: lastOfTerm.Index + 1, Term: 7, Kind: raft.EntryNoop}, {Index: lastOfTerm.Index + 2, Term: 7, Kind: raft.EntryNoop}}
	hardState := w.hardState
	if err := w.store.Save(&hardState, entries, true); err != nil {
		w.t.Fatal(err)
	}
}

// corpus has the outputs and data folders that the current code writes for the script.
type corpus struct {
	commands, results []byte
	snapshot, view    []byte
	// folders has the path of each data folder by name.
	folders map[string]string
}

// writeCorpus applies the script on a voter that takes snapshots and on one that has
// only its first snapshot, and then writes the folder of a newcomer that joins from
// the voter. The folders of the voters are copied before their stores are closed, as
// if the processes had been killed.
func writeCorpus(t *testing.T) corpus {
	t.Helper()
	voter, unshortened := newWriter(t, filepath.Join(t.TempDir(), "voter")), newWriter(t, filepath.Join(t.TempDir(), "unshortened"))
	voter.takesSnapshots = true
	folders := make(map[string]string)
	for name, w := range map[string]*writer{"voter": voter, "unshortened": unshortened} {
		defer func() { _ = w.store.Close() }()
		w.applyScript()
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

// applyScript applies the complete script, interleaved with changes of the membership,
// and ends with replaceTail.
func (w *writer) applyScript() {
	w.t.Helper()
	w.bootstrap()
	for _, c := range script() {
		w.applyCommand(c)
		switch c.name {
		case "three workers":
			w.changeMembership(memberships()[1])
			w.changeMembership(memberships()[2])
		case "expiry":
			w.changeMembership(memberships()[3])
			if w.takesSnapshots {
				w.saveSnapshot(retainedEntries)
			}
		}
	}
	w.replaceTail()
}

// writeNewcomer writes the folder of a replica that receives the archive and the
// snapshot of voter, appends the last command of the script and a new term, and is
// closed. It returns the folder's path.
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
		t.Fatalf("voter's snapshot is missing or cannot be opened: error %v", err)
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
	w.applyCommand(commands[len(commands)-1])
	w.beginTerm(5)
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

// copyFolder copies the files of a folder in their current state.
func copyFolder(t *testing.T, from, to string) {
	t.Helper()
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

// packFolder writes the files of a folder into a tar file compressed with gzip.
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

// unpackFolder unpacks a file that packFolder wrote into a new temporary folder, and
// returns the folder's path.
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
