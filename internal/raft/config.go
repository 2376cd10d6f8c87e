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

// withDefaults fills in what is zero.
func (c Config) withDefaults() Config {
	defaultTo(&c.TickInterval, DefaultTickInterval)
	defaultTo(&c.ElectionTimeoutMin, DefaultElectionTimeoutMin)
	defaultTo(&c.ElectionTimeoutMax, DefaultElectionTimeoutMax)
	defaultTo(&c.LeaseDuration, DefaultLeaseDuration)
	defaultTo(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	defaultTo(&c.MaxInflightAppends, DefaultMaxInflightAppends)
	return c
}

func defaultTo[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// validate reports every wrong value of a Config whose defaults are filled in.
func (c Config) validate() error {
	var problems []error
	check := func(ok bool, format string, arguments ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, arguments...))
		}
	}
	check(c.ID != "", "ID is empty")
	check(c.TickInterval > 0, "TickInterval %v is not positive", c.TickInterval)
	check(c.TickInterval < c.ElectionTimeoutMin,
		"TickInterval %v is not less than ElectionTimeoutMin %v", c.TickInterval, c.ElectionTimeoutMin)
	check(c.ElectionTimeoutMin <= c.ElectionTimeoutMax,
		"ElectionTimeoutMin %v is more than ElectionTimeoutMax %v", c.ElectionTimeoutMin, c.ElectionTimeoutMax)
	check(c.LeaseDuration > 0, "LeaseDuration %v is not positive", c.LeaseDuration)
	check(c.LeaseDuration < c.ElectionTimeoutMin,
		"LeaseDuration %v is not less than ElectionTimeoutMin %v", c.LeaseDuration, c.ElectionTimeoutMin)
	check(c.MaxAppendBytes > 0, "MaxAppendBytes %d is not positive", c.MaxAppendBytes)
	check(c.MaxInflightAppends > 0, "MaxInflightAppends %d is not positive", c.MaxInflightAppends)
	return errors.Join(problems...)
}
