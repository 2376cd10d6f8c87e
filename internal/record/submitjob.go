package record

import "github.com/decklever/decklever/api"

// applySubmitJob adds a job unless a live or archived job has its id or it is withdrawn.
// It returns only errors of the archive. The spec was validated before it was proposed. Content that
// validation would refuse is tolerated here without an error, because a committed
// entry must be applied.
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
	case m.state.withdrawn.has(submit.ID):
		result.Submit.Outcome = SubmitWithdrawn
	case !queueKnown:
		result.Submit.Outcome = SubmitUnknownQueue
	default:
		result.Submit.Outcome = m.acceptJob(submit, queue)
	}
	return nil
}

// acceptJob adds a job. Tasks without a service get that of the queue; later
// configurations do not change it. The digest remains that of the submitted spec.
func (m *Machine) acceptJob(submit *SubmitJob, queue api.QueueConfig) SubmitOutcome {
	spec := submit.Spec.WithService(queue.Service)
	if len(spec.MissingServices()) > 0 {
		return SubmitNoService
	}
	m.addJob(submit.ID, submit.Digest, spec, queue)
	return SubmitAccepted
}

// knownDigest returns the digest of the live or archived job with the given id.
func (m *Machine) knownDigest(id string) (digest string, known bool, err error) {
	if job := m.state.jobs.byID[id]; job != nil {
		return job.Digest, true, nil
	}
	archived, known, err := m.findArchived(id)
	return archived.Digest, known, err
}

// addJob adds a job with its first occurrence and starts the steps without
// dependencies. A job without tasks ends within the same entry.
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
