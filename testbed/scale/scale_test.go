package scale

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/monoclock"
)

func TestFit_FindsSlopesOfExactValues(t *testing.T) {
	want := Fit{Base: 7, PerWorker: 0.05, PerTask: 0.002, PerStart: 0.3}
	var values []float64
	for _, size := range SweepSizes() {
		values = append(values, want.At(size))
	}
	got, err := fit(SweepSizes(), values)
	if err != nil {
		t.Fatal(err)
	}
	for _, pair := range [][2]float64{
		{got.Base, want.Base}, {got.PerWorker, want.PerWorker}, {got.PerTask, want.PerTask}, {got.PerStart, want.PerStart}, {got.R2, 1},
	} {
		if math.Abs(pair[0]-pair[1]) > 1e-6 {
			t.Errorf("fit: got %+v, want %+v with R2 1", got, want)
			break
		}
	}
}

func TestFit_DependentFactorsAreRejected(t *testing.T) {
	same := []Size{TargetSize, TargetSize, TargetSize, TargetSize}
	if _, err := fit(same, make([]float64, len(same))); !errors.Is(err, errSingular) {
		t.Errorf("got error %v, want %v", err, errSingular)
	}
}

func TestLayout_HasEachWorkerOnceAndCapacityForAllTasks(t *testing.T) {
	for _, size := range SweepSizes() {
		l := newLayout(Config{Size: size, Instance: 1}, "journals")
		names, addresses, zonesSeen := map[string]bool{}, map[string]bool{}, map[string]bool{}
		var cpu, devices int64
		for _, worker := range l.workers {
			names[worker.Name], zonesSeen[worker.Zone] = true, true
			cpu += worker.Capacity.CPUMillis
			devices += worker.Capacity.Accelerators
		}
		if len(names) != size.Workers || len(zonesSeen) != min(zones, size.Workers) {
			t.Errorf("%+v: got %d worker names in %d zones, want one name for each worker and all zones", size, len(names), len(zonesSeen))
		}
		if cpu < int64(size.Tasks)*taskCPUMillis || devices != int64(size.accelerators()) || devices < int64(size.Gangs*size.GangSize) {
			t.Errorf("%+v: got capacity for %d tasks and %d devices, want enough for the size", size, cpu/taskCPUMillis, devices)
		}
		hollowNodes := 0
		for _, spec := range l.hollowSpecs {
			hollowNodes += len(spec.Nodes)
		}
		if hollowNodes != size.Workers-realNodes {
			t.Errorf("%+v: got %d hollow nodes, want one for each worker that is not real", size, hollowNodes)
		}
		for _, process := range l.deployment.Processes {
			if process.Role != deployment.RoleWorker && addresses[process.Address] {
				t.Errorf("%+v: got address %s twice, want distinct addresses", size, process.Address)
			}
			addresses[process.Address] = true
		}
	}
}

func TestStreams_AddUpToRate(t *testing.T) {
	for _, size := range SweepSizes() {
		rate := 0.0
		for _, one := range size.streams() {
			if one.name != queueUrgent {
				rate += float64(one.tasks) / one.interval.Seconds()
			}
		}
		if math.Abs(rate-size.StartsPerSecond) > size.StartsPerSecond/1000 {
			t.Errorf("%+v: got %.2f starts per second, want the rate of the size within 0.1%%", size, rate)
		}
	}
}

func TestReading_SumsSeriesWithLabels(t *testing.T) {
	one := reading{metrics: map[string]float64{
		"calls{method=watch,side=server}": 2, "calls{method=heartbeat,side=server}": 3, "calls{method=watch,side=client}": 5, "calls_other{side=server}": 7,
	}}
	if got := one.metric("calls", "side=server"); got != 5 {
		t.Errorf("served calls: got %v, want 5", got)
	}
	if got := one.metric("calls", "method=watch"); got != 7 {
		t.Errorf("watch calls: got %v, want 7", got)
	}
}

func TestDelaysOf_ReturnsPercentiles(t *testing.T) {
	var delays []time.Duration
	for number := range 100 {
		delays = append(delays, time.Duration(100-number)*time.Millisecond)
	}
	got := delaysOf(delays)
	if want := (Delays{Count: 100, P50: 51, P95: 96, P99: 100, Max: 100}); got != want {
		t.Errorf("delays: got %+v, want %+v", got, want)
	}
	if none := delaysOf(nil); none != (Delays{}) {
		t.Errorf("delays of no tasks: got %+v, want zero", none)
	}
}

func TestAddDelays_CountsTasksThatNeverStarted(t *testing.T) {
	second := monoclock.Nanos(time.Second)
	spec := &api.JobSpec{Queue: queueBulk, Steps: []api.StepSpec{{Name: "s", Tasks: make([]api.TaskSpec, 3)}}}
	submit := calllog.Entry{Kind: calllog.KindSubmit, Sent: second, Answered: second, JobID: "j", Spec: spec}
	late := submit
	late.Sent, late.JobID = 9*second, "late"
	result := Result{Window: [2]monoclock.Nanos{0, 10 * second}}
	addDelays(&result, []calllog.Entry{submit, late}, map[string]monoclock.Nanos{"j/s/0": 2 * second, "j/s/2": 3 * second})
	if result.Unstarted != 1 || result.Plain.Count != 2 || result.Submit.Count != 1 {
		t.Errorf("got %d unstarted, %d started, %d submitted, want 1, 2 and 1", result.Unstarted, result.Plain.Count, result.Submit.Count)
	}
}
