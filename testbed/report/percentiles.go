package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Percentiles summarizes delays, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// percentilesOf summarizes delays. A delay below 0 or above maxMicros counts as that
// bound.
func percentilesOf(delays []time.Duration) Percentiles {
	histogram := hdrhistogram.New(1, maxMicros, significantDigits)
	for _, delay := range delays {
		// RecordValue fails only for a value out of bounds, and min and max exclude those.
		_ = histogram.RecordValue(min(max(delay.Microseconds(), 0), maxMicros))
	}
	at := func(percentile float64) float64 {
		return millis(time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond)
	}
	return Percentiles{Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: millis(time.Duration(histogram.Max()) * time.Microsecond)}
}

func millis(delay time.Duration) float64 { return float64(delay.Microseconds()) / 1000 }
