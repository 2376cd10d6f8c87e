package docs_test

import (
	"regexp"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/agent"
	"github.com/decklever/decklever/internal/compatibility/golden"
	"github.com/decklever/decklever/internal/front"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/scheduler"
	"github.com/decklever/decklever/internal/storage"
)

// metricRow matches a row of docs/METRICS.md, such as
// "| `decklever_agent_token` | ...".
var metricRow = regexp.MustCompile("(?m)^\\| `(decklever_[a-z0-9_]+)` \\|")

func TestMetricsPageListsWhatIsRegistered(t *testing.T) {
	registered := registeredMetrics(t)
	written := map[string]bool{}
	for _, row := range metricRow.FindAllStringSubmatch(read(t, "METRICS.md"), -1) {
		if written[row[1]] {
			t.Errorf("METRICS.md lists %s twice", row[1])
		}
		written[row[1]] = true
		if _, exists := registered[row[1]]; !exists {
			t.Errorf("METRICS.md lists %s, which no daemon registers", row[1])
		}
	}
	for name := range registered {
		if !written[name] {
			t.Errorf("METRICS.md has no row for %s", name)
		}
	}
}

// TestMetrics_RegisteredAsBefore compares names, help texts and labels with those
// of an earlier commit: dashboards and alerts of the users are built on them.
func TestMetrics_RegisteredAsBefore(t *testing.T) {
	golden.Compare(t, "testdata/metrics.txt", golden.Values(registeredMetrics(t)))
}

// registeredMetrics builds the parts of all daemons and returns the descriptions
// of the metrics that they register, by name. Descriptions are read rather than gathered, since a counter
// with labels is not gathered before it has counted.
func registeredMetrics(t *testing.T) descriptionNames {
	t.Helper()
	names := descriptionNames{}
	client := rpc.NewClient(rpc.ClientConfig{})
	t.Cleanup(client.Close)
	link := leaderclient.New(leaderclient.Config{Client: client})
	_, err := front.New(front.Config{Link: link, Client: client, Registerer: names})
	must(t, err)
	_, err = agent.New(agent.Config{
		Name: "agent", Zone: func() string { return "zone" }, RelayTimeout: time.Second,
		Link: link, Client: client, Registerer: names,
	})
	must(t, err)
	store := storage.NewMemory(1)
	_, err = replica.New(replica.Config{
		Name: "scheduler", Address: "127.0.0.1:7100", Seeds: []string{"127.0.0.1:7100"}, Client: client,
		Store: store, Record: record.NewMachine(record.Config{Archive: store.Archive()}), Registerer: names,
	})
	must(t, err)
	scheduler.NewService(scheduler.Config{Archive: store.Archive(), Registerer: names})
	_, err = rpc.NewMetrics(names)
	must(t, err)
	return names
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// descriptionNames is a registerer that keeps the descriptions of metrics only,
// by name.
type descriptionNames map[string]string

var descriptionName = regexp.MustCompile(`fqName: "([^"]+)"`)

// Register implements prometheus.Registerer.
func (d descriptionNames) Register(collector prometheus.Collector) error {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		collector.Describe(descriptions)
	}()
	for description := range descriptions {
		text := description.String()
		d[descriptionName.FindStringSubmatch(text)[1]] = text
	}
	return nil
}

// MustRegister implements prometheus.Registerer.
func (d descriptionNames) MustRegister(collectors ...prometheus.Collector) {
	for _, collector := range collectors {
		if err := d.Register(collector); err != nil {
			panic(err)
		}
	}
}

// Unregister implements prometheus.Registerer.
func (d descriptionNames) Unregister(prometheus.Collector) bool { return false }
