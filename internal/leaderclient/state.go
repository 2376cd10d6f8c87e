package leaderclient

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// failureMemory is how long a hint to an address that failed is not followed:
	// followers name a dead leader until they elect the next one.
	failureMemory = 500 * time.Millisecond
	// maxCandidates bounds the seeds that are queried at once.
	maxCandidates = 3
	// confirmedGrace is how long after an answer of the leader failures to reach it are
	// taken as those of calls from before.
	confirmedGrace = 100 * time.Millisecond
)

// Reasons for which an answer to a watch is rejected.
var (
	errStaleToken    = errors.New("token is lower than one seen")
	errStaleConfig   = errors.New("configuration is older than the one in force here")
	errMissingConfig = errors.New("answer names a newer configuration without its content")
	errNoLease       = errors.New("answer grants no lease")
	errLeaseExpired  = errors.New("answer came after its lease expired")
)

// state is what a Client knows. It is pure: times are arguments, as durations since the
// client was made. Client.mutex protects it.
type state struct {
	// leader is the address that calls go to; empty if none is known.
	leader string
	// confirmed is true while leader is known from its own answer, since confirmedAt,
	// and not only from a hint.
	confirmed   bool
	confirmedAt time.Duration
	// previousLeader is the last leader that was forgotten.
	previousLeader string
	// failedAt has the addresses that failed since the last accepted answer.
	failedAt map[string]time.Duration
	// nextSeed is the number of the seed that is queried next, so that all have a turn.
	nextSeed int

	// token is the highest fencing token seen.
	token uint64
	// configVersion and config are the configuration in force here.
	configVersion uint64
	config        *api.Config
	// versionOnly is true if answers come without the content of configurations.
	versionOnly bool

	// answeredAt is when the leader last answered; freshUntil is the latest end of a
	// granted lease.
	answeredAt time.Duration
	freshUntil time.Duration
	// grantedLease is the lease of the last accepted answer to a watch.
	grantedLease time.Duration
	// substituteUntil is when the next answer to a heartbeat is overdue; stableFrom is
	// when heartbeats have been answered in time for long enough.
	substituteUntil, stableFrom time.Duration
}

// target is the leader to watch, if it is confirmed.
func (s *state) target() (leader string, confirmed bool) { return s.leader, s.confirmed }

// candidates are the addresses to query at once who leads: the leader that was named,
// and seeds in turn.
func (s *state) candidates(seeds []string) []string {
	var addresses []string
	if s.leader != "" {
		addresses = append(addresses, s.leader)
	}
	for range min(len(seeds), maxCandidates) {
		address := seeds[s.nextSeed%len(seeds)]
		s.nextSeed++
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// observeFailure records that a call to the address had no answer, and reports whether
// the leader was forgotten for that.
func (s *state) observeFailure(now time.Duration, address string) (forgotten bool) {
	if s.confirmed && address == s.leader && now-s.confirmedAt < confirmedGrace {
		return false
	}
	return s.reject(now, address)
}

// suspectLeader records that the leader at the address may be dead, and reports whether
// candidates are to be queried. The suspect stays the leader until another one answers as
// such, or it fails to answer itself.
func (s *state) suspectLeader(now time.Duration, address string) (query bool) {
	if !s.confirmed || address != s.leader || now-s.confirmedAt < suspectAfter {
		return false
	}
	s.confirmed = false
	return true
}

// reject keeps hints to the address from being followed for failureMemory, and reports
// whether the leader was forgotten for that.
func (s *state) reject(now time.Duration, address string) (forgotten bool) {
	s.failedAt[address] = now
	if s.leader == "" || address != s.leader {
		return false
	}
	s.forgetLeader()
	return true
}

// observeHint takes in who leads according to another process, and reports whether that
// changed anything. An empty address means that the other process knows no leader.
func (s *state) observeHint(now time.Duration, address string) (changed bool) {
	if address == s.leader {
		return false
	}
	if address == "" {
		s.forgetLeader()
		return true
	}
	failedAt, failed := s.failedAt[address]
	if failed && now-failedAt < failureMemory {
		s.forgetLeader()
		return true
	}
	s.leader = address
	s.confirmed = false
	return true
}

func (s *state) forgetLeader() {
	if s.leader != "" {
		s.previousLeader = s.leader
	}
	s.leader = ""
	s.confirmed = false
	s.substituteUntil = 0
}

// observeToken raises the highest token. It reports whether the token is not lower than
// the highest, and whether it is higher.
func (s *state) observeToken(token uint64) (current, raised bool) {
	if token < s.token {
		return false, false
	}
	raised = token > s.token
	s.token = token
	return true, raised
}

// accept takes in an answer to a watch completely or not at all. It reports whether the
// answer has a newer configuration, which is in force only after adopt.
func (s *state) accept(now, sentAt time.Duration, address string, answer protocol.WatchAnswer) (newer bool, err error) {
	if err := s.checkAnswer(now, sentAt, answer); err != nil {
		return false, err
	}
	s.token = answer.Token
	s.leader = address
	if answer.LeaderAddress != "" {
		s.leader = answer.LeaderAddress
	}
	s.confirmed = true
	s.confirmedAt = now
	s.answeredAt = now
	s.grantedLease = leaseOf(answer)
	s.freshUntil = max(s.freshUntil, sentAt+s.grantedLease)
	clear(s.failedAt)
	return answer.ConfigVersion > s.configVersion, nil
}

// checkAnswer returns the reason to reject an answer to a watch; nil if there is none.
func (s *state) checkAnswer(now, sentAt time.Duration, answer protocol.WatchAnswer) error {
	if answer.Token < s.token {
		return fmt.Errorf("%w: %d after %d", errStaleToken, answer.Token, s.token)
	}
	if answer.ConfigVersion < s.configVersion {
		return fmt.Errorf("%w: %d after %d", errStaleConfig, answer.ConfigVersion, s.configVersion)
	}
	newer := answer.ConfigVersion > s.configVersion
	if newer && answer.Config == nil && !s.versionOnly {
		return fmt.Errorf("%w: %d", errMissingConfig, answer.ConfigVersion)
	}
	if answer.LeaseMillis <= 0 {
		return errNoLease
	}
	// A long watch may end after its lease, while heartbeats substituted for it.
	if now >= sentAt+leaseOf(answer) && !s.fresh(now) {
		return errLeaseExpired
	}
	return nil
}

func leaseOf(answer protocol.WatchAnswer) time.Duration {
	return time.Duration(answer.LeaseMillis) * time.Millisecond
}

// adopt puts a configuration in force.
func (s *state) adopt(version uint64, config *api.Config) {
	s.configVersion = version
	s.config = config
}

// fresh reports whether a granted lease has not expired.
func (s *state) fresh(now time.Duration) bool { return now < s.freshUntil }
