package placement

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// reservations is the part of the model about time, reservations, teams and preemption.
type reservationModel struct {
	now            record.Millis
	teams          map[string]int
	reservations   []Reservation
	maxPreemptions int
	// named are the open runs that were asked to stop.
	named map[record.TaskID]bool
}

func newReservationModel() reservationModel {
	return reservationModel{teams: map[string]int{}, maxPreemptions: defaultMaxPreemptions, named: map[record.TaskID]bool{}}
}

func (m *model) preemptible(task Task) bool {
	return task.Spec.Preemptible && task.Preemptions < m.maxPreemptions
}

// inReservedSlot tells where the engine counts an open run; checkReservedSlots checks it.
func (m *model) inReservedSlot(task record.TaskID) bool {
	r, open := m.engine.runs.open[task]
	return open && r.slot != nil
}

// slack is what worker w has left at a moment, from scratch: less the slots
// open then, and less the runs that stay outside of them. One task may be left
// out.
func (m *model) slack(w Worker, moment record.Millis, without record.TaskID) api.Resources {
	slack := w.Capacity
	openNow := map[string]bool{}
	for _, s := range m.engine.ReservedSlots() {
		r := m.reservation(s.Reservation)
		if r.Start > moment || r.End <= moment {
			continue
		}
		openNow[r.ID] = true
		if s.WorkerID == w.ID {
			slack = slack.Sub(resources.Times(r.SlotSize, s.Slots))
		}
	}
	for id, p := range m.open {
		inOpenSlice := m.inReservedSlot(id) && openNow[m.engine.runs.open[id].slot.reservation.ID]
		if id == without || p.worker != w.ID || m.preemptible(p.task) || inOpenSlice {
			continue
		}
		if endOf(p.started, p.task.Spec) > moment {
			slack = slack.Sub(p.task.Spec.Resources)
		}
	}
	return slack
}

func (m *model) reservation(id string) Reservation {
	at := slices.IndexFunc(m.reservations, func(r Reservation) bool { return r.ID == id })
	return m.reservations[at]
}

// starts are the moments at which slots on the worker begin to count.
func (m *model) starts(worker string) []record.Millis {
	var starts []record.Millis
	for _, s := range m.engine.ReservedSlots() {
		if s.WorkerID == worker {
			starts = append(starts, m.reservation(s.Reservation).Start)
		}
	}
	return starts
}

// fitsBesideReservedSlots reports whether the task, started now, leaves what slots need.
func (m *model) fitsBesideReservedSlots(task Task, w Worker) bool {
	if m.preemptible(task) {
		return true
	}
	for _, start := range m.starts(w.ID) {
		if start < endOf(m.now, task.Spec) && !fits(task.Spec.Resources, m.slack(w, start, task.ID)) {
			return false
		}
	}
	return true
}

// nominatedRuns counts the nominated runs of the queues that are asked for.
func (m *model) nominatedRuns(of func(queue string) bool) int {
	count := 0
	for _, n := range m.engine.nominations.ordered {
		for _, member := range n.members {
			if of(member.Queue) {
				count++
			}
		}
	}
	return count
}

func (m *model) teamRunning(team string) int {
	count := 0
	for name, rule := range m.queues {
		if rule.Team == team {
			count += m.running(name)
		}
	}
	return count
}

func (m *model) teamMayRun(team string) bool {
	limit := m.teams[team]
	return team == "" || limit == 0 || m.teamRunning(team) < limit
}

func (m *model) isNominated(task record.TaskID) bool {
	return m.engine.backlog.tasks[task].nomination != nil
}

// isNominatedOn reports whether promises may keep a task off a worker or out of
// its limits.
func (m *model) isNominatedOn(worker string, task Task) bool {
	w := m.engine.workers.byID[worker]
	return w.nominated != (api.Resources{}) || w.stopping != (api.Resources{}) ||
		m.nominatedRuns(func(string) bool { return true }) > 0
}

func (m *model) setTeams(t *rapid.T) {
	var rules []TeamRule
	m.teams = map[string]int{}
	for _, name := range []string{"t1", "t2"} {
		m.teams[name] = rapid.SampledFrom([]int{0, 2, 6}).Draw(t, "limit")
		rules = append(rules, TeamRule{Name: name, MaxRunning: m.teams[name]})
	}
	m.both(func(e *Engine) { e.SetTeams(rules) })
}

func (m *model) setTime(t *rapid.T) {
	m.now += record.Millis(rapid.IntRange(1, 12).Draw(t, "seconds")) * 1000
	m.reservations = slices.DeleteFunc(m.reservations, func(r Reservation) bool { return r.End <= m.now })
	m.both(func(e *Engine) { e.SetTime(m.now) })
}

func (m *model) setMaxPreemptions(t *rapid.T) {
	m.maxPreemptions = rapid.IntRange(0, 3).Draw(t, "most")
	m.both(func(e *Engine) { e.SetMaxPreemptions(m.maxPreemptions) })
}

// reserve drops, resizes or adds windows.
func (m *model) reserve(t *rapid.T) {
	var reserved []Reservation
	for _, r := range m.reservations {
		switch rapid.IntRange(0, 4).Draw(t, "fate") {
		case 0:
			continue
		case 1:
			r.Slots = rapid.IntRange(0, 4).Draw(t, "slots")
		}
		reserved = append(reserved, r)
	}
	if len(reserved) < 3 {
		m.next++
		start := m.now + record.Millis(rapid.IntRange(-3, 12).Draw(t, "start"))*1000
		reserved = append(reserved, Reservation{
			ID: fmt.Sprint("window", m.next), Queue: rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "queue"),
			Start: start, End: max(start, m.now) + record.Millis(rapid.IntRange(1, 30).Draw(t, "length"))*1000,
			Slots:    rapid.IntRange(1, 4).Draw(t, "slots"),
			SlotSize: api.Resources{CPUMillis: rapid.Int64Range(1, 6).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1, 6).Draw(t, "memory")},
			Service:  rapid.SampledFrom([]string{"s", "s", "x"}).Draw(t, "service"),
			Labels:   rapid.SampledFrom([]map[string]string{nil, nil, {"k": "1"}}).Draw(t, "labels"),
		})
	}
	m.reservations = reserved
	m.both(func(e *Engine) { e.SetReservations(reserved) })
}

// obey releases the runs that were asked to stop; they wait again.
func (m *model) obey(_ *rapid.T) {
	for _, id := range slices.SortedFunc(maps.Keys(m.named), compareTask) {
		task := m.open[id].task
		task.Preemptions++
		task.Gang, task.GangSize = "", 0
		delete(m.open, id)
		m.tasks[id], m.waiting[id] = task, task
		m.both(func(e *Engine) {
			e.Release(id)
			e.Add(task)
		})
	}
	clear(m.named)
}

// checkPreemptions checks the rules for victims.
func (m *model) checkPreemptions(t *rapid.T) {
	requests := m.engine.Preemptions()
	if twin := m.twin.Preemptions(); fmt.Sprint(requests) != fmt.Sprint(twin) {
		t.Fatalf("same calls, other preemptions:\n%v\n%v", requests, twin)
	}
	for _, p := range requests {
		victim, open := m.open[p.Task]
		if !open || victim.worker != p.WorkerID || !m.preemptible(victim.task) || m.named[p.Task] {
			t.Fatalf("%v: open %v, victim %v, named before %v", p, open, victim, m.named[p.Task])
		}
		m.named[p.Task] = true
		beneficiary, waits := m.waiting[p.Beneficiary]
		if !waits || !m.isNominated(p.Beneficiary) {
			t.Fatalf("%v: beneficiary waits %v", p, waits)
		}
		nomination := m.engine.backlog.tasks[p.Beneficiary].nomination
		at := slices.IndexFunc(nomination.members, func(w *waiting) bool { return w.ID == p.Beneficiary })
		if !nomination.runs[at].inReservation && victim.task.Priority >= beneficiary.Priority {
			t.Fatalf("%v: priority %d for %d", p, victim.task.Priority, beneficiary.Priority)
		}
		m.checkQuota(t, beneficiary)
	}
}

// checkQuota checks that a task was not promised capacity beyond its limits.
func (m *model) checkQuota(t *rapid.T, task Task) {
	rule := m.queues[task.Queue]
	promised := m.nominatedRuns(func(queue string) bool { return queue == task.Queue })
	if rule.MaxRunning > 0 && m.running(task.Queue)+promised > rule.MaxRunning {
		t.Fatalf("%v: preempted beyond the quota of its queue", task)
	}
	limit := m.teams[rule.Team]
	promised = m.nominatedRuns(func(queue string) bool { return m.queues[queue].Team == rule.Team })
	if rule.Team != "" && limit > 0 && m.teamRunning(rule.Team)+promised > limit {
		t.Fatalf("%v: preempted beyond the quota of its team", task)
	}
}

// checkReservedSlots checks that slots are where they may be, that what runs in them
// is reserved, and that there is capacity for those not in use.
func (m *model) checkReservedSlots(t *rapid.T) {
	placed, used := map[string]int{}, map[string]int{}
	if got, want := fmt.Sprint(m.engine.ReservedSlots()), fmt.Sprint(m.twin.ReservedSlots()); got != want {
		t.Fatalf("same calls, other slots:\n%v\n%v", got, want)
	}
	for _, s := range m.engine.ReservedSlots() {
		r, w := m.reservation(s.Reservation), m.workers[s.WorkerID]
		placed[r.ID] += s.Slots
		used[r.ID+s.WorkerID] = s.Used
		if s.Used > s.Slots || placed[r.ID] > r.Slots || !w.Usable || !w.Offers(r.Service) || !w.HasLabels(r.Labels) {
			t.Fatalf("%v of %v on %v", s, r, w)
		}
	}
	for id, p := range m.open {
		if !m.inReservedSlot(id) {
			continue
		}
		r := m.engine.runs.open[id].slot.reservation.Reservation
		used[r.ID+p.worker]--
		if p.task.Queue != r.Queue || r.Start > p.started || !p.task.Spec.Resources.Fits(r.SlotSize) {
			t.Fatalf("%v in a slot of %v", p, r)
		}
	}
	for _, n := range m.engine.nominations.ordered {
		for _, r := range n.runs {
			if r.slot != nil {
				used[r.slot.reservation.ID+r.worker.ID]--
			}
		}
	}
	for where, count := range used {
		if count != 0 {
			t.Fatalf("%s: %d slots in use without a run", where, count)
		}
	}
	for _, s := range m.engine.ReservedSlots() {
		r := m.reservation(s.Reservation)
		for _, start := range m.starts(s.WorkerID) {
			slack := m.slack(m.workers[s.WorkerID], start, record.TaskID{})
			if s.Used < s.Slots && r.Start <= start && start < r.End && resources.IsNegative(slack) {
				t.Fatalf("%v has no capacity at %d: %v", s, start, slack)
			}
		}
	}
}

// checkSums compares the engine's running sums with sums from scratch.
func (m *model) checkSums(t *rapid.T) {
	for id, w := range m.engine.workers.byID {
		fresh := worker{Worker: w.Worker, known: true}
		for r := range w.runs {
			fresh.account(r, allocated)
		}
		got, want := fmt.Sprint(w.used, w.stopping, w.nominated, w.preemptible, w.longRunning), fmt.Sprint(fresh.used, fresh.stopping, fresh.nominated, fresh.preemptible, fresh.longRunning)
		if got != want {
			t.Fatalf("%s has sums %s, expected %s", id, got, want)
		}
		for _, p := range w.profile {
			if slack := w.slackAt(p.at); slack != p.slack {
				t.Fatalf("%s has slack %v at %d, expected %v", id, p.slack, p.at, slack)
			}
		}
	}
}
