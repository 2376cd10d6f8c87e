package docs_test

import (
	"regexp"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/agent"
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
		if !registered[row[1]] {
			t.Errorf("METRICS.md lists %s, which no daemon registers", row[1])
		}
	}
	for name := range registered {
		if !written[name] {
			t.Errorf("METRICS.md has no row for %s", name)
		}
	}
}

// registeredMetrics builds the parts of all daemons and returns the names that
// they register. Descriptions are read rather than gathered, since a counter
// with labels is not gathered before it has counted.
func registeredMetrics(t *testing.T) map[string]bool {
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

// descriptionNames is a registerer that notes the names of metrics only.
type descriptionNames map[string]bool

var descriptionName = regexp.MustCompile(`fqName: "([^"]+)"`)

// Register implements prometheus.Registerer.
func (d descriptionNames) Register(collector prometheus.Collector) error {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		collector.Describe(descriptions)
	}()
	for description := range descriptions {
		d[descriptionName.FindStringSubmatch(description.String())[1]] = true
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
