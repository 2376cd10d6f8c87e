package placement

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// tasksPerPass is the number of runs that end, and of tasks that are added, between
// passes.
const tasksPerPass = 100

// acceleratorWorkers is the number of workers of a fleet that have one accelerator.
const acceleratorWorkers = 100

// benchLoad is a fleet near its total capacity on which runs end and new tasks arrive.
type benchLoad struct {
	engine  *Engine
	running []Task
	next    int
	// change modifies each task added during the measurement; it may be nil.
	change func(*Task)
}

func newBenchLoad(workers, running int) *benchLoad {
	l := &benchLoad{engine: New(Config{})}
	l.engine.SetQueues([]QueueRule{{Name: "q0", Weight: 1}, {Name: "q1", Weight: 2}, {Name: "q2", Weight: 3}})
	perWorker := int64(running/workers + 2)
	for i := range workers {
		capacity := api.Resources{CPUMillis: perWorker * 250, MemoryMB: perWorker * 512}
		if i < acceleratorWorkers {
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

// task returns the next task. There are eight shapes.
func (l *benchLoad) task() Task {
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

// measure times releases, adds and passes, and reports the tasks placed per second.
func (l *benchLoad) measure(b *testing.B) {
	b.Helper()
	placed := 0
	tasks := make(map[record.TaskID]Task, tasksPerPass)
	for b.Loop() {
		b.StopTimer()
		ending := l.running[:tasksPerPass]
		l.running = l.running[tasksPerPass:]
		clear(tasks)
		added := make([]Task, tasksPerPass)
		for i := range added {
			added[i] = l.task()
			if l.change != nil {
				added[i].Preferences = &Preferences{}
				l.change(&added[i])
			}
			tasks[added[i].ID] = added[i]
		}
		b.StartTimer()
		for _, task := range ending {
			l.engine.Release(task.ID)
		}
		for _, task := range added {
			l.engine.Add(task)
		}
		decisions := l.engine.Plan(tasksPerPass)
		b.StopTimer()
		if len(decisions) != tasksPerPass {
			b.Fatalf("got %d tasks placed, want %d", len(decisions), tasksPerPass)
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
			newBenchLoad(fleet.workers, fleet.running).measure(b)
		})
	}
}

// BenchmarkPlanWithDeferringQueue measures passes while tasks of 400 shapes wait, each
// for an entire worker, and another queue defers to theirs.
func BenchmarkPlanWithDeferringQueue(b *testing.B) {
	l := newBenchLoad(1200, 22000)
	for number := range 1200 { // so that no worker ever becomes empty
		l.engine.AddRun(l.task(), fmt.Sprint("id", number))
	}
	for _, task := range l.running[:2000] { // free capacity outside the reserved workers
		l.engine.Release(task.ID)
	}
	l.running = l.running[2000:]
	l.engine.SetQueues([]QueueRule{{Name: "q0", Weight: 1, BySlack: true}, {Name: "q1", Weight: 2, BySlack: true}, {Name: "q2", Weight: 3, BySlack: true}})
	l.engine.SetDeferences([]Deference{{Queue: "q0", To: []string{"q1", "q2"}}})
	for number := range 400 {
		needed := l.engine.workers.byID["id500"].Capacity
		needed.MemoryMB -= int64(number)
		l.engine.Add(Task{
			ID: record.TaskID{Job: "large", Step: "a", Index: number}, Queue: "q1",
			Spec: &api.TaskSpec{Service: "s", Resources: needed},
		})
	}
	l.engine.Plan(1)
	l.measure(b)
}

// addImpossible adds tasks that no worker can hold, in some 400 classes and in gangs of
// 20, with a higher priority than all other tasks.
func (l *benchLoad) addImpossible(count int) {
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

// addLargeGangs adds gangs of 128 whose members fit individually but never all at once:
// the fleet has 100 accelerators, or a zone may hold 40 runs of a step.
func (l *benchLoad) addLargeGangs(gangs int, spread *api.Spread) {
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

// BenchmarkPlanWithGangs measures gangs that wait for capacity that any release could add
// to.
func BenchmarkPlanWithGangs(b *testing.B) {
	spread := &api.Spread{By: api.SpreadByZone, MaxPerDomain: 40}
	for _, c := range []struct {
		name   string
		gangs  int
		spread *api.Spread
	}{{"none", 0, nil}, {"alike", 150, nil}, {"spread", 150, spread}} {
		b.Run(c.name, func(b *testing.B) {
			l := newBenchLoad(1200, 22000)
			l.addLargeGangs(c.gangs, c.spread)
			l.measure(b)
		})
	}
}

func BenchmarkPlanWithWaiting(b *testing.B) {
	for _, count := range []int{0, 1000, 20000} {
		b.Run(fmt.Sprintf("waiting=%d", count), func(b *testing.B) {
			l := newBenchLoad(1200, 22000)
			l.addImpossible(count)
			l.engine.Plan(tasksPerPass)
			l.measure(b)
			if l.engine.Waiting() != count {
				b.Fatalf("got %d tasks waiting, want %d", l.engine.Waiting(), count)
			}
		})
	}
}

// reserve reserves slots for which there is capacity, in windows of four queues: one
// window is open, the others open later.
func (l *benchLoad) reserve(slots int) {
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

// newBenchLoadWithReservations returns a load with capacity for its tasks beside the
// slots.
func newBenchLoadWithReservations() *benchLoad {
	l := newBenchLoad(1200, 22000)
	for i := range 1200 {
		w := l.engine.workers.byID[fmt.Sprint("id", i)].Worker
		w.Capacity.CPUMillis += 400
		w.Capacity.MemoryMB += 512
		l.engine.SetWorker(w)
	}
	l.reserve(2000)
	return l
}

// BenchmarkPlanWithReservations measures passes with 2,000 slots on 1,200 workers.
func BenchmarkPlanWithReservations(b *testing.B) {
	for _, count := range []int{0, 1000, 20000} {
		b.Run(fmt.Sprintf("waiting=%d", count), func(b *testing.B) {
			l := newBenchLoadWithReservations()
			placed := 0
			for _, s := range l.engine.ReservedSlots() {
				placed += s.Slots
			}
			if placed != 2000 {
				b.Fatalf("got %d slots with a worker, want 2000", placed)
			}
			l.addImpossible(count)
			l.engine.Plan(tasksPerPass)
			l.measure(b)
		})
	}
}

// BenchmarkAssignReservedSlots measures finding workers for 2,000 slots at once.
func BenchmarkAssignReservedSlots(b *testing.B) {
	l := newBenchLoadWithReservations()
	for b.Loop() {
		l.engine.SetReservations(nil)
		l.reserve(2000)
	}
}
