package record

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/api"
)

// ErrSnapshot: a snapshot does not check or has a shape that is not known.
var ErrSnapshot = errors.New("record: snapshot cannot be read")

// Restore replaces the state by a snapshot, which must lie in durable storage
// already. On an error, which matches ErrSnapshot if the bytes are at fault,
// nothing changed.
func (m *Machine) Restore(reader io.Reader) error {
	data, err := io.ReadAll(reader)
	if err != nil {
		return fmt.Errorf("record: read snapshot: %w", err)
	}
	parts, err := verifySnapshot(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	restored, err := readState(parts, m.state.settings.orders.limit)
	if err != nil {
		return err
	}
	m.state = restored
	m.expiry = archiveExpiry{durableBefore: restored.expiredBefore}
	m.emit(StateReplaced{})
	return nil
}

// verifySnapshot checks frame and checksum and returns what lies between.
func verifySnapshot(data []byte) ([]byte, error) {
	if len(data) < len(snapshotMagic)+sha256.Size {
		return nil, fmt.Errorf("%w: %d bytes are too few", ErrSnapshot, len(data))
	}
	if !bytes.HasPrefix(data, []byte(snapshotMagic)) {
		return nil, fmt.Errorf("%w: not a snapshot of the record", ErrSnapshot)
	}
	end := len(data) - sha256.Size
	sum := sha256.Sum256(data[:end])
	if !bytes.Equal(sum[:], data[end:]) {
		return nil, fmt.Errorf("%w: checksum is wrong", ErrSnapshot)
	}
	return data[len(snapshotMagic):end], nil
}

// snapshotReader reads the parts one after the other.
type snapshotReader struct {
	decoder *cbor.Decoder
	size    int
	state   *state
}

func readState(parts []byte, maxConfigOrders int) (*state, error) {
	r := &snapshotReader{
		decoder: decoding.NewDecoder(bytes.NewReader(parts)),
		size:    len(parts),
		state:   newState(maxConfigOrders),
	}
	var header snapshotHeader
	if err := r.next(&header, "header"); err != nil {
		return nil, err
	}
	if header.Format != snapshotFormat {
		return nil, fmt.Errorf("%w: format %d, expected %d", ErrSnapshot, header.Format, snapshotFormat)
	}
	r.readHeader(&header)
	if err := r.readParts(&header); err != nil {
		return nil, err
	}
	if r.decoder.NumBytesRead() != r.size {
		return nil, fmt.Errorf("%w: bytes after the last part", ErrSnapshot)
	}
	return r.state, nil
}

func (r *snapshotReader) next(into any, part string) error {
	if err := r.decoder.Decode(into); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrSnapshot, part, err)
	}
	return nil
}

func (r *snapshotReader) readHeader(header *snapshotHeader) {
	r.state.applied = header.Applied
	r.state.clock = header.Clock
	r.state.expiredBefore = header.ExpiredBefore
	r.state.settings.activate(header.ConfigVersion, &header.Config)
	r.state.drainedZones = header.DrainedZones
	for _, window := range header.ReleasedWindows {
		r.state.addReleasedWindow(window)
	}
}

// readParts reads what the header counts; a count beyond the data ends in an
// error at the first part that is missing.
func (r *snapshotReader) readParts(header *snapshotHeader) error {
	readers := []struct {
		count int
		read  func() error
	}{
		{header.Versions, r.readVersion},
		{header.Orders, r.readOrder},
		{header.Workers, r.readWorker},
		{header.Jobs, r.readJob},
	}
	for _, reader := range readers {
		for range reader.count {
			if err := reader.read(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *snapshotReader) readVersion() error {
	var version api.ConfigVersion
	if err := r.next(&version, "configuration version"); err != nil {
		return err
	}
	r.state.settings.addVersion(version)
	return nil
}

func (r *snapshotReader) readOrder() error {
	var kept configOrder
	if err := r.next(&kept, "order"); err != nil {
		return err
	}
	if r.state.settings.orders.byID[kept.ID] != nil {
		return fmt.Errorf("%w: order %q stands twice", ErrSnapshot, kept.ID)
	}
	r.state.settings.orders.add(&kept)
	return nil
}

func (r *snapshotReader) readWorker() error {
	var worker Worker
	if err := r.next(&worker, "worker"); err != nil {
		return err
	}
	if r.state.workers[worker.Name] != nil || r.state.workersByID[worker.ID] != nil {
		return fmt.Errorf("%w: worker %q stands twice", ErrSnapshot, worker.Name)
	}
	r.state.workers[worker.Name] = &worker
	r.state.workersByID[worker.ID] = &worker
	return nil
}

func (r *snapshotReader) readJob() error {
	var read snapshotJob
	if err := r.next(&read, "job"); err != nil {
		return err
	}
	if r.state.jobs[read.ID] != nil {
		return fmt.Errorf("%w: job %q stands twice", ErrSnapshot, read.ID)
	}
	if err := read.matchesSpec(); err != nil {
		return err
	}
	job := &Job{ID: read.ID, Digest: read.Digest, Spec: *read.Spec, SubmittedAt: read.SubmittedAt}
	job.Cancelled = read.Cancelled
	job.Repetition = read.Repetition
	job.started = read.Started
	for _, number := range read.liveOccurrences() {
		job.addOccurrence(number)
	}
	for i, step := range job.Steps {
		if err := r.restoreStep(step, &read.Steps[i]); err != nil {
			return err
		}
	}
	r.state.addJob(job)
	return nil
}

// matchesSpec holds what was read against the spec before memory is taken for
// what the spec only counts.
func (j *snapshotJob) matchesSpec() error {
	if j.Spec == nil || (j.Spec.Repeat == nil) != (j.Repetition == nil) {
		return fmt.Errorf("%w: job %q: no spec, or it does not match the repetition", ErrSnapshot, j.ID)
	}
	live := j.liveOccurrences()
	if len(j.Steps) != len(live)*len(j.Spec.Steps) || !j.occurrenceNumbersValid(live) {
		return fmt.Errorf("%w: job %q: steps do not match the spec", ErrSnapshot, j.ID)
	}
	for i := range j.Steps {
		if len(j.Steps[i].Tasks) != j.Spec.Steps[i%len(j.Spec.Steps)].TaskCount() {
			return fmt.Errorf("%w: job %q: tasks do not match the spec", ErrSnapshot, j.ID)
		}
	}
	return nil
}

// liveOccurrences returns the numbers of the live occurrences.
func (j *snapshotJob) liveOccurrences() []int {
	if j.Repetition == nil {
		return []int{0}
	}
	return j.Occurrences
}

// occurrenceNumbersValid reports that live occurrences ascend and were added.
func (j *snapshotJob) occurrenceNumbersValid(live []int) bool {
	before := -1
	for _, number := range live {
		if number <= before || j.Repetition != nil && number >= j.Repetition.Next {
			return false
		}
		before = number
	}
	return true
}

func (r *snapshotReader) restoreStep(step *Step, read *snapshotStep) error {
	step.OpenDependencies = read.WaitsOn
	step.lastFailedRun = read.FailedRun
	for i, task := range step.Tasks {
		if err := r.restoreTask(task, &read.Tasks[i]); err != nil {
			return err
		}
	}
	return nil
}

func (r *snapshotReader) restoreTask(task *Task, read *snapshotTask) error {
	if !runMatchesState(task, read) {
		return fmt.Errorf("%w: task %s: state and run do not match", ErrSnapshot, task.ID)
	}
	task.State = read.State
	task.Failures = read.Failures
	task.AllowedFailures = read.AllowedFailures
	task.LastRun = read.LastRun
	task.LastWorker = read.LastWorker
	task.NotBefore = read.NotBefore
	task.Reason = read.Reason
	task.Preemptions = read.Preemptions
	task.checkpoint = checkpoint{text: read.Checkpoint, run: read.CheckpointRun, percent: read.CheckpointPercent}
	task.Step.Job.started = task.Step.Job.started || read.LastRun > 0
	restoreCounts(task)
	return r.restoreRun(task, read.Run)
}

// runMatchesState checks that a run is open where the state says so, and else
// only after the success of a group in lockstep.
func runMatchesState(task *Task, read *snapshotTask) bool {
	if read.State > TaskCancelled {
		return false
	}
	if read.State == TaskSucceeded && task.Step.Spec.Lockstep {
		return true
	}
	return (read.State == TaskPlaced) == (read.Run != nil)
}

// restoreCounts counts a final task in its step and job.
func restoreCounts(task *Task) {
	step, job := task.Step, task.Step.Job
	if !task.State.Final() {
		return
	}
	step.OpenTasks--
	job.OpenTasks--
	step.occurrence.openTasks--
	switch task.State {
	case TaskSucceeded:
		step.succeededTasks++
	case TaskFailed:
		step.FailedTasks++
		job.failedTasks++
	}
}

func (r *snapshotReader) restoreRun(task *Task, read *snapshotRun) error {
	if read == nil {
		return nil
	}
	worker := r.state.workers[task.LastWorker]
	if worker == nil || worker.ID != read.WorkerID {
		return fmt.Errorf("%w: task %s: its worker is not known", ErrSnapshot, task.ID)
	}
	task.Run = &Run{
		Task:     task,
		Number:   task.LastRun,
		WorkerID: read.WorkerID,
		Worker:   task.LastWorker,
		Token:    read.Token,
		PlacedAt: read.PlacedAt,
		Stop:     read.Stop,
	}
	return nil
}
