package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Percentiles of a delay, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// percentilesOf summarizes delays; those out of range count as the nearest bound.
func percentilesOf(delays []time.Duration) Percentiles {
	histogram := hdrhistogram.New(1, highestMicros, significantDigits)
	for _, delay := range delays {
		// The value is within the bounds, which is the only error there is.
		_ = histogram.RecordValue(min(max(delay.Microseconds(), 0), highestMicros))
	}
	at := func(percentile float64) float64 {
		return millis(time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond)
	}
	return Percentiles{Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: millis(time.Duration(histogram.Max()) * time.Microsecond)}
}

func millis(delay time.Duration) float64 { return float64(delay.Microseconds()) / 1000 }
