package scheduler

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/record"
)

// stateCollector implements prometheus.Collector. At each collection it counts the
// objects in this process's memory: those of the record on every scheduler, and on the
// leader also its workers, open runs and watching processes.
type stateCollector struct {
	service *Service

	jobs, pending, recordedRuns *prometheus.Desc
	workers, openRuns, watchers *prometheus.Desc
}

func newStateCollector(service *Service) *stateCollector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("decklever_state_"+name, help, nil, nil)
	}
	return &stateCollector{
		service:      service,
		jobs:         describe("jobs", "Jobs in the record's memory."),
		pending:      describe("pending_tasks", "Tasks in the record that wait."),
		recordedRuns: describe("open_runs", "Open runs in the record."),
		workers:      describe("worker_incarnations", "Worker incarnations that the acting scheduler follows."),
		openRuns:     describe("mirrored_runs", "Open runs that the acting scheduler mirrors."),
		watchers:     describe("watching_processes", "Fronts and agents that the acting scheduler has heard."),
	}
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.jobs, c.pending, c.recordedRuns, c.workers, c.openRuns, c.watchers} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value int) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value))
	}
	if c.service.log == nil {
		return
	}
	var counts record.QueueCounts
	c.service.log.Record().Read(func(view record.View) { counts = countQueues(view) })
	gauge(c.jobs, counts.Jobs)
	gauge(c.pending, counts.PendingTasks)
	gauge(c.recordedRuns, counts.RunningTasks)
	current := c.service.leader.Load()
	if current == nil {
		return
	}
	current.mu.Lock()
	defer current.mu.Unlock()
	gauge(c.workers, len(current.registry.byID))
	gauge(c.openRuns, len(current.assignments.runs))
	gauge(c.watchers, len(current.settings.processes))
}

// countQueues returns the sum of the counts of all configured queues.
func countQueues(view record.View) record.QueueCounts {
	var sum record.QueueCounts
	_, config := view.Config()
	for _, queue := range config.Queues {
		counts := view.QueueCounts(queue.Name)
		sum.Jobs += counts.Jobs
		sum.PendingTasks += counts.PendingTasks
		sum.RunningTasks += counts.RunningTasks
	}
	return sum
}
