package api

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Digest identifies the content of the job: the SHA-256, in hexadecimal, of
// its canonical JSON. It does not depend on white space and key order of
// payloads, on the time zone in which NotBefore and Repeat.First are written,
// or on whether an absent payload is written as null.
func (s JobSpec) Digest() string {
	s.Payload = canonicalPayload(s.Payload)
	s.Repeat = canonicalRepeat(s.Repeat)
	s.Steps = slices.Clone(s.Steps)
	for index := range s.Steps {
		s.Steps[index] = canonicalStep(s.Steps[index])
	}
	return digestOf(s)
}

// Digest identifies the content of the configuration as it was given, without
// defaults: the SHA-256, in hexadecimal, of its canonical JSON.
func (c Config) Digest() string { return digestOf(c) }

// canonicalRepeat returns a copy whose time is in UTC.
func canonicalRepeat(repeat *RepeatSpec) *RepeatSpec {
	if repeat == nil {
		return nil
	}
	canonical := *repeat
	canonical.First = repeat.First.UTC()
	return &canonical
}

// canonicalStep returns a copy of the step in its canonical form.
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

// canonicalPayload compacts a payload and sorts its keys; numbers keep their
// digits. What is not JSON is kept as a JSON string, so that it still has a
// digest.
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

// digestOf hashes the JSON of a value whose maps and fields have one order.
func digestOf(value any) string {
	sum := sha256.Sum256(mustMarshal(value))
	return hex.EncodeToString(sum[:])
}

// mustMarshal is for values that have a JSON form by their type. The one that
// may have none is a time beyond the year 9999; validation refuses it, and
// its error text stands in for it here.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return []byte(err.Error())
	}
	return data
}
