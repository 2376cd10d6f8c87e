package placement

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// tasksPerPass is how many runs end and how many tasks come between passes.
const tasksPerPass = 100

// accelerators is how many workers of a fleet have one.
const accelerators = 100

// load is a fleet near its full capacity on which tasks end and others come.
type load struct {
	engine  *Engine
	running []Task
	next    int
	// change alters each task that comes; it may be nil.
	change func(*Task)
}

func newLoad(workers, running int) *load {
	l := &load{engine: New(Config{})}
	l.engine.SetQueues([]QueueRule{{Name: "q0", Weight: 1}, {Name: "q1", Weight: 2}, {Name: "q2", Weight: 3}})
	perWorker := int64(running/workers + 2)
	for i := range workers {
		capacity := api.Resources{CPUMillis: perWorker * 250, MemoryMB: perWorker * 512}
		if i < accelerators {
			capacity.Accelerators = 1
		}
		l.engine.SetWorker(Worker{
			ID: fmt.Sprint("id", i), Name: fmt.Sprintf("w%04d", i), Zone: fmt.Sprint("z", i%3),
			Capacity: capacity,
			Services: []string{"s", "x"}, Usable: true,
		})
	}
	for range running {
		task := l.task()
		l.engine.AddRun(task, fmt.Sprint("id", l.next%workers))
		l.running = append(l.running, task)
	}
	return l
}

// task returns the next task; there are eight shapes.
func (l *load) task() Task {
	l.next++
	return Task{
		ID:    record.TaskID{Job: fmt.Sprint("job", l.next/20), Step: "a", Index: l.next % 20},
		Queue: fmt.Sprint("q", l.next%3), Sequence: uint64(l.next),
		Spec: &api.TaskSpec{
			Service:   []string{"s", "x"}[l.next%2],
			Resources: api.Resources{CPUMillis: 100 + int64(l.next%4)*50, MemoryMB: 256},
		},
	}
}

// updateFree times releases, adds and passes, and reports tasks placed a second.
func (l *load) measure(b *testing.B) {
	b.Helper()
	placed := 0
	tasks := make(map[record.TaskID]Task, tasksPerPass)
	for b.Loop() {
		b.StopTimer()
		ending := l.running[:tasksPerPass]
		l.running = l.running[tasksPerPass:]
		clear(tasks)
		coming := make([]Task, tasksPerPass)
		for i := range coming {
			coming[i] = l.task()
			if l.change != nil {
				coming[i].Preferences = &Preferences{}
				l.change(&coming[i])
			}
			tasks[coming[i].ID] = coming[i]
		}
		b.StartTimer()
		for _, task := range ending {
			l.engine.Release(task.ID)
		}
		for _, task := range coming {
			l.engine.Add(task)
		}
		decisions := l.engine.Plan(tasksPerPass)
		b.StopTimer()
		if len(decisions) != tasksPerPass {
			b.Fatalf("placed %d of %d", len(decisions), tasksPerPass)
		}
		for _, d := range decisions {
			l.running = append(l.running, tasks[d.Task])
		}
		placed += len(decisions)
		b.StartTimer()
	}
	b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "tasks/s")
}

func BenchmarkPlan(b *testing.B) {
	for _, fleet := range []struct{ workers, running int }{{11, 200}, {1200, 22000}} {
		b.Run(fmt.Sprintf("workers=%d", fleet.workers), func(b *testing.B) {
			newLoad(fleet.workers, fleet.running).measure(b)
		})
	}
}

// BenchmarkPlanWithDeferringQueue has tasks of 400 shapes wait for a whole worker, and a
// queue that defers to them.
func BenchmarkPlanWithDeferringQueue(b *testing.B) {
	l := newLoad(1200, 22000)
	for number := range 1200 { // that no worker is ever empty
		l.engine.AddRun(l.task(), fmt.Sprint("id", number))
	}
	for _, task := range l.running[:2000] { // capacity beside the reserved workers
		l.engine.Release(task.ID)
	}
	l.running = l.running[2000:]
	l.engine.SetQueues([]QueueRule{{Name: "q0", Weight: 1, BySlack: true}, {Name: "q1", Weight: 2, BySlack: true}, {Name: "q2", Weight: 3, BySlack: true}})
	l.engine.SetDeferences([]Deference{{Queue: "q0", To: []string{"q1", "q2"}}})
	for number := range 400 {
		whole := l.engine.workers.byID["id500"].Capacity
		whole.MemoryMB -= int64(number)
		l.engine.Add(Task{
			ID: record.TaskID{Job: "large", Step: "a", Index: number}, Queue: "q1",
			Spec: &api.TaskSpec{Service: "s", Resources: whole},
		})
	}
	l.engine.Plan(1)
	l.measure(b)
}

// addImpossible adds tasks that no worker can hold, in some 400 classes and
// in gangs of 20, ahead of all others.
func (l *load) addImpossible(count int) {
	for i := range count {
		task := l.task()
		task.ID.Job = fmt.Sprint("impossible", i/20)
		task.Priority = 10
		kind := int64(i / 20 % 100)
		switch i / 20 % 4 {
		case 0:
			task.Spec.Resources.CPUMillis = 1_000_000 + kind
		case 1:
			task.Spec.Service = fmt.Sprint("none", kind)
		case 2:
			task.Spec.Labels = map[string]string{"none": fmt.Sprint(kind)}
		case 3:
			task.Spec.Resources.CPUMillis = 1_000_000 + kind
			task.Gang, task.GangSize = task.ID.Job, 20
		}
		task.ID.Index = i % 20
		l.engine.Add(task)
	}
}

// addLargeGroups adds gangs of 128 whose members fit one by one, but which
// never have as many places: the fleet has 100 accelerators, or a zone takes 40
// of a step.
func (l *load) addLargeGroups(gangs int, spread *api.Spread) {
	for i := range gangs * 128 {
		task := l.task()
		task.ID = record.TaskID{Job: fmt.Sprint("large", i/128), Step: "a", Index: i % 128}
		task.Priority = 10
		task.Spec = &api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 100 + int64(i/128%10)}, Spread: spread}
		if spread == nil {
			task.Spec.Resources = api.Resources{Accelerators: 1}
		}
		task.Gang, task.GangSize = task.ID.Job, 128
		l.engine.Add(task)
	}
}

// BenchmarkPlanWithGangs has gangs that wait for capacity that every release
// could add to.
func BenchmarkPlanWithGangs(b *testing.B) {
	spread := &api.Spread{By: api.SpreadByZone, MaxPerDomain: 40}
	for _, c := range []struct {
		name   string
		groups int
		spread *api.Spread
	}{{"none", 0, nil}, {"alike", 150, nil}, {"spread", 150, spread}} {
		b.Run(c.name, func(b *testing.B) {
			l := newLoad(1200, 22000)
			l.addLargeGroups(c.groups, c.spread)
			l.measure(b)
		})
	}
}

func BenchmarkPlanWithWaiting(b *testing.B) {
	for _, count := range []int{0, 1000, 20000} {
		b.Run(fmt.Sprintf("waiting=%d", count), func(b *testing.B) {
			l := newLoad(1200, 22000)
			l.addImpossible(count)
			l.engine.Plan(tasksPerPass)
			l.measure(b)
			if l.engine.Waiting() != count {
				b.Fatalf("%d wait, expected %d", l.engine.Waiting(), count)
			}
		})
	}
}

// reserve reserves slots that find capacity, in windows of four queues: one
// open, the others to come.
func (l *load) reserve(slots int) {
	var windows []Reservation
	for i := range 4 {
		windows = append(windows, Reservation{
			ID: fmt.Sprint("window", i), Queue: fmt.Sprint("booked", i), Service: "s",
			Start: record.Millis(1 + i*600_000), End: record.Millis(1 + i*600_000 + 3_600_000),
			Slots: slots / 4, SlotSize: api.Resources{CPUMillis: 200, MemoryMB: 128},
		})
	}
	l.engine.SetTime(1)
	l.engine.SetReservations(windows)
	l.engine.Plan(0)
}

// newLoadWithReservations has capacity for its tasks beside the slots.
func newLoadWithReservations() *load {
	l := newLoad(1200, 22000)
	for i := range 1200 {
		w := l.engine.workers.byID[fmt.Sprint("id", i)].Worker
		w.Capacity.CPUMillis += 400
		w.Capacity.MemoryMB += 512
		l.engine.SetWorker(w)
	}
	l.reserve(2000)
	return l
}

// BenchmarkPlanWithReservations has 2,000 slots on 1,200 workers.
func BenchmarkPlanWithReservations(b *testing.B) {
	for _, count := range []int{0, 1000, 20000} {
		b.Run(fmt.Sprintf("waiting=%d", count), func(b *testing.B) {
			l := newLoadWithReservations()
			placed := 0
			for _, s := range l.engine.ReservedSlots() {
				placed += s.Slots
			}
			if placed != 2000 {
				b.Fatalf("%d slots have a worker, expected 2000", placed)
			}
			l.addImpossible(count)
			l.engine.Plan(tasksPerPass)
			l.measure(b)
		})
	}
}

// BenchmarkAssignReservedSlots finds workers for 2,000 slots at once.
func BenchmarkAssignReservedSlots(b *testing.B) {
	l := newLoadWithReservations()
	for b.Loop() {
		l.engine.SetReservations(nil)
		l.reserve(2000)
	}
}
