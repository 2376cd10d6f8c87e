package placement

import (
	"github.com/decklever/decklever/api"
)

// fits reports whether need fits in free. No need fits where any dimension is
// negative.
func fits(need, free api.Resources) bool { return need.Fits(free) }

// withinSpread reports whether one more run of the step is allowed in the
// worker's domain. A nil rule allows any.
func withinSpread(rule *spreadRule, worker *Worker) bool {
	return rule == nil || rule.remaining(worker) > 0
}

// isUsable reports whether the worker may get new runs.
func isUsable(worker *worker) bool { return worker.known && worker.Usable }
