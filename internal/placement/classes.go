package placement

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// classKey is the shape of a task: all that decides where it fits. The step
// is part of it only where a spread rule applies.
type classKey struct {
	selector     selector
	need         api.Resources
	spreadBy     string
	maxPerDomain int
	step         stepKey
}

// class stands for all waiting tasks of one shape.
type class struct {
	key  classKey
	pool *pool
	// spread is nil without a spread rule.
	spread *spreadRule
	// tasks counts waiting tasks, members of groups too.
	tasks int
	// lanes hold the class's tasks that are not members of a group.
	lanes map[*lane]struct{}
	// blocked is set when a pass found no room; it stays until a worker of the
	// pool changed and could hold the class, or a run of its step ended.
	blocked bool
	// groups are those parked until this class may find room.
	groups map[*lane]struct{}
	// counted is the last count of places for groups.
	counted placesCount
}

// canonicalLabels is the same text for equal labels. Lengths keep apart what
// separators could not.
func canonicalLabels(labels map[string]string) string {
	if len(labels) == 0 {
		return ""
	}
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		text.WriteString(strconv.Quote(key))
		text.WriteByte('=')
		text.WriteString(strconv.Quote(labels[key]))
	}
	return text.String()
}

func classKeyOf(id record.TaskID, spec *api.TaskSpec) classKey {
	key := classKey{
		selector: selector{service: spec.Service, labels: canonicalLabels(spec.Labels)},
		need:     spec.Resources,
	}
	if spec.Spread != nil {
		key.spreadBy = spec.Spread.By
		key.maxPerDomain = max(spec.Spread.MaxPerDomain, 1)
		key.step = stepKeyOf(id)
	}
	return key
}

// joinClass returns the class of a task and counts the task in.
func (e *Engine) joinClass(task *Task) *class {
	key := classKeyOf(task.ID, task.Spec)
	c, ok := e.classes[key]
	if !ok {
		c = e.newClass(key, task.Spec)
	}
	c.tasks++
	return c
}

func (e *Engine) newClass(key classKey, spec *api.TaskSpec) *class {
	c := &class{
		key:    key,
		pool:   e.workers.acquire(spec),
		lanes:  map[*lane]struct{}{},
		groups: map[*lane]struct{}{},
	}
	if spec.Spread != nil {
		step := e.step(key.step)
		step.track(key.spreadBy)
		step.classes[c] = struct{}{}
		c.spread = &spreadRule{by: key.spreadBy, maxPerDomain: key.maxPerDomain, step: step}
	}
	e.classes[key] = c
	return c
}

// leaveClass counts a task out and drops a class without tasks.
func (e *Engine) leaveClass(c *class) {
	c.tasks--
	if c.tasks > 0 {
		return
	}
	delete(e.classes, c.key)
	delete(c.pool.blocked, c)
	e.workers.release(c.pool)
	if c.spread != nil {
		delete(c.spread.step.classes, c)
		e.forgetIfUnused(c.spread.step)
	}
}

// fitsOn reports whether the class fits on a worker of its pool now.
func (c *class) fitsOn(w *worker) bool {
	return fits(c.key.need, w.free) && withinSpread(c.spread, &w.Worker)
}

// block marks that a pass found no room.
func (c *class) block() {
	c.blocked = true
	c.pool.blocked[c] = struct{}{}
}

// wake makes everything that waits for the class ready to be looked at again.
func (c *class) wake() {
	c.blocked = false
	delete(c.pool.blocked, c)
	for l := range c.lanes {
		l.makeReady()
	}
	for l := range c.groups {
		l.makeReady()
	}
}

// wakeClasses looks at blocked classes again, but only where a worker changed
// and only if the class would fit on that worker.
func (e *Engine) wakeClasses() {
	for _, w := range e.workers.takeChanged() {
		for _, p := range w.pools {
			for c := range p.blocked {
				if c.fitsOn(w) {
					c.wake()
				}
			}
		}
	}
}

// wakeStep looks again at classes whose spread rule counts runs of the step.
func wakeStep(s *step) {
	for c := range s.classes {
		c.wake()
	}
}
