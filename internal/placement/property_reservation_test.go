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

// reservationModel is the part of the model about time, reservations, teams and
// preemption.
type reservationModel struct {
	now            record.Millis
	teams          map[string]int
	reservations   []Reservation
	maxPreemptions int
	// stopRequested are the open runs that were asked to stop.
	stopRequested map[record.TaskID]bool
}

func newReservationModel() reservationModel {
	return reservationModel{teams: map[string]int{}, maxPreemptions: defaultMaxPreemptions, stopRequested: map[record.TaskID]bool{}}
}

func (m *model) preemptible(task Task) bool {
	return task.Spec.Preemptible && task.Preemptions < m.maxPreemptions
}

// inReservedSlot reports whether the engine counts an open run in a reserved slot.
// checkReservedSlots checks the engine's answer.
func (m *model) inReservedSlot(task record.TaskID) bool {
	r, open := m.engine.runs.open[task]
	return open && r.slot != nil
}

// slack computes from scratch what worker w has left at a moment: its capacity less the
// slots open then, and less the runs outside of open slots that cannot be preempted and
// may not have ended. The task excluded is left out.
func (m *model) slack(w Worker, moment record.Millis, excluded record.TaskID) api.Resources {
	slack := w.Capacity
	openNow := map[string]bool{}
	for _, s := range m.engine.ReservedSlots() {
		r := m.reservation(s.Reservation)
		if r.Start > moment || r.End <= moment {
			continue
		}
		openNow[r.ID] = true
		if s.WorkerID == w.ID {
			slack = slack.Sub(resources.Multiply(r.SlotSize, s.Slots))
		}
	}
	for id, p := range m.open {
		inOpenSlot := m.inReservedSlot(id) && openNow[m.engine.runs.open[id].slot.reservation.ID]
		if id == excluded || p.worker != w.ID || m.preemptible(p.task) || inOpenSlot {
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

// starts returns the moments at which slots on the worker begin to take capacity.
func (m *model) starts(worker string) []record.Millis {
	var starts []record.Millis
	for _, s := range m.engine.ReservedSlots() {
		if s.WorkerID == worker {
			starts = append(starts, m.reservation(s.Reservation).Start)
		}
	}
	return starts
}

// fitsBesideReservedSlots reports whether the task, started now, leaves the capacity that
// slots need.
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

// nominatedRuns counts the nominated runs of the queues that match.
func (m *model) nominatedRuns(matches func(queue string) bool) int {
	count := 0
	for _, n := range m.engine.nominations.ordered {
		for _, member := range n.members {
			if matches(member.Queue) {
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

// isAffectedByNominations reports whether nominations or stopping runs may keep a task off the
// worker, or exhaust the limits that apply to it.
func (m *model) isAffectedByNominations(worker string, task Task) bool {
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
	m.onBothEngines(func(e *Engine) { e.SetTeams(rules) })
}

func (m *model) setTime(t *rapid.T) {
	m.now += record.Millis(rapid.IntRange(1, 12).Draw(t, "seconds")) * 1000
	m.reservations = slices.DeleteFunc(m.reservations, func(r Reservation) bool { return r.End <= m.now })
	m.onBothEngines(func(e *Engine) { e.SetTime(m.now) })
}

func (m *model) setMaxPreemptions(t *rapid.T) {
	m.maxPreemptions = rapid.IntRange(0, 3).Draw(t, "most")
	m.onBothEngines(func(e *Engine) { e.SetMaxPreemptions(m.maxPreemptions) })
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
		m.lastNumber++
		start := m.now + record.Millis(rapid.IntRange(-3, 12).Draw(t, "start"))*1000
		reserved = append(reserved, Reservation{
			ID: fmt.Sprint("window", m.lastNumber), Queue: rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "queue"),
			Start: start, End: max(start, m.now) + record.Millis(rapid.IntRange(1, 30).Draw(t, "length"))*1000,
			Slots:    rapid.IntRange(1, 4).Draw(t, "slots"),
			SlotSize: api.Resources{CPUMillis: rapid.Int64Range(1, 6).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1, 6).Draw(t, "memory")},
			Service:  rapid.SampledFrom([]string{"s", "s", "x"}).Draw(t, "service"),
			Labels:   rapid.SampledFrom([]map[string]string{nil, nil, {"k": "1"}}).Draw(t, "labels"),
		})
	}
	m.reservations = reserved
	m.onBothEngines(func(e *Engine) { e.SetReservations(reserved) })
}

// releaseStopped releases the runs that were asked to stop, and makes their tasks wait again.
func (m *model) releaseStopped(_ *rapid.T) {
	for _, id := range slices.SortedFunc(maps.Keys(m.stopRequested), compareTask) {
		task := m.open[id].task
		task.Preemptions++
		task.Gang, task.GangSize = "", 0
		delete(m.open, id)
		m.tasks[id], m.waiting[id] = task, task
		m.onBothEngines(func(e *Engine) {
			e.Release(id)
			e.Add(task)
		})
	}
	clear(m.stopRequested)
}

// checkPreemptions checks the requested preemptions against the rules for victims.
func (m *model) checkPreemptions(t *rapid.T) {
	requests := m.engine.Preemptions()
	if twin := m.secondEngine.Preemptions(); fmt.Sprint(requests) != fmt.Sprint(twin) {
		t.Fatalf("same calls gave different preemptions:\n%v\n%v", requests, twin)
	}
	for _, p := range requests {
		victim, open := m.open[p.Task]
		if !open || victim.worker != p.WorkerID || !m.preemptible(victim.task) || m.stopRequested[p.Task] {
			t.Fatalf("%v: victim is not a preemptible run on the worker, or was requested before: open %v, run %v, requested before %v", p, open, victim, m.stopRequested[p.Task])
		}
		m.stopRequested[p.Task] = true
		beneficiary, waits := m.waiting[p.Beneficiary]
		if !waits || !m.isNominated(p.Beneficiary) {
			t.Fatalf("%v: beneficiary is not waiting or not nominated: waiting %v", p, waits)
		}
		nomination := m.engine.backlog.tasks[p.Beneficiary].nomination
		at := slices.IndexFunc(nomination.members, func(w *waitingTask) bool { return w.ID == p.Beneficiary })
		if !nomination.runs[at].inReservation && victim.task.Priority >= beneficiary.Priority {
			t.Fatalf("%v: victim has priority %d, want lower than %d of the beneficiary", p, victim.task.Priority, beneficiary.Priority)
		}
		m.checkQuota(t, beneficiary)
	}
}

// checkQuota checks that a task was not nominated beyond the limits of its queue and
// team.
func (m *model) checkQuota(t *rapid.T, task Task) {
	rule := m.queues[task.Queue]
	promised := m.nominatedRuns(func(queue string) bool { return queue == task.Queue })
	if rule.MaxRunning > 0 && m.running(task.Queue)+promised > rule.MaxRunning {
		t.Fatalf("%v: nominated beyond the quota of its queue", task)
	}
	limit := m.teams[rule.Team]
	promised = m.nominatedRuns(func(queue string) bool { return m.queues[queue].Team == rule.Team })
	if rule.Team != "" && limit > 0 && m.teamRunning(rule.Team)+promised > limit {
		t.Fatalf("%v: nominated beyond the quota of its team", task)
	}
}

// checkReservedSlots checks that slots are on workers that serve the reservation, that
// the runs in them may use them, and that workers have the capacity for unused slots.
func (m *model) checkReservedSlots(t *rapid.T) {
	placed, used := map[string]int{}, map[string]int{}
	if got, want := fmt.Sprint(m.engine.ReservedSlots()), fmt.Sprint(m.secondEngine.ReservedSlots()); got != want {
		t.Fatalf("same calls gave different slots:\n%v\n%v", got, want)
	}
	for _, s := range m.engine.ReservedSlots() {
		r, w := m.reservation(s.Reservation), m.workers[s.WorkerID]
		placed[r.ID] += s.Slots
		used[r.ID+s.WorkerID] = s.Used
		if s.Used > s.Slots || placed[r.ID] > r.Slots || !w.Usable || !w.Offers(r.Service) || !w.HasLabels(r.Labels) {
			t.Fatalf("slots %v of reservation %v are not allowed on worker %v", s, r, w)
		}
	}
	for id, p := range m.open {
		if !m.inReservedSlot(id) {
			continue
		}
		r := m.engine.runs.open[id].slot.reservation.Reservation
		used[r.ID+p.worker]--
		if p.task.Queue != r.Queue || r.Start > p.started || !p.task.Spec.Resources.Fits(r.SlotSize) {
			t.Fatalf("run %v may not be in a slot of reservation %v", p, r)
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
			t.Fatalf("%s: used slots minus runs in them: got %d, want 0", where, count)
		}
	}
	for _, s := range m.engine.ReservedSlots() {
		r := m.reservation(s.Reservation)
		for _, start := range m.starts(s.WorkerID) {
			slack := m.slack(m.workers[s.WorkerID], start, record.TaskID{})
			if s.Used < s.Slots && r.Start <= start && start < r.End && resources.IsNegative(slack) {
				t.Fatalf("slots %v lack capacity at time %d: slack %v", s, start, slack)
			}
		}
	}
}

// checkSums compares the sums and profiles that the engine updates for each run with
// those computed from scratch.
func (m *model) checkSums(t *rapid.T) {
	for id, w := range m.engine.workers.byID {
		fresh := worker{Worker: w.Worker, known: true}
		for r := range w.runs {
			fresh.account(r, allocated)
		}
		got, want := fmt.Sprint(w.used, w.stopping, w.nominated, w.preemptible, w.longRunning), fmt.Sprint(fresh.used, fresh.stopping, fresh.nominated, fresh.preemptible, fresh.longRunning)
		if got != want {
			t.Fatalf("worker %s: got sums %s, want %s", id, got, want)
		}
		for _, p := range w.profile {
			if slack := w.slackAt(p.at); slack != p.slack {
				t.Fatalf("worker %s: got slack %v at time %d, want %v", id, p.slack, p.at, slack)
			}
		}
	}
}
