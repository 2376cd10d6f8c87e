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

// updateGolden writes testdata/decisions.golden anew instead of comparing with it.
var updateGolden = flag.Bool("update-decisions", false, "write testdata/decisions.golden from this engine")

const (
	goldenFile   = "testdata/decisions.golden"
	goldenSeeds  = 16
	goldenRounds = 700
	// maxGoldenWaiting bounds the backlog, so that a sequence does not slow down.
	maxGoldenWaiting = 140
)

// goldenRun drives one engine by a seeded sequence of calls through its public
// interface and digests all that it answers.
type goldenRun struct {
	random *rand.Rand
	engine *Engine
	// answers are all that the engine said, as text.
	answers []byte
	now     record.Millis
	next    int
	// open are the tasks with a run, in the order in which they were placed.
	open map[record.TaskID]Task
	// order and queued list the open and the waiting tasks: iteration over a map would
	// not be repeatable.
	order   []record.TaskID
	waiting map[record.TaskID]Task
	queued  []record.TaskID
	counts  goldenCounts
	// reservations are those last set.
	reservations []Reservation
}

// goldenCounts shows that a sequence reaches the concerns of the engine.
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

// chance is true once in so many calls.
func (g *goldenRun) chance(in int) bool { return g.random.IntN(in) == 0 }

func (g *goldenRun) setQueues() {
	rules := []QueueRule{
		{Name: "a", Weight: 1 + g.random.IntN(3), BySlack: true, Team: "t"},
		{Name: "b", Weight: 1, BySlack: true, MaxRunning: 10 * g.random.IntN(2)},
		{Name: "c", Weight: 2, Headroom: 25 * g.random.IntN(2)},
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
		Usable:    !g.chance(12),
		Slow:      g.chance(9),
		Probation: g.chance(10),
		Suspect:   g.chance(14),
	})
}

func (g *goldenRun) spec() *api.TaskSpec {
	spec := &api.TaskSpec{
		Service:     []string{"s", "s", "t", "u"}[g.random.IntN(4)],
		Resources:   api.Resources{CPUMillis: int64(1 + g.random.IntN(6)), MemoryMB: int64(1 + g.random.IntN(8))},
		Preemptible: g.chance(2),
	}
	if g.chance(6) {
		spec.Resources.CPUMillis = 16
	}
	if g.chance(8) {
		spec.Resources.Accelerators = int64(1 + g.random.IntN(3))
	}
	if g.chance(3) {
		spec.MaxDuration = api.Duration(time.Duration(1+g.random.IntN(90)) * time.Second)
		spec.Estimate = spec.MaxDuration / 2
	}
	if g.chance(5) {
		spec.Prefer = map[string]string{"rack": fmt.Sprintf("r%d", g.random.IntN(4))}
	}
	if g.chance(9) {
		spec.Labels = map[string]string{"rack": fmt.Sprintf("r%d", g.random.IntN(4))}
	}
	if g.chance(7) {
		spec.Spread = &api.Spread{By: []string{"worker", "zone", "label:rack"}[g.random.IntN(3)], MaxPerDomain: 1 + g.random.IntN(3)}
	}
	if g.chance(12) {
		spec.UntilCancelled, spec.MaxDuration, spec.Estimate = true, 0, 0
	}
	return spec
}

// addStep adds the tasks of one step, as a gang or each alone.
func (g *goldenRun) addStep() {
	g.next++
	job, count := fmt.Sprintf("j%04d", g.next), 1+g.random.IntN(6)
	spec, priority := g.spec(), g.random.IntN(3)
	queue := []string{"a", "a", "b", "c", "d"}[g.random.IntN(5)]
	together := g.chance(4)
	if together && g.chance(6) {
		// No capacity comes free for all members at once: capacity is drained for them.
		count, spec.Resources = 4, api.Resources{CPUMillis: 8, MemoryMB: 8}
		spec.Labels, spec.Prefer = nil, nil
	}
	preferences := Preferences{StepSize: count, AllowsProbation: g.chance(5), PrefersProbation: g.chance(10), WaitsForPreferred: g.chance(4)}
	if g.chance(4) {
		preferences.Colocate = []string{"zone", "label:rack"}[g.random.IntN(2)]
	}
	if g.chance(6) {
		preferences.Avoid = []string{fmt.Sprintf("w%02d", g.random.IntN(8))}
	}
	for index := range count {
		task := Task{
			ID: record.TaskID{Job: job, Step: "s", Index: index}, Queue: queue, Priority: priority,
			Sequence: uint64(g.next*10 - g.random.IntN(40) + 400), Spec: spec, Preemptions: g.random.IntN(5), UntilCancelled: spec.UntilCancelled,
		}
		if together && count > 1 {
			task.Gang, task.GangSize = job+"/s", count
		}
		if !g.chance(3) {
			shared := preferences
			task.Preferences = &shared
		}
		g.add(task)
	}
}

func (g *goldenRun) add(task Task) {
	g.engine.Add(task)
	if _, known := g.waiting[task.ID]; !known {
		g.queued = append(g.queued, task.ID)
	}
	g.waiting[task.ID] = task
}

// draw returns one of the tasks in the map, and drops from the list what is gone.
func (g *goldenRun) draw(list *[]record.TaskID, of map[record.TaskID]Task) (Task, bool) {
	*list = slices.DeleteFunc(*list, func(id record.TaskID) bool { _, ok := of[id]; return !ok })
	if len(*list) == 0 {
		return Task{}, false
	}
	return of[(*list)[g.random.IntN(len(*list))]], true
}

// release ends an open run; some of its tasks wait again, as preempted ones do.
func (g *goldenRun) release(id record.TaskID, again bool) {
	task, ok := g.open[id]
	if !ok {
		return
	}
	delete(g.open, id)
	g.engine.Release(id)
	if again {
		task.Preemptions++
		task.StartedAt = 0
		g.add(task)
	}
}

// reserve keeps the windows known so far, some with another number of slots, or
// replaces them.
func (g *goldenRun) reserve() {
	if g.chance(2) {
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

// move has the run of an open task on another worker, as a new leader may find it.
func (g *goldenRun) move() {
	task, ok := g.draw(&g.order, g.open)
	if !ok {
		return
	}
	g.engine.AddRun(task, fmt.Sprintf("w%02d-1", g.random.IntN(10)))
}

// round makes some changes and plans.
func (g *goldenRun) round() {
	g.now += record.Millis(g.random.IntN(1500))
	g.engine.SetTime(g.now)
	for range g.random.IntN(4) {
		if len(g.waiting) < maxGoldenWaiting {
			g.addStep()
		}
	}
	for range g.random.IntN(5) {
		if task, ok := g.draw(&g.order, g.open); ok {
			g.release(task.ID, g.chance(6))
		}
	}
	if g.chance(4) {
		if task, ok := g.draw(&g.queued, g.waiting); ok {
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
		g.move()
	case 12:
		if task, ok := g.draw(&g.queued, g.waiting); ok {
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
	for _, task := range g.order {
		if open, ok := g.open[task]; ok && open.Queue != "" && g.where(task) == "" {
			delete(g.open, task)
			open.StartedAt = 0
			g.add(open)
		}
	}
}

// reservedSlots is the worker on which the engine has the run.
func (g *goldenRun) where(task record.TaskID) string {
	if r, ok := g.engine.runs.open[task]; ok {
		return r.worker.ID
	}
	return ""
}

func (g *goldenRun) plan(limit int) {
	for _, d := range g.engine.Plan(limit) {
		g.answers = fmt.Appendf(g.answers, "place %v %s %s %s\n", d.Task, d.WorkerID, d.Worker, d.Gang)
		g.counts.decisions++
		if d.Gang != "" {
			g.counts.gangMembers++
		}
		task := g.waiting[d.Task]
		delete(g.waiting, d.Task)
		task.StartedAt = g.now
		g.open[d.Task] = task
		g.order = append(g.order, d.Task)
	}
	for _, p := range g.engine.Preemptions() {
		g.answers = fmt.Appendf(g.answers, "preempt %v %s %v\n", p.Task, p.WorkerID, p.Beneficiary)
		g.counts.preemptions++
		if !g.chance(3) {
			g.release(p.Task, true)
		}
	}
	for _, s := range g.engine.ReservedSlots() {
		g.answers = fmt.Appendf(g.answers, "slots %s %s %s %d %d\n", s.Reservation, s.WorkerID, s.Worker, s.Slots, s.Used)
		g.counts.slotsUsed += s.Used
	}
	for range 3 {
		if task, ok := g.draw(&g.queued, g.waiting); ok {
			g.answers = fmt.Appendf(g.answers, "reason %v %s\n", task.ID, g.engine.Reason(task.ID))
			g.answers = fmt.Appendf(g.answers, "free %v\n", g.engine.HasFreeCapacity(task.Spec))
		}
	}
	g.answers = fmt.Appendf(g.answers, "waiting %d\n", g.engine.Waiting())
	if g.engine.gangDrains.current != nil {
		g.counts.drains++
	}
	g.counts.backfills += len(g.engine.backfill.reserved)
}

// goldenLine is the seed, the digest of all answers, and what was reached.
func goldenLine(seed uint64) string {
	g := newGoldenRun(seed)
	for range goldenRounds {
		g.round()
	}
	c := g.counts
	return fmt.Sprintf("%d %x decisions=%d gang_members=%d preemptions=%d slots_used=%d drains=%d backfills=%d",
		seed, sha256.Sum256(g.answers), c.decisions, c.gangMembers, c.preemptions, c.slotsUsed, c.drains, c.backfills)
}

// TestEngine_DecisionsMatchGolden compares whole sequences of decisions, preemptions,
// slots and reasons with those that the engine of commit b28aa49 gave to the same
// calls: whatever changes in the shape of the code, they stay as they were.
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
