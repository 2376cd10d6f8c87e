// Package earlier wrote the commands, snapshots and data folders in this folder. It
// compiles only with the sources of the commits that the files are named after. To run
// it, copy it into a folder of a work tree of such a commit:
//
//	EARLIER_OUT=FOLDER EARLIER_COMMIT=COMMIT go test -run TestMakeEarlierForms .
package earlier

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

const startTime record.Millis = 1_767_225_600_000

func TestMakeEarlierForms(t *testing.T) {
	out, commit := os.Getenv("EARLIER_OUT"), os.Getenv("EARLIER_COMMIT")
	directory := filepath.Join(t.TempDir(), "data")
	store, err := storage.OpenDisk(storage.DiskConfig{Directory: directory})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	machine := record.NewMachine(record.Config{Archive: store.Archive(), OrdersKept: 3})
	voters := []raft.Member{{ID: "00000000000000a1", Name: "scheduler-1", Zone: "north", Address: "127.0.0.1:7100"}}
	meta := raft.SnapshotMeta{Index: 1, Term: 1, Membership: raft.Membership{Voters: voters}}
	_, write, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := store.SaveSnapshot(meta, 0, write); err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	index := uint64(1)
	for i, command := range commands() {
		command.Time, command.Token = startTime+record.Millis(i)*1000, 2
		data, err := record.Encode(command)
		if err != nil {
			t.Fatal(err)
		}
		lines.WriteString(hex.EncodeToString(data) + "\n")
		index++
		hardState := raft.HardState{Term: 2, VotedFor: "00000000000000a1", Commit: index - 1}
		if err := store.Save(&hardState, []raft.Entry{{Index: index, Term: 2, Data: data}}, true); err != nil {
			t.Fatal(err)
		}
		if _, err := machine.Apply(index, data); err != nil {
			t.Fatal(err)
		}
		if i == len(commands())/2 {
			meta.Index, meta.Term = index, 2
			_, write, err := machine.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := store.SaveSnapshot(meta, 3, write); err != nil {
				t.Fatal(err)
			}
		}
	}
	hardState := raft.HardState{Term: 2, VotedFor: "00000000000000a1", Commit: index}
	if err := store.Save(&hardState, nil, true); err != nil {
		t.Fatal(err)
	}
	_, write, err = machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var snapshot bytes.Buffer
	if err := write(&snapshot); err != nil {
		t.Fatal(err)
	}
	prefix := filepath.Join(out, commit)
	if err := errors.Join(
		os.WriteFile(prefix+".commands.txt", lines.Bytes(), 0o644),
		os.WriteFile(prefix+".snapshot", snapshot.Bytes(), 0o644),
	); err != nil {
		t.Fatal(err)
	}
	var packed bytes.Buffer
	compressed := gzip.NewWriter(&packed)
	archive := tar.NewWriter(compressed)
	if err := archive.AddFS(os.DirFS(directory)); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(archive.Close(), compressed.Close(), os.WriteFile(prefix+".tar.gz", packed.Bytes(), 0o644)); err != nil {
		t.Fatal(err)
	}
}

func config() api.Config {
	return api.Config{
		Queues: []api.QueueConfig{
			{Name: "batch", Priority: 5, Weight: 2, MaxRunningTasks: 50, MaxPendingTasks: 500, DefaultAllowedFailures: 2},
			{Name: "narrow", MaxRunningTasks: 1},
		},
		Drains:  api.DrainConfig{Workers: []string{"retired"}, Zones: []string{"west"}},
		Limits:  api.LimitConfig{MaxJobBytes: 1 << 20, MaxTasksPerJob: 100, MaxPendingTasks: 1000},
		Timings: api.TimingConfig{RetryDelay: api.Duration(250 * time.Millisecond), Retention: api.Duration(time.Hour)},
	}
}

func job(queue string, steps ...api.StepSpec) api.JobSpec {
	return api.JobSpec{Queue: queue, Priority: 3, Steps: steps}
}

func step(name string, count int, after ...string) api.StepSpec {
	made := api.StepSpec{Name: name, After: after}
	for range count {
		made.Tasks = append(made.Tasks, api.TaskSpec{
			Service: "convert", Resources: api.Resources{CPUMillis: 100, MemoryMB: 10}, Payload: json.RawMessage(`{"a": 1}`),
		})
	}
	return made
}

func submit(id string, spec api.JobSpec) record.Command {
	return record.Command{Submit: &record.Submit{ID: id, Spec: spec, Digest: spec.Digest()}}
}

func run(job, step string, index int, number uint32) record.RunID {
	return record.RunID{Task: record.TaskID{Job: job, Step: step, Index: index}, Number: number}
}

func place(runs ...record.RunID) record.Command {
	placed := &record.Place{}
	for i, one := range runs {
		worker := []string{"w1", "w2"}[i%2]
		placed.Placements = append(placed.Placements, record.Placement{Run: one, Worker: worker, WorkerID: worker + "-life-1"})
	}
	return record.Command{Place: placed}
}

func end(outcome api.Outcome, runs ...record.RunID) record.Command {
	closed := &record.Close{}
	for _, one := range runs {
		closed.Runs = append(closed.Runs, record.RunEnd{Run: one, Outcome: outcome, Message: "why"})
	}
	return record.Command{Close: closed}
}

func worker(name string) record.Worker {
	return record.Worker{
		Name: name, ID: name + "-life-1", Zone: "north", Capacity: api.Resources{CPUMillis: 4000, MemoryMB: 4096},
		Services: []string{"convert"}, Labels: map[string]string{"disk": "fast"}, RegisteredAt: 7,
	}
}

func commands() []record.Command {
	first, second := config(), config()
	second.Queues[0].Weight = 4
	notBefore := time.UnixMilli(int64(startTime) + 3_600_000).UTC()
	later, gang := step("later", 1), step("gang", 2)
	later.NotBefore, gang.Together = &notBefore, true
	gang.Tasks[0].Spread = &api.Spread{By: api.SpreadByWorker}
	endless := step("serve", 1)
	endless.Tasks[0].UntilCancelled, endless.Tasks[0].Preemptible = true, true
	order := func(id string, base uint64, config api.Config) record.Command {
		return record.Command{PutConfig: &record.PutConfig{OrderID: id, Base: base, Config: config, Digest: config.Digest()}}
	}
	return []record.Command{
		order("order-1", 0, first),
		order("order-2", 0, second),
		order("order-3", 1, second),
		{Register: &record.RegisterWorkers{Workers: []record.Worker{worker("w1"), worker("w2"), worker("w3")}}},
		submit("chain", job("batch", step("a", 2), step("b", 1, "a"))),
		submit("ended", job("batch", step("a", 1))),
		submit("failed", job("batch", step("a", 1), step("b", 1, "a"))),
		submit("waiting", job("narrow", later)),
		submit("gang", job("batch", gang)),
		submit("endless", job("batch", endless)),
		submit("cancelled", job("batch", step("a", 1))),
		submit("stopping", job("batch", step("a", 2))),
		place(run("chain", "a", 0, 1), run("chain", "a", 1, 1), run("ended", "a", 0, 1), run("failed", "a", 0, 1)),
		end(api.OutcomeSucceeded, run("ended", "a", 0, 1), run("chain", "a", 0, 1)),
		end(api.OutcomeFailed, run("failed", "a", 0, 1)),
		place(run("failed", "a", 0, 2)),
		end(api.OutcomeFailed, run("failed", "a", 0, 2)),
		place(run("gang", "gang", 0, 1), run("gang", "gang", 1, 1)),
		place(run("endless", "serve", 0, 1), run("stopping", "a", 0, 1), run("stopping", "a", 1, 1)),
		end(api.OutcomeLost, run("endless", "serve", 0, 1)),
		{Stop: &record.Stop{Runs: []record.RunID{run("stopping", "a", 0, 1)}, Reason: record.StopDrained}},
		{Stop: &record.Stop{Runs: []record.RunID{run("stopping", "a", 1, 1)}, Reason: record.StopPreempted}},
		end(api.OutcomeStopped, run("stopping", "a", 1, 1)),
		{Cancel: &record.Cancel{Jobs: []string{"cancelled"}}},
		{Forget: &record.ForgetWorkers{Names: []string{"w3"}}},
		{Expire: &record.ExpireArchive{Before: startTime + 10, Limit: 5}},
	}
}
