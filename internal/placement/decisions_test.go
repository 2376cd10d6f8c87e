package placement

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// updateGolden writes testdata/decisions.golden instead of comparing with it.
var updateGolden = flag.Bool("update-decisions", false, "write the results of this engine to testdata/decisions.golden")

const (
	goldenFile   = "testdata/decisions.golden"
	goldenSeeds  = 16
	goldenRounds = 700
	// maxGoldenWaiting bounds the number of waiting tasks, so that a sequence does not
	// slow down.
	maxGoldenWaiting = 140
)

// goldenRun makes a seeded sequence of calls to the public methods of one engine and
// records all results.
type goldenRun struct {
	random *rand.Rand
	engine *Engine
	// output holds all results of the engine, as text.
	output  []byte
	now     record.Millis
	nextJob int
	// open holds the tasks with a run.
	open map[record.TaskID]Task
	// openOrder lists the open tasks in the order in which they were placed, and
	// waitingOrder the waiting tasks: the order of map iteration is not deterministic.
	// Both may still list tasks that are no longer in their map.
	openOrder    []record.TaskID
	waiting      map[record.TaskID]Task
	waitingOrder []record.TaskID
	counts       goldenCounts
	// reservations are those set last.
	reservations []Reservation
}

// goldenCounts shows that a sequence exercises the concerns of the engine.
type goldenCounts struct{ decisions, gangMembers, preemptions, slotsUsed, drains, backfills int }

func newGoldenRun(seed uint64) *goldenRun {
	g := &goldenRun{
		random: rand.New(rand.NewPCG(seed, 22)), engine: New(Config{Seed: int64(seed)}),
		now: 1, open: map[record.TaskID]Task{}, waiting: map[record.TaskID]Task{},
	}
	g.engine.SetTime(g.now)
	g.setQueues()
	for number := range 6 + g.random.IntN(10) {
		g.setWorker(number)
	}
	return g
}

// oneIn returns true once in n calls on average.
func (g *goldenRun) oneIn(n int) bool { return g.random.IntN(n) == 0 }

func (g *goldenRun) setQueues() {
	rules := []QueueRule{
		{Name: "a", Weight: 1 + g.random.IntN(3), BySlack: true, Team: "t"},
		{Name: "b", Weight: 1, BySlack: true, MaxRunning: 10 * g.random.IntN(2)},
		{Name: "c", Weight: 2, HeadroomPercent: 25 * g.random.IntN(2)},
		{Name: "d", Weight: 1 + g.random.IntN(2), Team: "t"},
	}
	g.engine.SetTeams([]TeamRule{{Name: "t", MaxRunning: 16 * g.random.IntN(2)}})
	g.engine.SetQueues(rules)
}

func (g *goldenRun) setDeferences() {
	all := []Deference{{Queue: "a", To: []string{"b"}}, {Queue: "b", To: []string{"a"}}}
	from := g.random.IntN(3)
	g.engine.SetDeferences(all[min(from, 1):max(from, 1)])
}

func (g *goldenRun) setWorker(number int) {
	name := fmt.Sprintf("w%02d", number)
	size := int64(8 * (1 + g.random.IntN(3)))
	g.engine.SetWorker(Worker{
		ID: name + "-1", Name: name, Zone: fmt.Sprintf("z%d", number%3),
		Capacity:  api.Resources{CPUMillis: size, MemoryMB: 2 * size, Accelerators: int64(number % 2 * 4)},
		Services:  []string{"s", []string{"t", "u"}[number%2]},
		Labels:    map[string]string{"rack": fmt.Sprintf("r%d", number%4)},
		Usable:    !g.oneIn(12),
		Slow:      g.oneIn(9),
		Probation: g.oneIn(10),
		Suspect:   g.oneIn(14),
	})
}

func (g *goldenRun) spec() *api.TaskSpec {
	spec := &api.TaskSpec{
		Service:     []string{"s", "s", "t", "u"}[g.random.IntN(4)],
		Resources:   api.Resources{CPUMillis: int64(1 + g.random.IntN(6)), MemoryMB: int64(1 + g.random.IntN(8))},
		Preemptible: g.oneIn(2),
	}
	if g.oneIn(6) {
		spec.Resources.CPUMillis = 16
	}
	if g.oneIn(8) {
		spec.Resources.Accelerators = int64(1 + g.random.IntN(3))
	}
	if g.oneIn(3) {
		spec.MaxDuration = api.Duration(time.Duration(1+g.random.IntN(90)) * time.Second)
		spec.Estimate = spec.MaxDuration / 2
	}
	if g.oneIn(5) {
		spec.Prefer = map[string]string{"rack": fmt.Sprintf("r%d", g.random.IntN(4))}
	}
	if g.oneIn(9) {
		spec.Labels = map[string]string{"rack": fmt.Sprintf("r%d", g.random.IntN(4))}
	}
	if g.oneIn(7) {
		spec.Spread = &api.Spread{By: []string{"worker", "zone", "label:rack"}[g.random.IntN(3)], MaxPerDomain: 1 + g.random.IntN(3)}
	}
	if g.oneIn(12) {
		spec.UntilCancelled, spec.MaxDuration, spec.Estimate = true, 0, 0
	}
	return spec
}

// addStep adds the tasks of one step, as a gang or individually.
func (g *goldenRun) addStep() {
	g.nextJob++
	job, count := fmt.Sprintf("j%04d", g.nextJob), 1+g.random.IntN(6)
	spec, priority := g.spec(), g.random.IntN(3)
	queue := []string{"a", "a", "b", "c", "d"}[g.random.IntN(5)]
	isGang := g.oneIn(4)
	if isGang && g.oneIn(6) {
		// Capacity for all members is never free at once, so it must be drained for them.
		count, spec.Resources = 4, api.Resources{CPUMillis: 8, MemoryMB: 8}
		spec.Labels, spec.Prefer = nil, nil
	}
	preferences := Preferences{StepSize: count, AllowsProbation: g.oneIn(5), PrefersProbation: g.oneIn(10), WaitsForPreferred: g.oneIn(4)}
	if g.oneIn(4) {
		preferences.Colocate = []string{"zone", "label:rack"}[g.random.IntN(2)]
	}
	if g.oneIn(6) {
		preferences.Avoid = []string{fmt.Sprintf("w%02d", g.random.IntN(8))}
	}
	for index := range count {
		task := Task{
			ID: record.TaskID{Job: job, Step: "s", Index: index}, Queue: queue, Priority: priority,
			Sequence: uint64(g.nextJob*10 - g.random.IntN(40) + 400), Spec: spec, Preemptions: g.random.IntN(5), UntilCancelled: spec.UntilCancelled,
		}
		if isGang && count > 1 {
			task.Gang, task.GangSize = job+"/s", count
		}
		if !g.oneIn(3) {
			shared := preferences
			task.Preferences = &shared
		}
		g.add(task)
	}
}

func (g *goldenRun) add(task Task) {
	g.engine.Add(task)
	if _, known := g.waiting[task.ID]; !known {
		g.waitingOrder = append(g.waitingOrder, task.ID)
	}
	g.waiting[task.ID] = task
}

// pickTask returns a random task of the map; false if it is empty. It first removes from
// the list the tasks that are no longer in the map.
func (g *goldenRun) pickTask(list *[]record.TaskID, of map[record.TaskID]Task) (Task, bool) {
	*list = slices.DeleteFunc(*list, func(id record.TaskID) bool { _, ok := of[id]; return !ok })
	if len(*list) == 0 {
		return Task{}, false
	}
	return of[(*list)[g.random.IntN(len(*list))]], true
}

// release ends an open run. With requeue the task waits again, as a preempted task does.
func (g *goldenRun) release(id record.TaskID, requeue bool) {
	task, ok := g.open[id]
	if !ok {
		return
	}
	delete(g.open, id)
	g.engine.Release(id)
	if requeue {
		task.Preemptions++
		task.StartedAt = 0
		g.add(task)
	}
}

// reserve either keeps the current windows and changes their numbers of slots, or
// replaces them.
func (g *goldenRun) reserve() {
	if g.oneIn(2) {
		for i := range g.reservations {
			g.reservations[i].Slots = 1 + g.random.IntN(6)
		}
		g.engine.SetReservations(g.reservations)
		return
	}
	var reservations []Reservation
	for number := range g.random.IntN(4) {
		start := g.now + record.Millis(g.random.IntN(40_000)-10_000)
		reservations = append(reservations, Reservation{
			ID: fmt.Sprintf("b/%d/%d", number, start), Queue: []string{"a", "c"}[number%2],
			Start: start, End: start + 30_000, Slots: 1 + g.random.IntN(5),
			SlotSize: api.Resources{CPUMillis: 4, MemoryMB: 6}, Service: []string{"s", "s", ""}[number%3],
		})
	}
	g.reservations = reservations
	g.engine.SetReservations(reservations)
}

// moveRun adds the run of an open task on a random worker: a new leader may find the run
// on another worker.
func (g *goldenRun) moveRun() {
	task, ok := g.pickTask(&g.openOrder, g.open)
	if !ok {
		return
	}
	g.engine.AddRun(task, fmt.Sprintf("w%02d-1", g.random.IntN(10)))
}

// round makes some changes and calls Plan.
func (g *goldenRun) round() {
	g.now += record.Millis(g.random.IntN(1500))
	g.engine.SetTime(g.now)
	for range g.random.IntN(4) {
		if len(g.waiting) < maxGoldenWaiting {
			g.addStep()
		}
	}
	for range g.random.IntN(5) {
		if task, ok := g.pickTask(&g.openOrder, g.open); ok {
			g.release(task.ID, g.oneIn(6))
		}
	}
	if g.oneIn(4) {
		if task, ok := g.pickTask(&g.waitingOrder, g.waiting); ok {
			delete(g.waiting, task.ID)
			g.engine.Remove(task.ID)
		}
	}
	switch g.random.IntN(24) {
	case 0:
		g.setQueues()
	case 1, 2:
		g.setDeferences()
	case 3, 4, 5:
		g.setWorker(g.random.IntN(12))
	case 6:
		g.removeWorker(g.random.IntN(12))
	case 7, 8:
		g.reserve()
	case 9:
		g.engine.SetMaxPreemptions(2 + g.random.IntN(3))
	case 10, 11:
		g.moveRun()
	case 12:
		if task, ok := g.pickTask(&g.waitingOrder, g.waiting); ok {
			task.Sequence += uint64(g.random.IntN(2) * 10)
			g.add(task)
		}
	}
	for range 1 + g.random.IntN(5) {
		g.plan(1 + g.random.IntN(30))
	}
}

func (g *goldenRun) removeWorker(number int) {
	id := fmt.Sprintf("w%02d-1", number)
	g.engine.RemoveWorker(id)
	for _, task := range g.openOrder {
		if open, ok := g.open[task]; ok && open.Queue != "" && g.workerOf(task) == "" {
			delete(g.open, task)
			open.StartedAt = 0
			g.add(open)
		}
	}
}

// workerOf returns the ID of the worker on which the engine has the run; empty if it has
// none.
func (g *goldenRun) workerOf(task record.TaskID) string {
	if r, ok := g.engine.runs.open[task]; ok {
		return r.worker.ID
	}
	return ""
}

func (g *goldenRun) plan(limit int) {
	for _, d := range g.engine.Plan(limit) {
		g.output = fmt.Appendf(g.output, "place %v %s %s %s\n", d.Task, d.WorkerID, d.Worker, d.Gang)
		g.counts.decisions++
		if d.Gang != "" {
			g.counts.gangMembers++
		}
		task := g.waiting[d.Task]
		delete(g.waiting, d.Task)
		task.StartedAt = g.now
		g.open[d.Task] = task
		g.openOrder = append(g.openOrder, d.Task)
	}
	for _, p := range g.engine.Preemptions() {
		g.output = fmt.Appendf(g.output, "preempt %v %s %v\n", p.Task, p.WorkerID, p.Beneficiary)
		g.counts.preemptions++
		if !g.oneIn(3) {
			g.release(p.Task, true)
		}
	}
	for _, s := range g.engine.ReservedSlots() {
		g.output = fmt.Appendf(g.output, "slots %s %s %s %d %d\n", s.Reservation, s.WorkerID, s.Worker, s.Slots, s.Used)
		g.counts.slotsUsed += s.Used
	}
	for range 3 {
		if task, ok := g.pickTask(&g.waitingOrder, g.waiting); ok {
			g.output = fmt.Appendf(g.output, "reason %v %s\n", task.ID, g.engine.Reason(task.ID))
			g.output = fmt.Appendf(g.output, "free %v\n", g.engine.HasFreeCapacity(task.Spec))
		}
	}
	g.output = fmt.Appendf(g.output, "waiting %d\n", g.engine.Waiting())
	if g.engine.gangDrains.current != nil {
		g.counts.drains++
	}
	g.counts.backfills += len(g.engine.backfill.reserved)
}

// goldenLine returns the seed, the digest of all results, and the counts of a sequence.
func goldenLine(seed uint64) string {
	g := newGoldenRun(seed)
	for range goldenRounds {
		g.round()
	}
	c := g.counts
	return fmt.Sprintf("%d %x decisions=%d gang_members=%d preemptions=%d slots_used=%d drains=%d backfills=%d",
		seed, sha256.Sum256(g.output), c.decisions, c.gangMembers, c.preemptions, c.slotsUsed, c.drains, c.backfills)
}

// TestEngine_DecisionsMatchGolden compares sequences of decisions, preemptions, slots and
// reasons with the results of the engine of commit b28aa49 for the same calls. It guards
// against a refactoring that changes decisions.
func TestEngine_DecisionsMatchGolden(t *testing.T) {
	var lines []string
	for seed := range uint64(goldenSeeds) {
		lines = append(lines, goldenLine(seed))
	}
	got := strings.Join(lines, "\n") + "\n"
	if *updateGolden {
		if err := os.WriteFile(goldenFile, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	expect(t, "decisions", got, string(want))
}
