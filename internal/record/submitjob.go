package record

import "github.com/decklever/decklever/api"

// applySubmitJob adds a job unless its id is known, live or archived. The error
// is that of the archive. The spec was validated before it was proposed; what
// validation would refuse is ignored here rather than an error, since an entry
// that is committed must be applied.
func (m *Machine) applySubmitJob(submit *SubmitJob, result *Result) error {
	digest, known, err := m.knownDigest(submit.ID)
	if err != nil {
		return err
	}
	result.Submit = &SubmitResult{Outcome: SubmitAccepted}
	queue, queueKnown := m.state.config.queues[submit.Spec.Queue]
	switch {
	case known && digest == submit.Digest:
		result.Submit.Outcome = SubmitDuplicate
	case known:
		result.Submit.Outcome = SubmitConflict
	case !queueKnown:
		result.Submit.Outcome = SubmitUnknownQueue
	default:
		result.Submit.Outcome = m.acceptJob(submit, queue)
	}
	return nil
}

// acceptJob adds a job with the queue's service filled in where a task names
// none; later configurations do not change it. The digest stays that of the spec
// as submitted.
func (m *Machine) acceptJob(submit *SubmitJob, queue api.QueueConfig) SubmitOutcome {
	spec := submit.Spec.WithService(queue.Service)
	if len(spec.MissingServices()) > 0 {
		return SubmitNoService
	}
	m.addJob(submit.ID, submit.Digest, spec, queue)
	return SubmitAccepted
}

// knownDigest returns the digest with which a job of that id was accepted.
func (m *Machine) knownDigest(id string) (digest string, known bool, err error) {
	if job := m.state.jobs.byID[id]; job != nil {
		return job.Digest, true, nil
	}
	archived, known, err := m.findArchived(id)
	return archived.Digest, known, err
}

// addJob adds a job with its first occurrence and starts its first steps. A job
// without any task ends within the same entry.
func (m *Machine) addJob(id, digest string, spec api.JobSpec, queue api.QueueConfig) {
	job := &Job{ID: id, Spec: spec, Digest: digest, SubmittedAt: m.state.clock}
	if spec.Repeat != nil {
		job.Repetition = &Repetition{Next: 1, AllowedFailures: queue.DefaultAllowedFailures}
	}
	first := job.addOccurrence(0)
	first.initializeTasks(queue.DefaultAllowedFailures)
	m.state.addJob(job)
	m.emit(JobAdded{Job: job})
	m.startOccurrence(first)
	m.archiveJobIfComplete(job)
}
