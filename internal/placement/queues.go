package placement

import "cmp"

// queue is a queue's rule and its open runs.
type queue struct {
	rule QueueRule
	// running counts open and nominated runs.
	running int
	// team is nil if the queue is of no team.
	team *team
	// hasReservation is set while capacity is reserved for a window of the queue.
	hasReservation bool
	// defersTo are the queues that go first while this one has more than its share.
	defersTo map[*queue]bool
	// awaitingGangs are those that wait until a run of the queue ends or its rule
	// changes.
	awaitingGangs map[*subQueue]struct{}
}

// queueTable owns the rules and the counts of queues and teams. Queues and teams are
// made when they are first named, and never dropped: their number is that of names
// in the configuration.
type queueTable struct {
	byName map[string]*queue
	teams  map[string]*team
	// anyHeadroom is set while a queue leaves headroom, anyDeferences while one was
	// told to defer to others.
	anyHeadroom, anyDeferences bool
}

func newQueueTable() *queueTable {
	return &queueTable{byName: map[string]*queue{}, teams: map[string]*team{}}
}

func newQueue(name string) *queue {
	return &queue{rule: QueueRule{Name: name, Weight: 1}, awaitingGangs: map[*subQueue]struct{}{}}
}

// get returns the queue of that name; one without a rule has weight 1 and no bound.
func (t *queueTable) get(name string) *queue {
	if found, ok := t.byName[name]; ok {
		return found
	}
	made := newQueue(name)
	t.byName[name] = made
	return made
}

// find returns the queue of that name, or nil.
func (t *queueTable) find(name string) *queue { return t.byName[name] }

// setRules replaces the rules of all queues. It returns the queues whose headroom
// changed: their tasks are of other classes now.
func (t *queueTable) setRules(rules []QueueRule) map[string]bool {
	before := t.headrooms()
	for name, q := range t.byName {
		q.rule = QueueRule{Name: name, Weight: 1}
	}
	for _, rule := range rules {
		rule.Weight = max(rule.Weight, 1)
		t.get(rule.Name).rule = rule
	}
	for _, q := range t.byName {
		t.joinTeam(q)
		q.activateGangs()
	}
	for _, team := range t.teams {
		team.activateGangs()
	}
	after := t.headrooms()
	t.anyHeadroom = len(after) > 0
	return changedHeadrooms(before, after)
}

// headrooms are those of the queues that have one.
func (t *queueTable) headrooms() map[string]int {
	headrooms := map[string]int{}
	for name, q := range t.byName {
		if q.rule.Headroom != 0 {
			headrooms[name] = q.rule.Headroom
		}
	}
	return headrooms
}

func changedHeadrooms(before, after map[string]int) map[string]bool {
	changed := map[string]bool{}
	for name, headroom := range before {
		if after[name] != headroom {
			changed[name] = true
		}
	}
	for name, headroom := range after {
		if before[name] != headroom {
			changed[name] = true
		}
	}
	return changed
}

// setDeferences replaces what queues defer to.
func (t *queueTable) setDeferences(deferences []Deference) {
	t.anyDeferences = len(deferences) > 0
	for _, q := range t.byName {
		q.defersTo = nil
	}
	for _, deference := range deferences {
		q := t.get(deference.Queue)
		q.defersTo = make(map[*queue]bool, len(deference.To))
		for _, to := range deference.To {
			q.defersTo[t.get(to)] = true
		}
	}
}

// mayDefer reports whether some queue was told to defer to others.
func (t *queueTable) mayDefer() bool { return t.anyDeferences }

// useUtilization reports whether the utilization of services decides for some queue.
func (t *queueTable) useUtilization() bool { return t.anyHeadroom || t.anyDeferences }

// setReserved records which queues have a reservation now, and returns those that got
// their first or lost their last.
func (t *queueTable) setReserved(reserved map[string]bool) map[string]bool {
	changed := map[string]bool{}
	for _, q := range t.byName {
		if q.hasReservation != reserved[q.rule.Name] {
			changed[q.rule.Name] = true
		}
	}
	for name := range reserved {
		if !t.get(name).hasReservation {
			changed[name] = true
		}
	}
	for name := range changed {
		t.get(name).hasReservation = reserved[name]
	}
	return changed
}

// activateGangs lets the next pass look at gangs that the queue's limit suspect.
func (q *queue) activateGangs() {
	for sub := range q.awaitingGangs {
		sub.activate()
	}
}

// runEnded lets the next pass look at gangs that a limit suspect.
func (q *queue) runEnded() {
	q.activateGangs()
	if q.team != nil {
		q.team.activateGangs()
	}
}

// countRun adds to the open runs of the queue and of its team.
func (q *queue) countRun(change int) {
	q.running += change
	if q.team != nil {
		q.team.running += change
	}
}

// canRun reports whether the limits of the queue and its team allow count more runs.
func (q *queue) canRun(count int) bool {
	return withinQueueLimit(q, count) && withinTeamLimit(q.team, count)
}

// withinQueueLimit reports whether the queue may open count more runs.
func withinQueueLimit(queue *queue, count int) bool {
	return queue.rule.MaxRunning <= 0 || queue.running+count <= queue.rule.MaxRunning
}

// compareFairShare orders queues by running/weight, as weighted fair queueing does.
// It multiplies crosswise, so that no rounding decides.
func compareFairShare(a, b *queue) int {
	return cmp.Compare(a.running*b.rule.Weight, b.running*a.rule.Weight)
}

// fairShare sums up queues with BySlack, which count as one against the others.
type fairShare struct{ running, weight int }

func (s *fairShare) add(q *queue) {
	s.running += q.running
	s.weight += q.rule.Weight
}

// team is a team's rule and the open runs of its queues.
type team struct {
	rule    TeamRule
	running int
	// awaitingGangs are those that wait until a run of the team ends or its rule
	// changes.
	awaitingGangs map[*subQueue]struct{}
}

// setTeamRules replaces the rules of all teams. A team that is not named has no bound.
func (t *queueTable) setTeamRules(rules []TeamRule) {
	for name, team := range t.teams {
		team.rule = TeamRule{Name: name}
	}
	for _, rule := range rules {
		t.team(rule.Name).rule = rule
	}
	for _, team := range t.teams {
		team.activateGangs()
	}
}

// team returns the team of that name and makes it if there is none.
func (t *queueTable) team(name string) *team {
	if found, ok := t.teams[name]; ok {
		return found
	}
	made := &team{rule: TeamRule{Name: name}, awaitingGangs: map[*subQueue]struct{}{}}
	t.teams[name] = made
	return made
}

// joinTeam moves a queue and its open runs to the team that its rule names.
func (t *queueTable) joinTeam(q *queue) {
	if q.team != nil {
		q.team.running -= q.running
		q.team = nil
	}
	if q.rule.Team != "" {
		q.team = t.team(q.rule.Team)
		q.team.running += q.running
	}
}

// activateGangs lets the next pass look at gangs that the team's limit suspect.
func (t *team) activateGangs() {
	for sub := range t.awaitingGangs {
		sub.activate()
	}
}

// withinTeamLimit reports whether the team may open count more runs; no team allows
// any.
func withinTeamLimit(team *team, count int) bool {
	return team == nil || team.rule.MaxRunning <= 0 || team.running+count <= team.rule.MaxRunning
}

// competingQueues are the queues of one priority level that share by slack. One that
// defers goes after those to which it does, so that its burst does them no harm.
type competingQueues []*priorityQueue

func competingQueuesOf(level *priorityLevel) competingQueues {
	var found competingQueues
	for _, q := range level.queues {
		if q.queue.rule.BySlack {
			found = append(found, q)
		}
	}
	return found
}

// defers reports whether the queue lets others go first: it was told to, and has more
// than its weight's share of the open runs of itself and of those others that have
// something waiting, also if that found no worker.
func (c competingQueues) defers(q *queue) bool {
	if len(q.defersTo) == 0 || !q.rule.BySlack {
		return false
	}
	sum := fairShare{}
	for _, other := range c {
		if other.queue == q || q.defersTo[other.queue] && other.hasWaitingTasks() {
			sum.add(other.queue)
		}
	}
	return q.running*sum.weight > q.rule.Weight*sum.running
}

// deferredTo returns the queues to which another defers now, of those that do not defer
// themselves and may run more.
func (c competingQueues) deferredTo() map[*queue]bool {
	deferredTo := map[*queue]bool{}
	for _, other := range c {
		if !c.defers(other.queue) {
			continue
		}
		for q := range other.queue.defersTo {
			deferredTo[q] = !c.defers(q) && q.canRun(1)
		}
	}
	return deferredTo
}

// mostUrgent returns the queue with BySlack that goes first: the first by Sequence or, if
// it defers, the first of those to which it does and that do not defer themselves; nil if
// none may place.
func (c competingQueues) mostUrgent(queues []*priorityQueue) *priorityQueue {
	first := firstBySlack(queues, func(*priorityQueue) bool { return true })
	if first == nil || !c.defers(first.queue) {
		return first
	}
	other := firstBySlack(queues, func(q *priorityQueue) bool {
		return first.queue.defersTo[q.queue] && !c.defers(q.queue)
	})
	if other != nil {
		return other
	}
	return first
}

// firstBySlack returns the queue with BySlack that is first by Sequence, of those that may
// place and are wanted; nil if there is none.
func firstBySlack(queues []*priorityQueue, wanted func(*priorityQueue) bool) *priorityQueue {
	var first *priorityQueue
	for _, q := range queues {
		if q.queue.rule.BySlack && q.canPlace() && (first == nil || q.hasEarlierTask(first)) && wanted(q) {
			first = q
		}
	}
	return first
}

// hasWaitingTasks reports whether something waits in the queue for capacity.
func (q *priorityQueue) hasWaitingTasks() bool {
	return q.queue.canRun(1) && (len(q.subQueues) > 0 || q.gangCount > 0)
}
