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

// Shares of jobs that use one of the rules which few callers need.
const (
	// Shares of jobs that use one of the rarer rules.
	resendShare = 0.02
	timedShare  = 0.05
	gangShare   = 0.05
	spreadShare = 0.05
	labelShare  = 0.05

	// timedDelay is how far in the future a timed step lies at its submission.
	timedDelay = time.Second
	// spreadZones is how many zones must be available for all tasks of a step that is
	// spread by zone to run at once.
	spreadZones = deployment.Zones - 1
)

// jobPlan is one job to be submitted.
type jobPlan struct {
	id    string
	spec  api.JobSpec
	class calllog.Class
	// interval is the time since the job before it.
	interval time.Duration
	// resend: it is submitted again once it was accepted.
	resend bool
	// timed: its last step gets a not_before when it is submitted.
	timed bool
}

// planner draws the jobs of one shape. The same seed gives the same jobs.
type planner struct {
	prefix string
	shape  deployment.Shape
	random *rand.Rand
	count  int
	// special allows the rarer rules.
	special bool
}

func newPlanner(seed uint64, kind string, shape deployment.Shape, special bool) *planner {
	var stream uint64
	for _, letter := range kind {
		stream = stream*31 + uint64(letter)
	}
	return &planner{
		prefix: fmt.Sprintf("lab-%d-%s", seed, kind), shape: shape, special: special,
		random: rand.New(rand.NewPCG(seed, stream)),
	}
}

// next draws the next job.
func (p *planner) next() jobPlan {
	p.count++
	one := jobPlan{id: fmt.Sprintf("%s-%06d", p.prefix, p.count), spec: p.spec()}
	if p.shape.JobsPerSecond > 0 {
		one.interval = time.Duration(p.random.ExpFloat64() / p.shape.JobsPerSecond * float64(time.Second))
	}
	one.resend = p.random.Float64() < resendShare
	one.timed = p.drawSpecial(timedShare)
	p.addRules(&one.spec.Steps[0])
	return one
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

// sleepPayload is what the worker's sleep handler takes.
type sleepPayload struct {
	Millis int64 `json:"millis"`
	// Probability is read by the flaky handler alone.
	Probability float64 `json:"probability,omitempty"`
	// Factor is read by the slow handler alone.
	Factor float64 `json:"factor,omitempty"`
}

func (p *planner) task() api.TaskSpec {
	length := p.shape.MinRunTime + time.Duration(p.random.Int64N(int64(p.shape.MaxRunTime-p.shape.MinRunTime)+1))
	payload, err := json.Marshal(sleepPayload{length.Milliseconds(), p.shape.FailureFraction, p.shape.SlowFactor})
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

// addRules draws which rules the first step has.
func (p *planner) addRules(step *api.StepSpec) {
	step.Together = p.drawSpecial(gangShare)
	spread := p.drawSpecial(spreadShare)
	labelled := p.drawSpecial(labelShare)
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

func (p *planner) drawSpecial(share float64) bool {
	drawn := p.random.Float64() < share
	return p.special && drawn
}

// setTime gives a timed job its earliest start.
func (one *jobPlan) setTime(now time.Time) {
	if !one.timed {
		return
	}
	notBefore := now.Add(timedDelay).UTC().Round(time.Millisecond)
	one.spec.Steps[len(one.spec.Steps)-1].NotBefore = &notBefore
}
