package integration

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// TestConfigModel_DetectsWrongHistories checks that the model accepts histories that a correct
// system can produce and rejects others.
func TestConfigModel_DetectsWrongHistories(t *testing.T) {
	put := func(order string, base uint64, tag string) configInput {
		return configInput{put: true, order: order, base: base, tag: tag, resent: true}
	}
	accepted := func(version uint64) configOutput {
		return configOutput{result: configAccepted, version: version}
	}
	read := func(version uint64, tag string) configOutput {
		return configOutput{result: configRead, version: version, tag: tag}
	}
	lost, unknown := configOutput{result: configLost}, configOutput{}
	for name, test := range map[string]struct {
		history []porcupine.Operation
		right   bool
	}{
		"read after put":              {sequence(put("a", 1, "x"), accepted(2), configInput{}, read(2, "x")), true},
		"old read after put":          {sequence(put("a", 1, "x"), accepted(2), configInput{}, read(1, "")), false},
		"second read is older":        {concurrent(sequence(configInput{}, read(2, "x"), configInput{}, read(1, "")), put("a", 1, "x"), accepted(2)), false},
		"reads around a put":          {concurrent(sequence(configInput{}, read(1, ""), configInput{}, read(2, "x")), put("a", 1, "x"), accepted(2)), true},
		"two win on one base":         {concurrent(sequence(put("b", 1, "y"), accepted(2)), put("a", 1, "x"), accepted(2)), false},
		"one of two wins":             {concurrent(sequence(put("b", 1, "y"), accepted(2)), put("a", 1, "x"), lost), true},
		"lost without a rival":        {sequence(put("a", 1, "x"), lost), false},
		"resend gets another result":  {sequence(put("a", 1, "x"), accepted(2), put("a", 1, "x"), lost), false},
		"resend gets the same result": {sequence(put("a", 1, "x"), accepted(2), put("b", 2, "y"), accepted(3), put("a", 1, "x"), accepted(2)), true},
		"resend with other content":   {sequence(put("a", 1, "x"), accepted(2), put("a", 1, "y"), configOutput{result: configConflict}), true},
		"unknown took effect":         {pending(put("a", 1, "x"), unknown, sequence(configInput{}, read(1, ""), configInput{}, read(2, "x"))), true},
		"unknown had no effect":       {pending(put("a", 1, "x"), unknown, sequence(configInput{}, read(1, ""), put("b", 1, "y"), accepted(2))), true},
		"unknown effect is reverted":  {pending(put("a", 1, "x"), unknown, sequence(configInput{}, read(2, "x"), configInput{}, read(1, ""))), false},
	} {
		t.Run(name, func(t *testing.T) {
			checkVerdict(t, configModel(configState{version: 1}), test.history, test.right)
		})
	}
}

func TestJobModel_DetectsWrongHistories(t *testing.T) {
	submit := jobInput{call: jobSubmit, job: "j", tag: "x"}
	other := jobInput{call: jobSubmit, job: "j", tag: "y"}
	cancel, read := jobInput{call: jobCancel, job: "j"}, jobInput{call: jobRead, job: "j"}
	created, same := jobOutput{result: jobCreated}, jobOutput{result: jobExists}
	live := jobOutput{result: jobStatus, tag: "x"}
	ended := jobOutput{result: jobStatus, tag: "x", cancelled: true}
	missing, unknown := jobOutput{result: jobNotFound}, jobOutput{}
	for name, test := range map[string]struct {
		history []porcupine.Operation
		right   bool
	}{
		"complete life cycle":      {sequence(read, missing, submit, created, submit, same, read, live, cancel, ended, read, ended, submit, same), true},
		"created but missing":      {sequence(submit, created, read, missing), false},
		"created twice":            {sequence(submit, created, submit, created), false},
		"other content accepted":   {sequence(submit, created, other, same), false},
		"other content rejected":   {sequence(submit, created, other, jobOutput{result: jobConflict}), true},
		"cancelled and live again": {sequence(submit, created, cancel, ended, read, live), false},
		"unknown cancel later":     {pending(cancel, unknown, sequence(submit, created, read, live, read, ended)), true},
		"never cancelled":          {sequence(submit, created, read, ended), false},
		"cancelled before":         {sequence(cancel, missing, submit, jobOutput{result: jobConflict}, read, missing), true},
		"created after its cancel": {sequence(cancel, missing, submit, created), false},
		"refused without a cancel": {sequence(read, missing, submit, jobOutput{result: jobConflict}), false},
		"unknown cancel came late": {pending(cancel, unknown, sequence(submit, jobOutput{result: jobConflict}, read, missing)), true},
	} {
		t.Run(name, func(t *testing.T) {
			checkVerdict(t, jobModel(), test.history, test.right)
		})
	}
}

func checkVerdict(t *testing.T, model porcupine.Model, history []porcupine.Operation, right bool) {
	t.Helper()
	want := porcupine.Ok
	if !right {
		want = porcupine.Illegal
	}
	if got := porcupine.CheckOperationsTimeout(model, history, time.Minute); got != want {
		t.Errorf("got verdict %v, want %v", got, want)
	}
}

// sequence returns a history of consecutive calls. Its arguments are an input and an output
// of each call in turn.
func sequence(calls ...any) []porcupine.Operation {
	var history []porcupine.Operation
	for i := 0; i < len(calls); i += 2 {
		at := int64(10 + 10*i)
		history = append(history, porcupine.Operation{Input: calls[i], Output: calls[i+1], Call: at, Return: at + 1})
	}
	return history
}

// concurrent adds a call that is concurrent with all calls of the history.
func concurrent(history []porcupine.Operation, input, output any) []porcupine.Operation {
	return append(history, porcupine.Operation{ClientId: 1, Input: input, Output: output, Call: 0, Return: 1000})
}

// pending adds an unanswered call that begins before all calls of the history.
func pending(input, output any, history []porcupine.Operation) []porcupine.Operation {
	return append(history, porcupine.Operation{ClientId: 1, Input: input, Output: output, Call: 0, Return: pendingForever})
}
