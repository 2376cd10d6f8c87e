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

// crossKeyRules is implemented by pointers to settings that have rules across keys.
// brokenRules is called only if each key is valid on its own.
type crossKeyRules interface{ brokenRules() []Problem }

// conditionalKeys is implemented by pointers to settings with keys that are required
// depending on the values of other keys, which the rule of a single key cannot express.
type conditionalKeys interface{ missingKeys() []Problem }

// check returns a problem for each key that breaks its rule, except the keys that earlier
// already lists. If there are no problems at all, it checks the rules across keys.
func check(pointer any, earlier []Problem) []Problem {
	reported := map[string]bool{}
	for _, problem := range earlier {
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
			problems = append(problems, Problem{Key: setting.key, Value: formatValue(value), Expected: setting.expected})
		}
	}
	if subject, ok := pointer.(conditionalKeys); ok {
		for _, problem := range subject.missingKeys() {
			if !reported[problem.Key] {
				problems = append(problems, problem)
			}
		}
	}
	if subject, ok := pointer.(crossKeyRules); ok && len(earlier)+len(problems) == 0 {
		problems = subject.brokenRules()
	}
	return problems
}

// newRules returns a validator with the rules of package validator and of this package.
func newRules() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	for name, accepts := range map[string]func(string) bool{
		"process_name": isProcessName,
		"ip_port":      isAddress,
		"reachable":    isReachable,
		"source_ip":    isSourceIP,
		"agent_url":    isAgentURL,
		"mechanism":    featuregate.IsKnown,
	} {
		rule := func(field validator.FieldLevel) bool { return accepts(field.Field().String()) }
		if err := rules.RegisterValidation(name, rule); err != nil {
			panic(fmt.Sprintf("settings: rule %s: %v", name, err))
		}
	}
	return rules
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9._-]{1,64}$`)

func isProcessName(text string) bool { return namePattern.MatchString(text) }

// isAddress accepts an IP:port with a port other than 0.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// isReachable accepts an IP:port unless the IP is unspecified (0.0.0.0 or ::), which others
// cannot connect to.
func isReachable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && !address.Addr().IsUnspecified()
}

// isSourceIP accepts an IP address that can be the local address of a connection.
func isSourceIP(text string) bool {
	address, err := netip.ParseAddr(text)
	return err == nil && !address.IsUnspecified() && !address.IsMulticast()
}

func isAgentURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Scheme == "http" && parsed.Host != "" && (parsed.Path == "" || parsed.Path == "/")
}

func (c *Common) brokenRules() []Problem {
	if c.Advertise != "" || isReachable(c.Listen) {
		return nil
	}
	expected := fmt.Sprintf("an IP address and port that others can reach, as listen is %s", c.Listen)
	return []Problem{{Key: "advertise", Value: "", Expected: expected}}
}

func (s *Scheduler) missingKeys() []Problem {
	if s.Relay || s.DataDir != "" {
		return nil
	}
	return []Problem{{Key: "data_dir", Value: formatValue(s.DataDir), Expected: "a folder"}}
}

func (s *Scheduler) brokenRules() []Problem {
	problems := s.Common.brokenRules()
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
