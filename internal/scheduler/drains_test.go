package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func (h *harness) drainZone(zone string, drained bool) {
	h.t.Helper()
	request := protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: zone, Drained: drained}}
	if _, err := h.leader.drainZone(h.t.Context(), request); err != nil {
		h.t.Fatalf("drain zone %s: %v", zone, err)
	}
	h.settle()
}

func (h *harness) drains() []api.ZoneDrain {
	h.t.Helper()
	answer, err := h.leader.listDrains(h.t.Context(), protocol.Empty{})
	if err != nil {
		h.t.Fatalf("list drains: %v", err)
	}
	return answer.List.Zones
}

func (h *harness) workerStatus(name string) api.WorkerStatus {
	h.t.Helper()
	h.leader.mu.Lock()
	defer h.leader.mu.Unlock()
	return h.leader.workerStatus(h.leader.registry.byName[name])
}

// heartbeatFor advances the clocks by a duration, with a heartbeat of each worker every
// second.
func (h *harness) heartbeatFor(length time.Duration, workers ...*fakeWorker) {
	h.t.Helper()
	for range int(length / time.Second) {
		h.advance(time.Second)
		for _, worker := range workers {
			worker.exchange()
		}
	}
}

// workerIn returns a worker in the given zone.
func (h *harness) workerIn(zone, name, incarnation string) *fakeWorker {
	worker := h.newWorker(name, incarnation)
	worker.zone = zone
	return worker
}

func TestZoneDrain_RevokesAndStops(t *testing.T) {
	h := newHarness(t)
	worker, other := h.workerIn("z1", "a", "a-1"), h.workerIn("z2", "b", "b-1")
	worker.exchange()
	endless := tasks(1)
	endless.Tasks[0].UntilCancelled = true
	h.submit("endless", endless)
	h.submit("finite", tasks(1))
	worker.exchange()
	h.submit("unordered", tasks(1))
	h.drainZone("z1", true)
	answer := worker.exchange()
	if len(answer.Start) != 0 || len(answer.Stop) != 1 || answer.Stop[0].Task != "endless/s/0" {
		t.Fatalf("got %+v, want only the run of job endless stopped and nothing started", answer)
	}
	if status := h.workerStatus("a"); status.State != api.WorkerDraining || status.Reason != string(drainedByOrder) {
		t.Errorf("got worker state %s with reason %q, want draining by an order", status.State, status.Reason)
	}
	other.exchange()
	if answer := other.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "unordered/s/0" {
		t.Errorf("other worker: got starts %+v, want the revoked task", answer.Start)
	}
	grace := h.leader.settings.config.Timings.DrainGrace.Std()
	h.heartbeatFor(grace-time.Second, worker, other)
	if answer := worker.exchange(); len(answer.Stop) != 1 {
		t.Errorf("within the drain grace: got stops %+v, want only the run of job endless", answer.Stop)
	}
	h.heartbeatFor(time.Second, worker, other)
	if answer := worker.exchange(); len(answer.Stop) != 2 {
		t.Errorf("after the drain grace: got stops %+v, want both runs", answer.Stop)
	}
	worker.endAllRuns(api.OutcomeStopped)
	worker.exchange()
	for _, job := range []string{"endless", "finite", "unordered"} {
		if failures := h.task(job, 0).Failures; failures != 0 {
			t.Errorf("job %s: got %d failures after the drain, want 0", job, failures)
		}
	}
}

func TestZoneDrain_IsIdempotentAndReversible(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("a", "a-1")
	worker.exchange()
	h.drainZone("z1", true)
	h.drainZone("z1", true)
	h.submit("j", tasks(1))
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Fatalf("drained zone: got starts %+v, want none", answer.Start)
	}
	h.drainZone("z1", false)
	h.drainZone("z1", false)
	h.advance(tickInterval)
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Errorf("after the drain: got starts %+v, want the task", answer.Start)
	}
}

func TestZoneDrain_SurvivesLeaderChange(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("a", "a-1")
	worker.exchange()
	h.drainZone("z1", true)
	h.newTerm()
	h.submit("j", tasks(1))
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Errorf("drained zone under a new leader: got starts %+v, want none", answer.Start)
	}
	if drains := h.drains(); len(drains) != 1 || drains[0] != (api.ZoneDrain{Zone: "z1", Drained: true}) {
		t.Errorf("got drains %+v, want zone z1", drains)
	}
}

func TestZoneDrain_InvalidIsRefused(t *testing.T) {
	h := newHarness(t)
	for _, zone := range []string{"", "z 1", "z/1"} {
		request := protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: zone, Drained: true}}
		if _, err := h.leader.drainZone(t.Context(), request); err == nil {
			t.Errorf("zone %q was accepted, want an error", zone)
		}
	}
	for i := range maxDrainedZones {
		h.drainZone(fmt.Sprint("z", i), true)
	}
	h.drainZone("z0", true) // already drained, so not counted again
	request := protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: "more", Drained: true}}
	if _, err := h.leader.drainZone(t.Context(), request); err == nil {
		t.Error("a zone beyond maxDrainedZones was accepted, want an error")
	}
	h.log.holdsLease = false
	if _, err := h.leader.drainZone(t.Context(), protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: "z0"}}); err == nil {
		t.Error("order that was not committed: got no error")
	}
}

// TestDrains_ConfigAndZoneDrainAreIndependent: after any sequence of configurations,
// orders and leader changes, a worker must be drained exactly if the last configuration
// or the last order on its zone says so.
func TestDrains_ConfigAndZoneDrainAreIndependent(t *testing.T) {
	zones := []string{"z1", "z2", "z3"}
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t)
		for _, zone := range zones {
			worker := h.workerIn(zone, "w-"+zone, "i-"+zone)
			worker.exchange()
		}
		byConfig, byOrder := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			zone := rapid.SampledFrom(zones).Draw(r, "zone")
			drained := rapid.Bool().Draw(r, "drained")
			switch rapid.IntRange(0, 2).Draw(r, "kind") {
			case 0:
				h.drainZone(zone, drained)
				byOrder[zone] = drained
			case 1:
				byConfig[zone] = drained
				h.putConfig(configDraining(zones, byConfig))
			default:
				h.newTerm()
			}
			for _, zone := range zones {
				worker := h.leader.registry.byName["w-"+zone]
				if want := byConfig[zone] || byOrder[zone]; worker.isDrained() != want || worker.isLeaving() != want {
					r.Fatalf("worker in zone %s: got drained %v, want %v", zone, worker.isDrained(), want)
				}
			}
		}
		h.stopObserving()
	})
}

// configDraining returns a configuration that drains the given zones for which drained is
// true.
func configDraining(zones []string, drained map[string]bool) api.Config {
	config := api.Config{Queues: []api.QueueConfig{{Name: "q"}}}
	for _, zone := range zones {
		if drained[zone] {
			config.Drains.Zones = append(config.Drains.Zones, zone)
		}
	}
	return config
}

func TestDrains_GraceCountsFromFirstDrain(t *testing.T) {
	h := newHarness(t)
	worker := h.startRunning("a", 1)
	grace := h.leader.settings.config.Timings.DrainGrace.Std()
	h.drainZone("z1", true)
	for range int(grace / time.Second) {
		h.heartbeatFor(time.Second, worker)
		h.putConfig(configDraining([]string{"z1"}, map[string]bool{"z1": true}))
	}
	if answer := worker.exchange(); len(answer.Stop) != 1 {
		t.Errorf("got stops %+v, want the run stopped after the grace of the first drain", answer.Stop)
	}
}

func TestDrains_RevokeAndStop(t *testing.T) {
	h := newHarness(t)
	worker, other := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	worker.exchange()
	endless := tasks(1)
	endless.Tasks[0].UntilCancelled = true
	h.submit("endless", endless)
	worker.exchange()
	h.submit("unordered", tasks(1))
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}}, Drains: api.DrainConfig{Workers: []string{"a"}}})
	answer := worker.exchange()
	if len(answer.Start) != 0 || len(answer.Stop) != 1 || answer.Stop[0].Task != "endless/s/0" {
		t.Fatalf("got %+v, want only the run of job endless stopped and nothing started", answer)
	}
	worker.endAllRuns(api.OutcomeStopped)
	worker.exchange()
	other.exchange()
	if answer := other.exchange(); len(answer.Start) != 2 {
		t.Errorf("other worker: got starts %+v, want both tasks", answer.Start)
	}
	if failures := h.task("endless", 0).Failures; failures != 0 {
		t.Errorf("got %d failures after the drain, want 0", failures)
	}
}
