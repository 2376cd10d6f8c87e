package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"github.com/go-playground/validator/v10"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
)

// withRules is implemented by pointers to settings whose keys must fit each
// other. It is asked only if each key is right by itself.
type withRules interface{ broken() []Problem }

// withNeeds is implemented by pointers to settings of which some keys are
// required only beside others, which a rule of one key cannot see.
type withNeeds interface{ missing() []Problem }

// check reports each key that breaks its rule. Keys that have a problem
// already are left out.
func check(pointer any, known []Problem) []Problem {
	reported := map[string]bool{}
	for _, problem := range known {
		reported[problem.Key] = true
	}
	rules := newRules()
	var problems []Problem
	for _, setting := range settingsOf(pointer) {
		if setting.validate == "" || reported[setting.key] {
			continue
		}
		value := setting.value.Interface()
		if rules.Var(value, setting.validate) != nil {
			problems = append(problems, Problem{Key: setting.key, Value: show(value), Expected: setting.expected})
		}
	}
	if subject, ok := pointer.(withNeeds); ok {
		for _, problem := range subject.missing() {
			if !reported[problem.Key] {
				problems = append(problems, problem)
			}
		}
	}
	if subject, ok := pointer.(withRules); ok && len(known)+len(problems) == 0 {
		problems = subject.broken()
	}
	return problems
}

// newRules adds the rules of this package to those of package validator.
func newRules() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	for name, holds := range map[string]func(string) bool{
		"process_name": isName,
		"ip_port":      isAddress,
		"reachable":    isReachable,
		"source_ip":    isSource,
		"agent_url":    isAgentURL,
		"mechanism":    featuregate.IsKnown,
	} {
		rule := func(field validator.FieldLevel) bool { return holds(field.Field().String()) }
		if err := rules.RegisterValidation(name, rule); err != nil {
			panic(fmt.Sprintf("settings: rule %s: %v", name, err))
		}
	}
	return rules
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9._-]{1,64}$`)

func isName(text string) bool { return namePattern.MatchString(text) }

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// isReachable refuses an address that stands for all of a machine's own.
func isReachable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && !address.Addr().IsUnspecified()
}

// isSource refuses what no connection can leave from.
func isSource(text string) bool {
	address, err := netip.ParseAddr(text)
	return err == nil && !address.IsUnspecified() && !address.IsMulticast()
}

func isAgentURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Scheme == "http" && parsed.Host != "" && (parsed.Path == "" || parsed.Path == "/")
}

func (c *Common) broken() []Problem {
	if c.Advertise != "" || isReachable(c.Listen) {
		return nil
	}
	expected := fmt.Sprintf("an IP address and port that others can reach, as listen is %s", c.Listen)
	return []Problem{{Key: "advertise", Value: "", Expected: expected}}
}

func (s *Scheduler) missing() []Problem {
	if s.Relay || s.DataDir != "" {
		return nil
	}
	return []Problem{{Key: "data_dir", Value: show(s.DataDir), Expected: "a folder"}}
}

func (s *Scheduler) broken() []Problem {
	problems := s.Common.broken()
	timing := s.Timing
	if timing.Tick >= timing.Lease {
		problems = append(problems, tooLong("timing.tick", timing.Tick, "less than timing.lease", timing.Lease))
	}
	if timing.Lease >= timing.ElectionTimeoutMin {
		problems = append(problems, tooLong("timing.lease", timing.Lease, "less than timing.election_timeout_min", timing.ElectionTimeoutMin))
	}
	if timing.ElectionTimeoutMin > timing.ElectionTimeoutMax {
		problems = append(problems, tooLong("timing.election_timeout_min", timing.ElectionTimeoutMin, "at most timing.election_timeout_max", timing.ElectionTimeoutMax))
	}
	return problems
}

func tooLong(key string, value api.Duration, relation string, bound api.Duration) Problem {
	return Problem{Key: key, Value: value.String(), Expected: fmt.Sprintf("%s, which is %s", relation, bound)}
}
