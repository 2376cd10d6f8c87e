package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
)

const (
	// Shares of jobs that use one of the rarer rules, which few callers need.
	resendShare = 0.02
	timedShare  = 0.05
	gangShare   = 0.05
	spreadShare = 0.05
	labelShare  = 0.05

	// timedDelay is the time from the submission of a timed job to its not_before.
	timedDelay = time.Second
	// spreadZones is the number of zones that suffice to run all tasks of a step spread
	// by zone at once; one zone may be unavailable.
	spreadZones = deployment.Zones - 1
)

// jobPlan is a job to submit.
type jobPlan struct {
	id    string
	spec  api.JobSpec
	class calllog.Class
	// interval is the time since the previous job was due.
	interval time.Duration
	// resend means that the job is submitted again after it was accepted.
	resend bool
	// timed means that the last step gets a not_before at the submission.
	timed bool
}

// planner draws the jobs of one shape. The same seed gives the same jobs.
type planner struct {
	prefix string
	shape  deployment.Shape
	random *rand.Rand
	count  int
	// allowRareRules is whether jobs may be timed, gangs, spread or labelled.
	allowRareRules bool
}

func newPlanner(seed uint64, kind string, shape deployment.Shape, allowRareRules bool) *planner {
	var stream uint64
	for _, letter := range kind {
		stream = stream*31 + uint64(letter)
	}
	return &planner{
		prefix: fmt.Sprintf("lab-%d-%s", seed, kind), shape: shape, allowRareRules: allowRareRules,
		random: rand.New(rand.NewPCG(seed, stream)),
	}
}

// next draws the next job.
func (p *planner) next() jobPlan {
	p.count++
	plan := jobPlan{id: fmt.Sprintf("%s-%06d", p.prefix, p.count), spec: p.spec()}
	if p.shape.JobsPerSecond > 0 {
		plan.interval = time.Duration(p.random.ExpFloat64() / p.shape.JobsPerSecond * float64(time.Second))
	}
	plan.resend = p.random.Float64() < resendShare
	plan.timed = p.drawRareRule(timedShare)
	p.addRules(&plan.spec.Steps[0])
	return plan
}

func (p *planner) spec() api.JobSpec {
	spec := api.JobSpec{Queue: p.shape.Queue}
	steps := p.shape.MinSteps + p.random.IntN(p.shape.MaxSteps-p.shape.MinSteps+1)
	for index := range steps {
		step := api.StepSpec{Name: fmt.Sprintf("step-%d", index+1)}
		if index > 0 {
			step.After = []string{spec.Steps[index-1].Name}
		}
		for range p.shape.TasksPerStep {
			step.Tasks = append(step.Tasks, p.task())
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// sleepPayload is the payload of the worker's sleep, flaky and slow handlers.
type sleepPayload struct {
	Millis int64 `json:"millis"`
	// Probability is read by the flaky handler only.
	Probability float64 `json:"probability,omitempty"`
	// Factor is read by the slow handler only.
	Factor float64 `json:"factor,omitempty"`
}

func (p *planner) task() api.TaskSpec {
	runTime := p.shape.MinRunTime + time.Duration(p.random.Int64N(int64(p.shape.MaxRunTime-p.shape.MinRunTime)+1))
	payload, err := json.Marshal(sleepPayload{runTime.Milliseconds(), p.shape.FailureFraction, p.shape.SlowFactor})
	if err != nil {
		panic(fmt.Sprintf("load: a payload has no JSON form: %v", err))
	}
	task := api.TaskSpec{
		Service: p.shape.Service, Payload: payload, Resources: p.shape.Resources,
		UntilCancelled: p.shape.JobsPerSecond == 0,
	}
	if p.shape.AllowedFailures > 0 {
		task.AllowedFailures = &p.shape.AllowedFailures
	}
	return task
}

// addRules draws which of the rarer rules the step has. The number of draws does not
// depend on allowRareRules.
func (p *planner) addRules(step *api.StepSpec) {
	step.Together = p.drawRareRule(gangShare)
	spread := p.drawRareRule(spreadShare)
	labelled := p.drawRareRule(labelShare)
	maxPerDomain := (len(step.Tasks) + spreadZones - 1) / spreadZones
	for index := range step.Tasks {
		if spread {
			step.Tasks[index].Spread = &api.Spread{By: api.SpreadByZone, MaxPerDomain: maxPerDomain}
		}
		if labelled {
			step.Tasks[index].Labels = map[string]string{deployment.RackLabel: deployment.RackName(1)}
		}
	}
}

func (p *planner) drawRareRule(share float64) bool {
	selected := p.random.Float64() < share
	return p.allowRareRules && selected
}

// setNotBefore sets the not_before of a timed job's last step to timedDelay after now.
func (p *jobPlan) setNotBefore(now time.Time) {
	if !p.timed {
		return
	}
	notBefore := now.Add(timedDelay).UTC().Round(time.Millisecond)
	p.spec.Steps[len(p.spec.Steps)-1].NotBefore = &notBefore
}
