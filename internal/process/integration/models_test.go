package integration

import (
	"maps"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// pendingForever is the return time of an unanswered call. The call may take effect at any
// time after its start, or never.
const pendingForever = int64(math.MaxInt64)

// configInput is a call that reads the configuration or, if put is true, changes it.
type configInput struct {
	put   bool
	order string
	base  uint64
	tag   string
	// resent is true if the order may be sent in more than one call.
	resent bool
}

// configResult is the result of a call that reads or changes the configuration.
type configResult uint8

const (
	configUnknown configResult = iota
	configRead
	configAccepted
	configLost
	configConflict
)

type configOutput struct {
	result  configResult
	version uint64
	tag     string
}

// configState is the state of configModel: the version in force, the tag of its content, and
// the decisions on resent orders.
type configState struct {
	version uint64
	tag     string
	orders  map[string]decidedOrder
}

type decidedOrder struct {
	tag    string
	output configOutput
}

// configModel models the configuration as a register with compare-and-set. Each order is
// decided once; if it is resent, it gets the same result again.
func configModel(initial configState) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return initial },
		Step: func(state, input, output any) (bool, any) {
			return stepConfig(state.(configState), input.(configInput), output.(configOutput))
		},
		Equal: func(a, b any) bool {
			one, other := a.(configState), b.(configState)
			return one.version == other.version && one.tag == other.tag && maps.Equal(one.orders, other.orders)
		},
	}
}

func stepConfig(state configState, input configInput, output configOutput) (bool, any) {
	if !input.put {
		want := configOutput{result: configRead, version: state.version, tag: state.tag}
		return output.result == configUnknown || output == want, state
	}
	want, next := decide(state, input)
	return output.result == configUnknown || output == want, next
}

// decide returns the output and the next state for a call that changes the configuration.
func decide(state configState, input configInput) (configOutput, configState) {
	if known, decided := state.orders[input.order]; decided {
		if known.tag != input.tag {
			return configOutput{result: configConflict}, state
		}
		return known.output, state
	}
	next := configState{version: state.version, tag: state.tag, orders: state.orders}
	output := configOutput{result: configLost}
	if input.base == state.version {
		next.version, next.tag = state.version+1, input.tag
		output = configOutput{result: configAccepted, version: next.version}
	}
	if input.resent {
		next.orders = maps.Clone(state.orders)
		if next.orders == nil {
			next.orders = map[string]decidedOrder{}
		}
		next.orders[input.order] = decidedOrder{tag: input.tag, output: output}
	}
	return output, next
}

// jobCall is the kind of a call about a job.
type jobCall uint8

const (
	jobSubmit jobCall = iota
	jobCancel
	jobRead
)

type jobInput struct {
	call jobCall
	job  string
	tag  string
}

// jobResult is the result of a call about a job.
type jobResult uint8

const (
	jobUnknown jobResult = iota
	jobCreated
	jobExists
	// jobCreatedOrExists is the result if the call was sent more than once, so that one of
	// its own earlier attempts may have created the job.
	jobCreatedOrExists
	jobConflict
	jobNotFound
	jobStatus
)

type jobOutput struct {
	result    jobResult
	tag       string
	cancelled bool
}

// jobState is the state of one job; an empty tag means that the job does not exist. A job
// that was cancelled while it did not exist never exists.
type jobState struct {
	tag       string
	cancelled bool
}

// jobModel models each job as a register, so that each job's history is checked separately.
func jobModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionByJob,
		Init:      func() any { return jobState{} },
		Step: func(state, input, output any) (bool, any) {
			return stepJob(state.(jobState), input.(jobInput), output.(jobOutput))
		},
	}
}

func partitionByJob(history []porcupine.Operation) [][]porcupine.Operation {
	byJob := map[string][]porcupine.Operation{}
	for _, operation := range history {
		job := operation.Input.(jobInput).job
		byJob[job] = append(byJob[job], operation)
	}
	return slices.Collect(maps.Values(byJob))
}

func stepJob(state jobState, input jobInput, output jobOutput) (bool, any) {
	unknown := output.result == jobUnknown
	if input.call == jobSubmit {
		return submitJob(state, input, output)
	}
	if input.call == jobCancel {
		state.cancelled = true
	}
	if state.tag == "" {
		return unknown || output.result == jobNotFound, state
	}
	want := jobOutput{result: jobStatus, tag: state.tag, cancelled: state.cancelled}
	return unknown || output == want, state
}

func submitJob(state jobState, input jobInput, output jobOutput) (bool, any) {
	want := jobExists
	switch {
	case state.tag == "" && !state.cancelled:
		want = jobCreated
		state.tag = input.tag
	case state.tag == input.tag:
	default:
		return output.result == jobUnknown || output.result == jobConflict, state
	}
	return output.result == want || output.result == jobCreatedOrExists || output.result == jobUnknown, state
}
