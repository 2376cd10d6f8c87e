package report

import (
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Flood compares the phase of a flood of submissions with the phase before it.
type Flood struct {
	// Answers counts, by class and HTTP status, the answers to submissions that had to
	// be rejected; status 0 means no answer.
	Answers          map[calllog.Class]map[int]int `json:"answers"`
	AnswersPerSecond float64                       `json:"answers_per_second"`
	// Unavailable counts the answers with status 503.
	Unavailable int `json:"unavailable"`
	// Discarded counts the accepted jobs that the flood submits in order to cancel
	// them in bulk; Cancelled counts the discarded jobs last reported as cancelled.
	Discarded int `json:"discarded"`
	Cancelled int `json:"cancelled"`
	// Baseline is from the start of the load to the flood, Flooded is the flood itself.
	Baseline Phase `json:"quiet"`
	Flooded  Phase `json:"flooded"`
}

// Phase is what callers of ordinary jobs saw in one part of the run.
type Phase struct {
	Seconds float64 `json:"seconds"`
	// JobsAccepted counts jobs, JobsRefused counts rejected submissions.
	JobsAccepted int         `json:"jobs_accepted"`
	JobsRefused  int         `json:"jobs_refused"`
	SubmitAnswer Percentiles `json:"submit_answer"`
	ReadyToStart Percentiles `json:"ready_to_start"`
}

// span is the part of a run from the time from up to, but not including, the time until.
type span struct{ from, until monoclock.Nanos }

func (s span) contains(at monoclock.Nanos) bool { return at >= s.from && at < s.until }
func (s span) seconds() float64                 { return s.until.Sub(s.from).Seconds() }

// newFlood summarizes the flood of a run; nil if there was none.
func newFlood(input checker.Input, o *observations, delays []checker.StartDelay) *Flood {
	start, end, known := checker.FloodPhases(input)
	if !known {
		return nil
	}
	flood := &Flood{Answers: map[calllog.Class]map[int]int{}}
	flood.countAnswers(input.Entries)
	flood.Baseline = newPhase(span{input.LoadFrom, start}, input.Entries, o, delays)
	flood.Flooded = newPhase(span{start, end}, input.Entries, o, delays)
	for id := range o.accepted {
		if o.classes[id] != calllog.ClassDiscarded {
			continue
		}
		flood.Discarded++
		if o.states[id] == api.StateCancelled {
			flood.Cancelled++
		}
	}
	return flood
}

// countAnswers counts the answers to submissions that had to be rejected. Their rate is
// over the time from the first such submission to the last answer.
func (f *Flood) countAnswers(entries []calllog.Entry) {
	count := 0
	var total span
	for _, entry := range entries {
		if entry.Kind != calllog.KindSubmit || (entry.Class != calllog.ClassImpossible && entry.Class != calllog.ClassOverQuota) {
			continue
		}
		if f.Answers[entry.Class] == nil {
			f.Answers[entry.Class] = map[int]int{}
		}
		f.Answers[entry.Class][entry.Status]++
		if entry.Status == http.StatusServiceUnavailable {
			f.Unavailable++
		}
		if count == 0 || entry.Sent < total.from {
			total.from = entry.Sent
		}
		total.until = max(total.until, entry.Answered)
		count++
	}
	if seconds := total.seconds(); seconds > 0 {
		f.AnswersPerSecond = float64(count) / seconds
	}
}

func newPhase(during span, entries []calllog.Entry, o *observations, delays []checker.StartDelay) Phase {
	phase := Phase{Seconds: during.seconds()}
	var answers, starts []time.Duration
	for _, answer := range o.submitAnswers {
		if during.contains(answer.sent) {
			phase.JobsAccepted++
			answers = append(answers, answer.answered.Sub(answer.sent))
		}
	}
	for _, entry := range entries {
		if entry.Kind == calllog.KindSubmit && entry.Class == calllog.ClassOrdinary && !entry.Accepted() && during.contains(entry.Sent) {
			phase.JobsRefused++
		}
	}
	for _, delay := range delays {
		if delay.Class == calllog.ClassOrdinary && during.contains(delay.Ready) {
			starts = append(starts, delay.Length())
		}
	}
	phase.SubmitAnswer, phase.ReadyToStart = percentilesOf(answers), percentilesOf(starts)
	return phase
}

// burstPercentiles summarizes the start delays of the burst of a class; nil if there was none.
func burstPercentiles(input checker.Input, class calllog.Class) *Percentiles {
	delays := checker.BurstDelays(input, class)
	if len(delays) == 0 {
		return nil
	}
	found := percentilesOf(delays)
	return &found
}

// ordinaryDelays returns the start delays of the tasks of ordinary jobs.
func ordinaryDelays(delays []checker.StartDelay) []time.Duration {
	var lengths []time.Duration
	for _, delay := range delays {
		if delay.Class == calllog.ClassOrdinary {
			lengths = append(lengths, delay.Length())
		}
	}
	return lengths
}

func (o *observations) submitDelays() []time.Duration {
	var lengths []time.Duration
	for _, answer := range o.submitAnswers {
		lengths = append(lengths, answer.answered.Sub(answer.sent))
	}
	return lengths
}
