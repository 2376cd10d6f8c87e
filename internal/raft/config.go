package raft

import (
	"errors"
	"fmt"
	"time"
)

// Defaults of Config.
const (
	DefaultTickInterval       = 50 * time.Millisecond
	DefaultElectionTimeoutMin = 500 * time.Millisecond
	DefaultElectionTimeoutMax = time.Second
	DefaultLeaseDuration      = 400 * time.Millisecond
	DefaultMaxAppendBytes     = 1 << 20
	DefaultMaxInflightAppends = 64
)

// Config holds the parameters of a Node. Points in time are on the owner's
// monotonic clock. A field that is zero takes its default; ID has none.
type Config struct {
	// ID identifies this replica. It is required.
	ID ReplicaID
	// TickInterval is how often the owner calls Tick. It must be less than
	// ElectionTimeoutMin. Default 50 ms.
	TickInterval time.Duration
	// ElectionTimeoutMin and ElectionTimeoutMax bound the randomized election
	// timeout. Defaults 500 ms and 1 s.
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// LeaseDuration is how long a leader lease lasts, counted from the send time
	// of the newest round of heartbeats that a quorum has acknowledged. It must
	// be less than ElectionTimeoutMin. Default 400 ms.
	LeaseDuration time.Duration
	// MaxAppendBytes bounds the total size of the entries in one append, in
	// bytes; an entry that is larger is sent alone. Default 1 MiB.
	MaxAppendBytes int
	// MaxInflightAppends bounds the unacknowledged appends to one follower.
	// Default 64.
	MaxInflightAppends int
	// Seed and ID together seed the randomized election timeouts.
	Seed int64
	// NoVoteBefore is the time before which this replica neither votes nor
	// campaigns. A restarted replica does not remember whether it acknowledged a
	// heartbeat of a leader, which obliges it to support no other leader for
	// ElectionTimeoutMin. The owner therefore sets NoVoteBefore to the start time
	// plus ElectionTimeoutMin, except for a newly created replica.
	NoVoteBefore time.Duration
}

// ConfigError reports a field of a Config whose value is out of range.
type ConfigError struct {
	Field string
	// Value is nil if the field is empty.
	Value any
	// Problem describes the violation; it completes the sentence
	// "Field Value is ...".
	Problem string
}

// Error implements error.
func (e *ConfigError) Error() string {
	if e.Value == nil {
		return fmt.Sprintf("%s is %s", e.Field, e.Problem)
	}
	return fmt.Sprintf("%s %v is %s", e.Field, e.Value, e.Problem)
}

// withDefaults returns a copy of the config with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.ElectionTimeoutMin, DefaultElectionTimeoutMin)
	setDefault(&c.ElectionTimeoutMax, DefaultElectionTimeoutMax)
	setDefault(&c.LeaseDuration, DefaultLeaseDuration)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflightAppends, DefaultMaxInflightAppends)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate returns the joined ConfigErrors of all fields that are out of range.
// The defaults must be set before the call.
func (c Config) validate() error {
	var problems []error
	check := func(ok bool, field string, value any, problem string) {
		if !ok {
			problems = append(problems, &ConfigError{Field: field, Value: value, Problem: problem})
		}
	}
	notBelowElectionTimeout := fmt.Sprintf("not less than ElectionTimeoutMin %v", c.ElectionTimeoutMin)
	check(c.ID != "", "ID", nil, "empty")
	check(c.TickInterval > 0, "TickInterval", c.TickInterval, "not positive")
	check(c.TickInterval < c.ElectionTimeoutMin, "TickInterval", c.TickInterval, notBelowElectionTimeout)
	check(c.ElectionTimeoutMin <= c.ElectionTimeoutMax, "ElectionTimeoutMin", c.ElectionTimeoutMin,
		fmt.Sprintf("more than ElectionTimeoutMax %v", c.ElectionTimeoutMax))
	check(c.LeaseDuration > 0, "LeaseDuration", c.LeaseDuration, "not positive")
	check(c.LeaseDuration < c.ElectionTimeoutMin, "LeaseDuration", c.LeaseDuration, notBelowElectionTimeout)
	check(c.MaxAppendBytes > 0, "MaxAppendBytes", c.MaxAppendBytes, "not positive")
	check(c.MaxInflightAppends > 0, "MaxInflightAppends", c.MaxInflightAppends, "not positive")
	return errors.Join(problems...)
}
