package record

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"

	"github.com/decklever/decklever/api"
)

// A snapshot consists of snapshotMagic, a CBOR sequence (RFC 8742) of one
// snapshotHeader and the parts that it counts, and the SHA-256 of all preceding
// bytes. Equal states give equal bytes on every replica.
//
// Snapshots are stored data: a field keeps its key and meaning. A field added later
// is marked omitempty, and its comment states what its absence means.
const (
	snapshotMagic  = "decklever record\n"
	snapshotFormat = 1
)

// snapshotHeader is the first part of a snapshot. It is followed by the
// configuration versions and the configuration orders, both oldest first, then the
// workers by name and the jobs by id. The header contains the number of each.
type snapshotHeader struct {
	Format        int        `cbor:"1,keyasint"`
	Applied       uint64     `cbor:"2,keyasint"`
	Clock         Millis     `cbor:"3,keyasint"`
	ExpiredBefore Millis     `cbor:"4,keyasint"`
	ConfigVersion uint64     `cbor:"5,keyasint"`
	Config        api.Config `cbor:"6,keyasint"`
	Versions      int        `cbor:"7,keyasint"`
	Orders        int        `cbor:"8,keyasint"`
	Workers       int        `cbor:"9,keyasint"`
	Jobs          int        `cbor:"10,keyasint"`
	// ReleasedWindows and DrainedZones are absent from snapshots of earlier
	// programs, which had neither.
	ReleasedWindows []ReleaseWindow `cbor:"11,keyasint,omitempty"`
	DrainedZones    []string        `cbor:"12,keyasint,omitempty"`
	// Withdrawn is absent from snapshots of earlier programs, which withdrew no jobs.
	// It is ordered by time.
	Withdrawn []withdrawnJob `cbor:"13,keyasint,omitempty"`
}

// snapshotJob is a live job. Steps and Tasks are in the order of the spec. The
// steps of a repeating job are listed occurrence by occurrence.
type snapshotJob struct {
	ID          string         `cbor:"1,keyasint"`
	Digest      string         `cbor:"2,keyasint"`
	Spec        *api.JobSpec   `cbor:"3,keyasint"`
	SubmittedAt Millis         `cbor:"4,keyasint"`
	Cancelled   bool           `cbor:"5,keyasint,omitempty"`
	Steps       []snapshotStep `cbor:"6,keyasint"`
	// Repetition is absent unless the job repeats. Occurrences contains the numbers
	// of the live occurrences of a repeating job.
	Repetition  *Repetition `cbor:"7,keyasint,omitempty"`
	Occurrences []int       `cbor:"8,keyasint,omitempty"`
	// Started is set only for a repeating job, for which it cannot be derived from
	// the live tasks.
	Started bool `cbor:"9,keyasint,omitempty"`
}

// snapshotStep is one step of a live occurrence.
type snapshotStep struct {
	WaitsOn int            `cbor:"1,keyasint,omitempty"`
	Tasks   []snapshotTask `cbor:"2,keyasint"`
	// FailedRun is Step.lastFailedRun. It is absent from snapshots of earlier
	// programs.
	FailedRun uint32 `cbor:"3,keyasint,omitempty"`
}

// snapshotTask is one task of a live occurrence. Preemptions and the checkpoint are
// absent from snapshots of earlier programs.
type snapshotTask struct {
	State             TaskState    `cbor:"1,keyasint,omitempty"`
	Failures          int          `cbor:"2,keyasint,omitempty"`
	AllowedFailures   int          `cbor:"3,keyasint"`
	LastRun           uint32       `cbor:"4,keyasint,omitempty"`
	LastWorker        string       `cbor:"5,keyasint,omitempty"`
	NotBefore         Millis       `cbor:"6,keyasint,omitempty"`
	Reason            string       `cbor:"7,keyasint,omitempty"`
	Run               *snapshotRun `cbor:"8,keyasint,omitempty"`
	Preemptions       int          `cbor:"9,keyasint,omitempty"`
	Checkpoint        string       `cbor:"10,keyasint,omitempty"`
	CheckpointRun     uint32       `cbor:"11,keyasint,omitempty"`
	CheckpointPercent int          `cbor:"12,keyasint,omitempty"`
}

// snapshotRun is the open run of a task. Its number and worker are the task's
// LastRun and LastWorker.
type snapshotRun struct {
	WorkerID string     `cbor:"1,keyasint"`
	Token    uint64     `cbor:"2,keyasint"`
	PlacedAt Millis     `cbor:"3,keyasint"`
	Stop     StopReason `cbor:"4,keyasint,omitempty"`
}

// Snapshot captures the state. It returns the index of the last entry in the
// capture and a function that writes the capture. Only the capture holds the lock:
// write may run while entries are applied. write must be called at most once, from
// any goroutine. Snapshot syncs the archive before it returns, because the snapshot
// omits the archived jobs. Its error is that of the archive; the error of write is
// that of the writer.
func (m *Machine) Snapshot() (index uint64, write func(io.Writer) error, err error) {
	captured, expiry := m.capture()
	if err := m.archive.Sync(); err != nil {
		return 0, nil, fmt.Errorf("record: sync archive: %w", err)
	}
	write = func(writer io.Writer) error {
		if err := captured.write(writer); err != nil {
			return fmt.Errorf("record: write snapshot: %w", err)
		}
		expiry.written.Store(true)
		return nil
	}
	return captured.header.Applied, write, nil
}

// write writes the snapshot with its checksum.
func (c *capture) write(writer io.Writer) error {
	sum := sha256.New()
	buffered := bufio.NewWriter(io.MultiWriter(writer, sum))
	if err := c.writeParts(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	_, err := writer.Write(sum.Sum(nil))
	return err
}

// writeParts writes everything before the checksum.
func (c *capture) writeParts(writer io.Writer) error {
	if _, err := io.WriteString(writer, snapshotMagic); err != nil {
		return err
	}
	encoder := encoding.NewEncoder(writer)
	if err := encoder.Encode(&c.header); err != nil {
		return err
	}
	for i := range c.versions {
		if err := encoder.Encode(&c.versions[i]); err != nil {
			return err
		}
	}
	for _, order := range c.orders {
		if err := encoder.Encode(order); err != nil {
			return err
		}
	}
	for _, worker := range c.workers {
		if err := encoder.Encode(worker); err != nil {
			return err
		}
	}
	for i := range c.jobs {
		if err := encoder.Encode(c.snapshotJob(&c.jobs[i])); err != nil {
			return err
		}
	}
	return nil
}

// snapshotJob assembles the stored form of a captured job.
func (c *capture) snapshotJob(captured *capturedJob) *snapshotJob {
	job := captured.job
	written := &snapshotJob{
		ID:          job.ID,
		Digest:      job.Digest,
		Spec:        &job.Spec,
		SubmittedAt: job.SubmittedAt,
		Cancelled:   captured.cancelled,
		Steps:       make([]snapshotStep, captured.stepCount),
		Repetition:  captured.repetition,
		Occurrences: captured.occurrences,
		Started:     captured.started,
	}
	for i := range written.Steps {
		source := c.steps[captured.firstStep+i]
		written.Steps[i] = snapshotStep{
			WaitsOn:   source.openDependencies,
			FailedRun: source.lastFailedRun,
			Tasks:     c.tasks[source.firstTask : source.firstTask+source.taskCount],
		}
	}
	return written
}
