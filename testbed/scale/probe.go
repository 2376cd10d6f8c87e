package scale

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/monoclock"
)

const bytesPerMB = 1 << 20

// reading has the usage and the metrics of one process since its start.
type reading struct {
	at monoclock.Nanos
	// cpu is processor time in seconds.
	cpu float64
	// read and written are bytes passed through system calls: sockets, files and logs.
	// disk is the bytes written to files.
	read, written, disk float64
	// metrics has the value of each series, by "name{a=b,c=d}" with the labels in the
	// order of their names. Workers have no metrics.
	metrics map[string]float64
}

// metric returns the sum of all series of that name that have all the given labels, each
// as "label=value".
func (r reading) metric(name string, labels ...string) float64 {
	sum := 0.0
	for series, value := range r.metrics {
		family, rest, _ := strings.Cut(series, "{")
		if family == name && hasLabels(rest, labels) {
			sum += value
		}
	}
	return sum
}

func hasLabels(series string, labels []string) bool {
	for _, label := range labels {
		if !strings.Contains(","+strings.TrimSuffix(series, "}")+",", ","+label+",") {
			return false
		}
	}
	return true
}

// readProcess reads the usage and the metrics of a running process.
func readProcess(ctx context.Context, process *fleet.Process) (reading, error) {
	result, err := readProcfs(process.PID())
	if err != nil {
		return result, fmt.Errorf("read %s: %w", process.Spec.Name, err)
	}
	if process.Spec.Role == deployment.RoleWorker {
		return result, nil
	}
	result.metrics, err = scrape(ctx, process.Spec.URL()+"/metrics")
	if err != nil {
		return result, fmt.Errorf("read %s: %w", process.Spec.Name, err)
	}
	return result, nil
}

func readProcfs(pid int) (reading, error) {
	result := reading{at: monoclock.Now()}
	process, err := procfs.NewProc(pid)
	if err != nil {
		return result, err
	}
	stat, err := process.Stat()
	if err != nil {
		return result, err
	}
	io, err := process.IO()
	if err != nil {
		return result, err
	}
	result.cpu = stat.CPUTime()
	result.read, result.written, result.disk = float64(io.RChar), float64(io.WChar), float64(io.WriteBytes)
	return result, nil
}

// residentMB returns the resident memory of a process in MB, or 0 if it cannot be read
// because the process does not run.
func residentMB(pid int) float64 {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return 0
	}
	stat, err := process.Stat()
	if err != nil {
		return 0
	}
	return float64(stat.ResidentMemory()) / bytesPerMB
}

// scrape reads the counters and gauges of a process, and for each histogram the sum and
// the count over all its series.
func scrape(ctx context.Context, url string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(answer.Body)
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	values := map[string]float64{}
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, label.GetName()+"="+label.GetValue())
			}
			series := name + "{" + strings.Join(labels, ",") + "}"
			switch {
			case metric.GetCounter() != nil:
				values[series] = metric.GetCounter().GetValue()
			case metric.GetGauge() != nil:
				values[series] = metric.GetGauge().GetValue()
			case metric.GetHistogram() != nil:
				values[name+"_sum{}"] += metric.GetHistogram().GetSampleSum()
				values[name+"_count{}"] += float64(metric.GetHistogram().GetSampleCount())
			}
		}
	}
	return values, nil
}
