package record

import (
	"slices"

	"github.com/decklever/decklever/api"
)

// applySubmit adds a job unless its id is known, live or archived. The shape
// of the spec was checked before it was proposed; here a step named in After
// that does not exist is passed over.
func (m *Machine) applySubmit(submit *Submit, result *Result) error {
	digest, known, err := m.knownDigest(submit.ID)
	if err != nil {
		return err
	}
	result.Submit = &SubmitResult{Outcome: SubmitAccepted}
	queue, queueKnown := m.state.settings.queues[submit.Spec.Queue]
	switch {
	case known && digest == submit.Digest:
		result.Submit.Outcome = SubmitSame
	case known:
		result.Submit.Outcome = SubmitConflict
	case !queueKnown:
		result.Submit.Outcome = SubmitUnknownQueue
	default:
		result.Submit.Outcome = m.acceptJob(submit, queue)
	}
	return nil
}

// acceptJob adds a job with the queue's service filled in, which stays whatever
// the configuration becomes. The digest is that of the spec as handed in.
func (m *Machine) acceptJob(submit *Submit, queue api.QueueConfig) SubmitOutcome {
	spec := submit.Spec.WithService(queue.Service)
	if len(spec.MissingServices()) > 0 {
		return SubmitNoService
	}
	m.addJob(submit.ID, submit.Digest, spec, queue)
	return SubmitAccepted
}

// knownDigest returns the digest under which an id was accepted.
func (m *Machine) knownDigest(id string) (digest string, known bool, err error) {
	if job := m.state.jobs[id]; job != nil {
		return job.Digest, true, nil
	}
	archived, known, err := m.archived(id)
	return archived.Digest, known, err
}

func (m *Machine) addJob(id, digest string, spec api.JobSpec, queue api.QueueConfig) {
	job := newJob(id, digest, spec, m.state.clock)
	for _, step := range job.Steps {
		for _, task := range step.Tasks {
			task.AllowedFailures = allowedFailures(task.Spec, queue)
			task.NotBefore = notBefore(step.Spec)
		}
	}
	m.state.addJob(job)
	m.emit(JobAdded{Job: job})
	for _, step := range job.Steps {
		if len(step.before) == 0 {
			m.startStep(step)
		}
	}
	m.endJobIfDone(job)
}

// newJob links jobs, steps and tasks; every task is blocked.
func newJob(id, digest string, spec api.JobSpec, submittedAt Millis) *Job {
	job := &Job{ID: id, Spec: spec, Digest: digest, SubmittedAt: submittedAt}
	job.Steps = make([]*Step, len(spec.Steps))
	byName := make(map[string]*Step, len(spec.Steps))
	for i := range job.Spec.Steps {
		step := newStep(job, i)
		job.Steps[i] = step
		job.OpenTasks += step.OpenTasks
		byName[step.Spec.Name] = step
	}
	for _, step := range job.Steps {
		linkStep(step, byName)
	}
	return job
}

func newStep(job *Job, index int) *Step {
	spec := &job.Spec.Steps[index]
	count := spec.TaskCount()
	step := &Step{Job: job, Index: index, Spec: spec, OpenTasks: count}
	step.Tasks = make([]*Task, count)
	tasks := make([]Task, count)
	for i := range tasks {
		tasks[i] = Task{
			ID:   TaskID{Job: job.ID, Step: spec.Name, Index: i},
			Step: step,
			Spec: spec.TaskAt(i),
		}
		step.Tasks[i] = &tasks[i]
	}
	return step
}

func linkStep(step *Step, byName map[string]*Step) {
	for _, name := range step.Spec.After {
		before := byName[name]
		if before == nil || slices.Contains(step.before, before) {
			continue
		}
		step.before = append(step.before, before)
		before.dependents = append(before.dependents, step)
	}
	step.WaitsOn = len(step.before)
}

func allowedFailures(spec *api.TaskSpec, queue api.QueueConfig) int {
	allowed := queue.DefaultAllowedFailures
	if spec.AllowedFailures != nil {
		allowed = *spec.AllowedFailures
	}
	return max(allowed, 1)
}

func notBefore(spec *api.StepSpec) Millis {
	if spec.NotBefore == nil {
		return 0
	}
	return Millis(spec.NotBefore.UnixMilli())
}
