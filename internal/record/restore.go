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

// ErrSnapshot matches every SnapshotError: the bytes of a snapshot are damaged,
// inconsistent or of an unknown format.
var ErrSnapshot = errors.New("record: snapshot cannot be read")

// SnapshotError reports the part of a snapshot that cannot be restored. It matches
// ErrSnapshot.
type SnapshotError struct {
	// Part is the kind of the part, followed by its name if the name was read.
	Part string
	// Problem says what was found and what was expected.
	Problem string
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (e *SnapshotError) Error() string {
	text := fmt.Sprintf("%v: %s: %s", ErrSnapshot, e.Part, e.Problem)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns ErrSnapshot and the cause.
func (e *SnapshotError) Unwrap() []error {
	if e.Err == nil {
		return []error{ErrSnapshot}
	}
	return []error{ErrSnapshot, e.Err}
}

// Part kinds in a SnapshotError.
const (
	partFrame   = "frame"
	partHeader  = "header"
	partVersion = "configuration version"
	partOrder   = "configuration order"
	partWorker  = "worker"
	partJob     = "job"
	partTask    = "task"
)

// snapshotErrorf returns a SnapshotError for a part, whose name may be empty.
func snapshotErrorf(part, name, format string, args ...any) error {
	if name != "" {
		part = fmt.Sprintf("%s %q", part, name)
	}
	return &SnapshotError{Part: part, Problem: fmt.Sprintf(format, args...)}
}

// Restore replaces the state by a snapshot, which must already be in durable
// storage, and emits StateReplaced. On an error nothing is changed. The error is a
// SnapshotError if the bytes are damaged, inconsistent or of an unknown format.
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
	restored, err := readState(parts, m.state.config.orders.limit)
	if err != nil {
		return err
	}
	m.state = restored
	m.expiry = archiveExpiry{durableBefore: restored.expiredBefore}
	m.emit(StateReplaced{})
	return nil
}

// verifySnapshot checks the frame and the checksum, and returns the encoded parts.
func verifySnapshot(data []byte) ([]byte, error) {
	if len(data) < len(snapshotMagic)+sha256.Size {
		return nil, snapshotErrorf(partFrame, "", "%d bytes, expected at least %d", len(data), len(snapshotMagic)+sha256.Size)
	}
	if !bytes.HasPrefix(data, []byte(snapshotMagic)) {
		return nil, snapshotErrorf(partFrame, "", "starts with %q, expected %q", data[:len(snapshotMagic)], snapshotMagic)
	}
	end := len(data) - sha256.Size
	sum := sha256.Sum256(data[:end])
	if !bytes.Equal(sum[:], data[end:]) {
		return nil, snapshotErrorf(partFrame, "", "checksum is %x, expected %x", sum, data[end:])
	}
	return data[len(snapshotMagic):end], nil
}

// snapshotReader builds a state from the parts of a snapshot, in the order in which
// they are stored.
type snapshotReader struct {
	decoder *cbor.Decoder
	// size is the total length of the parts, in bytes.
	size  int
	state *state
}

// readState builds a state from the parts of a snapshot.
func readState(parts []byte, maxConfigOrders int) (*state, error) {
	r := &snapshotReader{
		decoder: decoding.NewDecoder(bytes.NewReader(parts)),
		size:    len(parts),
		state:   newState(maxConfigOrders),
	}
	var header snapshotHeader
	if err := r.next(&header, partHeader); err != nil {
		return nil, err
	}
	if header.Format != snapshotFormat {
		return nil, snapshotErrorf(partHeader, "", "format %d, expected %d", header.Format, snapshotFormat)
	}
	r.readHeader(&header)
	if err := r.readParts(&header); err != nil {
		return nil, err
	}
	if r.decoder.NumBytesRead() != r.size {
		return nil, snapshotErrorf(partFrame, "", "last part ends at byte %d, expected %d", r.decoder.NumBytesRead(), r.size)
	}
	return r.state, nil
}

// next decodes the next part.
func (r *snapshotReader) next(target any, part string) error {
	if err := r.decoder.Decode(target); err != nil {
		return &SnapshotError{Part: part, Problem: "cannot be decoded", Err: err}
	}
	return nil
}

// readHeader restores the values stored in the header itself.
func (r *snapshotReader) readHeader(header *snapshotHeader) {
	r.state.applied = header.Applied
	r.state.clock = header.Clock
	r.state.expiredBefore = header.ExpiredBefore
	r.state.config.activate(header.ConfigVersion, &header.Config)
	r.state.drainedZones = header.DrainedZones
	for _, job := range header.Withdrawn {
		r.state.withdrawn.add(job)
	}
	for _, window := range header.ReleasedWindows {
		r.state.addReleasedWindow(window)
	}
}

// readParts reads the parts that the header counts. It does not allocate memory by
// these counts: a count that exceeds the data ends in an error at the first missing
// part.
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

// readVersion reads one configuration version.
func (r *snapshotReader) readVersion() error {
	var version api.ConfigVersion
	if err := r.next(&version, partVersion); err != nil {
		return err
	}
	r.state.config.addVersion(version)
	return nil
}

// readOrder reads one decided configuration order. Order ids are unique.
func (r *snapshotReader) readOrder() error {
	var order configOrder
	if err := r.next(&order, partOrder); err != nil {
		return err
	}
	if r.state.config.orders.byID[order.ID] != nil {
		return snapshotErrorf(partOrder, order.ID, "found twice, expected once")
	}
	r.state.config.orders.add(&order)
	return nil
}

// readWorker reads one worker. Names and incarnation ids are unique.
func (r *snapshotReader) readWorker() error {
	var worker Worker
	if err := r.next(&worker, partWorker); err != nil {
		return err
	}
	if r.state.workers.byName[worker.Name] != nil || r.state.workers.byID[worker.ID] != nil {
		return snapshotErrorf(partWorker, worker.Name, "name or id %q found twice, expected once", worker.ID)
	}
	r.state.workers.put(&worker)
	return nil
}

// readJob reads a live job. The queue counts are derived from its tasks.
func (r *snapshotReader) readJob() error {
	var stored snapshotJob
	if err := r.next(&stored, partJob); err != nil {
		return err
	}
	if r.state.jobs.byID[stored.ID] != nil {
		return snapshotErrorf(partJob, stored.ID, "found twice, expected once")
	}
	if err := stored.validate(); err != nil {
		return err
	}
	job := &Job{ID: stored.ID, Digest: stored.Digest, Spec: *stored.Spec, SubmittedAt: stored.SubmittedAt}
	job.Cancelled = stored.Cancelled
	job.Repetition = stored.Repetition
	job.started = stored.Started
	for _, number := range stored.liveOccurrences() {
		job.addOccurrence(number)
	}
	for i, step := range job.Steps {
		if err := r.restoreStep(step, &stored.Steps[i]); err != nil {
			return err
		}
	}
	r.state.addJob(job)
	return nil
}

// validate checks the stored job against its spec, before memory is allocated by
// the spec's task counts.
func (j *snapshotJob) validate() error {
	if j.Spec == nil {
		return snapshotErrorf(partJob, j.ID, "has no spec")
	}
	if repeats := j.Spec.Repeat != nil; repeats != (j.Repetition != nil) {
		return snapshotErrorf(partJob, j.ID, "has repetition: %t, expected by its spec: %t", !repeats, repeats)
	}
	live := j.liveOccurrences()
	if !j.occurrenceNumbersValid(live) {
		return snapshotErrorf(partJob, j.ID, "live occurrences %v, expected ascending numbers of added ones", live)
	}
	if expected := len(live) * len(j.Spec.Steps); len(j.Steps) != expected {
		return snapshotErrorf(partJob, j.ID, "%d steps, expected %d", len(j.Steps), expected)
	}
	for i := range j.Steps {
		tasks, expected := len(j.Steps[i].Tasks), j.Spec.Steps[i%len(j.Spec.Steps)].TaskCount()
		if tasks != expected {
			return snapshotErrorf(partJob, j.ID, "%d tasks in step %d, expected %d", tasks, i, expected)
		}
	}
	return nil
}

// liveOccurrences returns the numbers of the job's live occurrences.
func (j *snapshotJob) liveOccurrences() []int {
	if j.Repetition == nil {
		return []int{0}
	}
	return j.Occurrences
}

// occurrenceNumbersValid reports whether the numbers of the live occurrences are
// ascending and belong to occurrences that were already added.
func (j *snapshotJob) occurrenceNumbersValid(live []int) bool {
	previous := -1
	for _, number := range live {
		if number <= previous || j.Repetition != nil && number >= j.Repetition.Next {
			return false
		}
		previous = number
	}
	return true
}

// restoreStep restores a step of a live occurrence and its tasks.
func (r *snapshotReader) restoreStep(step *Step, stored *snapshotStep) error {
	step.OpenDependencies = stored.WaitsOn
	step.lastFailedRun = stored.FailedRun
	for i, task := range step.Tasks {
		if err := r.restoreTask(task, &stored.Tasks[i]); err != nil {
			return err
		}
	}
	return nil
}

// restoreTask restores a task and its open run.
func (r *snapshotReader) restoreTask(task *Task, stored *snapshotTask) error {
	if !runMatchesState(task, stored) {
		return snapshotErrorf(partTask, task.ID.String(), "state %d with open run: %t", stored.State, stored.Run != nil)
	}
	task.State = stored.State
	task.Failures = stored.Failures
	task.AllowedFailures = stored.AllowedFailures
	task.LastRun = stored.LastRun
	task.LastWorker = stored.LastWorker
	task.NotBefore = stored.NotBefore
	task.Reason = stored.Reason
	task.Preemptions = stored.Preemptions
	task.checkpoint = checkpoint{text: stored.Checkpoint, run: stored.CheckpointRun, percent: stored.CheckpointPercent}
	task.Step.Job.started = task.Step.Job.started || stored.LastRun > 0
	if task.State.Final() {
		task.countFinal()
	}
	return r.restoreRun(task, stored.Run)
}

// runMatchesState reports whether the state is known and consistent with the
// presence of an open run: a task has an open run exactly if it is placed. A
// succeeded member of a gang with a common outcome may also have one, since its run
// can stay open after the gang's success.
func runMatchesState(task *Task, stored *snapshotTask) bool {
	if stored.State > TaskCancelled {
		return false
	}
	if stored.State == TaskSucceeded && task.Step.SharesOutcome() {
		return true
	}
	return (stored.State == TaskPlaced) == (stored.Run != nil)
}

// restoreRun restores the open run of a task, if it has one. The run's worker must
// have been restored before.
func (r *snapshotReader) restoreRun(task *Task, stored *snapshotRun) error {
	if stored == nil {
		return nil
	}
	worker := r.state.workers.byName[task.LastWorker]
	if worker == nil || worker.ID != stored.WorkerID {
		return snapshotErrorf(partTask, task.ID.String(), "its open run is on worker %q with id %q, which is not known", task.LastWorker, stored.WorkerID)
	}
	task.Run = &Run{
		Task:     task,
		Number:   task.LastRun,
		WorkerID: stored.WorkerID,
		Worker:   task.LastWorker,
		Token:    stored.Token,
		PlacedAt: stored.PlacedAt,
		Stop:     stored.Stop,
	}
	return nil
}
