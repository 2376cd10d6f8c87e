package agent

import (
	"fmt"
	"io"
	"regexp"
	"strconv"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
)

const (
	maxWorkerIDBytes = 128
	maxAddressBytes  = 128
	maxMessageBytes  = 1024
	maxPercent       = 100
	// maxShownBytes is the maximum length of a value in an error.
	maxShownBytes = 80
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9._-]{1,64}$`)

// readHeartbeat decodes and validates the body of a heartbeat.
func readHeartbeat(body io.Reader) (api.Heartbeat, *api.Error) {
	var heartbeat api.Heartbeat
	if refusal := api.DecodeStrict(body, &heartbeat); refusal != nil {
		return api.Heartbeat{}, refusal
	}
	if fields := validateHeartbeat(heartbeat); len(fields) > 0 {
		return api.Heartbeat{}, httpjson.Invalid("heartbeat", fields)
	}
	return heartbeat, nil
}

// checker collects the errors of invalid fields.
type checker struct{ fields []api.FieldError }

// check adds an error for a field unless ok is true.
func (c *checker) check(ok bool, field, value, expected string) {
	if ok {
		return
	}
	if len(value) > maxShownBytes {
		value = value[:maxShownBytes]
	}
	c.fields = append(c.fields, api.FieldError{Field: field, Value: value, Expected: expected})
}

// validateHeartbeat returns an error for each invalid field.
func validateHeartbeat(heartbeat api.Heartbeat) []api.FieldError {
	var c checker
	idOK := heartbeat.WorkerID != "" && len(heartbeat.WorkerID) <= maxWorkerIDBytes
	c.check(idOK, "worker_id", heartbeat.WorkerID, "1 to 128 bytes, new for each life of the worker")
	c.check(namePattern.MatchString(heartbeat.Name), "name", heartbeat.Name, "1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'")
	c.check(heartbeat.Seq > 0, "seq", "0", "a number from 1")
	c.check(heartbeat.AcceptedSeq < max(heartbeat.Seq, 1), "accepted_seq", strconv.FormatUint(heartbeat.AcceptedSeq, 10), "a number lower than seq")
	c.check(len(heartbeat.Place) <= maxAddressBytes, "place", heartbeat.Place, "up to 128 bytes that no other living process here can have")
	c.checkCapacity(heartbeat.Capacity)
	for i, service := range heartbeat.Services {
		c.check(service != "", fmt.Sprintf("services[%d]", i), service, "a name")
	}
	_, unnamed := heartbeat.Labels[""]
	c.check(!unnamed, "labels", "", "no empty key")
	c.checkRemaining(heartbeat.RemainingMillis)
	c.checkRuns(heartbeat)
	return c.fields
}

func (c *checker) checkCapacity(capacity api.Resources) {
	for _, amount := range []struct {
		field string
		value int64
	}{
		{"capacity.cpu_millis", capacity.CPUMillis},
		{"capacity.memory_mb", capacity.MemoryMB},
		{"capacity.accelerators", capacity.Accelerators},
	} {
		c.check(amount.value >= 0, amount.field, strconv.FormatInt(amount.value, 10), "0 or more")
	}
}

// checkRuns checks the running and the ended runs; no run may be listed twice.
func (c *checker) checkRuns(heartbeat api.Heartbeat) {
	seen := make(map[api.RunRef]bool, len(heartbeat.Running)+len(heartbeat.Ended))
	for i, ref := range heartbeat.Running {
		c.checkRun(fmt.Sprintf("running[%d]", i), ref, seen)
	}
	for i, ended := range heartbeat.Ended {
		path := fmt.Sprintf("ended[%d]", i)
		c.checkRun(path, ended.RunRef, seen)
		c.check(isReportable(ended.Outcome), path+".outcome", string(ended.Outcome), "succeeded, failed or stopped")
		c.check(len(ended.Message) <= maxMessageBytes, path+".message", ended.Message, "at most 1024 bytes")
		c.checkCheckpoint(path, ended.Checkpoint)
	}
	c.checkProgress(heartbeat)
}

// checkProgress checks the progress reports. Each must be for a run that is listed as
// running, and a run may have at most one.
func (c *checker) checkProgress(heartbeat api.Heartbeat) {
	if len(heartbeat.Progress) == 0 {
		return
	}
	unreported := make(map[api.RunRef]bool, len(heartbeat.Running))
	for _, ref := range heartbeat.Running {
		unreported[ref] = true
	}
	for i, report := range heartbeat.Progress {
		path := fmt.Sprintf("progress[%d]", i)
		name := fmt.Sprintf("%s run %d", report.Task, report.Run)
		c.check(unreported[report.RunRef], path, name, "a run of running, named once")
		unreported[report.RunRef] = false
		c.check(report.Percent >= 0 && report.Percent <= maxPercent, path+".percent", strconv.Itoa(report.Percent), "0 to 100")
		c.checkCheckpoint(path, report.Checkpoint)
	}
}

func (c *checker) checkCheckpoint(path, checkpoint string) {
	size := strconv.Itoa(len(checkpoint)) + " bytes"
	c.check(len(checkpoint) <= api.MaxCheckpointBytes, path+".checkpoint", size, fmt.Sprintf("at most %d bytes", api.MaxCheckpointBytes))
}

func (c *checker) checkRun(path string, ref api.RunRef, seen map[api.RunRef]bool) {
	c.check(ref.Task != "", path+".task", ref.Task, "JOB/STEP/INDEX")
	c.check(ref.Run > 0, path+".run", "0", "a number from 1")
	c.check(!seen[ref], path, ref.Task, "each run named once, in one list")
	seen[ref] = true
}

// isReportable reports whether outcome is one that a worker may report.
func isReportable(outcome api.Outcome) bool {
	return outcome == api.OutcomeSucceeded || outcome == api.OutcomeFailed || outcome == api.OutcomeStopped
}
