package api

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Digest returns the SHA-256, in hexadecimal, of the job's canonical JSON, which
// identifies the content of the job. It does not depend on white space and key
// order in payloads, on the time zone of NotBefore and Repeat.First, or on
// whether an absent payload is written as null.
func (s JobSpec) Digest() string {
	s.Payload = canonicalPayload(s.Payload)
	s.Repeat = canonicalRepeat(s.Repeat)
	s.Steps = slices.Clone(s.Steps)
	for index := range s.Steps {
		s.Steps[index] = canonicalStep(s.Steps[index])
	}
	return digestOf(s)
}

// Digest returns the SHA-256, in hexadecimal, of the configuration's canonical
// JSON. It identifies the configuration as given: defaults are not filled in.
func (c Config) Digest() string { return digestOf(c) }

// canonicalRepeat returns a copy with First in UTC, or nil for nil.
func canonicalRepeat(repeat *RepeatSpec) *RepeatSpec {
	if repeat == nil {
		return nil
	}
	canonical := *repeat
	canonical.First = repeat.First.UTC()
	return &canonical
}

// canonicalStep returns a copy with NotBefore in UTC and canonical payloads.
func canonicalStep(step StepSpec) StepSpec {
	if step.NotBefore != nil {
		instant := step.NotBefore.UTC()
		step.NotBefore = &instant
	}
	step.Tasks = slices.Clone(step.Tasks)
	for index := range step.Tasks {
		step.Tasks[index].Payload = canonicalPayload(step.Tasks[index].Payload)
	}
	return step
}

// canonicalPayload returns the payload in compact form with sorted keys and with
// all digits of its numbers, or nil for null. A payload that is not JSON is
// returned as a JSON string, so that the job still has a digest.
func canonicalPayload(payload json.RawMessage) json.RawMessage {
	if len(payload) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(payload))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil || !json.Valid(payload) {
		value = string(payload)
	}
	if value == nil {
		return nil
	}
	return mustMarshal(value)
}

// digestOf returns the SHA-256, in hexadecimal, of the JSON of a value. Equal
// values have equal JSON, since map keys are sorted.
func digestOf(value any) string {
	sum := sha256.Sum256(mustMarshal(value))
	return hex.EncodeToString(sum[:])
}

// mustMarshal returns the JSON of a value whose type can be encoded. Encoding
// fails only for a time beyond the year 9999, which validation rejects; the
// result is then the text of the error.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return []byte(err.Error())
	}
	return data
}
