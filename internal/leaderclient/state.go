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
	// hintBackoff is how long hints to an address are ignored after it failed, because
	// followers name a dead leader until they elect the next one.
	hintBackoff = 500 * time.Millisecond
	// maxCandidates bounds the number of seeds probed at once.
	maxCandidates = 3
	// confirmationGrace is how long after the leader was confirmed failures of calls to it are
	// ignored, because those calls were probably sent before.
	confirmationGrace = 100 * time.Millisecond
)

// Reasons to reject an answer to a watch.
var (
	errStaleToken    = errors.New("token is lower than one seen")
	errStaleConfig   = errors.New("configuration is older than the one in force here")
	errMissingConfig = errors.New("answer names a newer configuration without its content")
	errNoLease       = errors.New("answer grants no lease")
	errLeaseExpired  = errors.New("answer came after its lease expired")
)

// state is what a Client knows about the leader and the configuration. Its methods do no
// I/O, and take times as durations since the client was created. Client.mutex guards it.
type state struct {
	// leader is the address of the leader; empty if none is known.
	leader string
	// confirmed is true if an accepted answer to a watch named the leader, at confirmedAt;
	// false if it is known only from a hint, or suspected of failure.
	confirmed   bool
	confirmedAt time.Duration
	// previousLeader is the address of the leader that was dropped last; empty if none was.
	previousLeader string
	// failedAt has the time of the last failure of each address, since the last accepted
	// answer.
	failedAt map[string]time.Duration
	// nextSeed, modulo the number of seeds, is the index of the seed to probe next; seeds
	// are probed in rotation.
	nextSeed int

	// token is the highest fencing token seen.
	token uint64
	// configVersion and config are the configuration in force in this process.
	configVersion uint64
	config        *api.Config
	// versionOnly is true if answers do not contain the configuration itself.
	versionOnly bool

	// answeredAt is when the leader's last answer came; freshUntil is the latest expiry of
	// all granted leases.
	answeredAt time.Duration
	freshUntil time.Duration
	// grantedLease is the lease of the last accepted answer to a watch.
	grantedLease time.Duration
	// Answers to heartbeats substitute for short watches from substituteFrom, when they have
	// come in time for minStableTime, until substituteUntil, when the next one is overdue.
	substituteUntil, substituteFrom time.Duration
}

// watchTarget returns the leader, and whether it is confirmed and so can be watched.
func (s *state) watchTarget() (leader string, confirmed bool) { return s.leader, s.confirmed }

// candidates returns the addresses to probe at once: the unconfirmed leader, if one is known,
// and up to maxCandidates seeds in rotation.
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

// observeFailure records that a call to the address was not answered, and reports whether
// the leader was dropped for that reason.
func (s *state) observeFailure(now time.Duration, address string) (dropped bool) {
	if s.confirmed && address == s.leader && now-s.confirmedAt < confirmationGrace {
		return false
	}
	return s.reject(now, address)
}

// suspectLeader makes the leader at the address unconfirmed, because it may be dead, and
// reports whether candidates should be probed. It does nothing if the leader was confirmed
// less than suspectAfter ago. The suspect remains the leader until another scheduler answers
// as leader or a call to the suspect fails.
func (s *state) suspectLeader(now time.Duration, address string) (query bool) {
	if !s.confirmed || address != s.leader || now-s.confirmedAt < suspectAfter {
		return false
	}
	s.confirmed = false
	return true
}

// reject makes hints to the address ignored for hintBackoff, and drops the leader if it is
// at the address. It reports whether it dropped the leader.
func (s *state) reject(now time.Duration, address string) (dropped bool) {
	s.failedAt[address] = now
	if s.leader == "" || address != s.leader {
		return false
	}
	s.dropLeader()
	return true
}

// observeHint records the leader's address according to another process, and reports whether
// that differs from the known leader. The address becomes the unconfirmed leader. If the
// address is empty, as the other process knows no leader, or failed less than hintBackoff
// ago, the leader is dropped instead.
func (s *state) observeHint(now time.Duration, address string) (changed bool) {
	if address == s.leader {
		return false
	}
	if address == "" {
		s.dropLeader()
		return true
	}
	failedAt, failed := s.failedAt[address]
	if failed && now-failedAt < hintBackoff {
		s.dropLeader()
		return true
	}
	s.leader = address
	s.confirmed = false
	return true
}

// dropLeader drops the leader, which becomes the previous one.
func (s *state) dropLeader() {
	if s.leader != "" {
		s.previousLeader = s.leader
	}
	s.leader = ""
	s.confirmed = false
	s.substituteUntil = 0
}

// observeToken raises the highest token seen. It reports whether the token is at least the
// highest seen before (current), and whether it is higher (raised).
func (s *state) observeToken(token uint64) (current, raised bool) {
	if token < s.token {
		return false, false
	}
	raised = token > s.token
	s.token = token
	return true, raised
}

// accept applies an answer to a watch completely, or rejects it with an error and changes
// nothing. It reports whether the answer has a newer configuration, which comes into force
// only with adopt.
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

// checkAnswer returns the reason to reject an answer to a watch, or nil.
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
	// The answer to a long watch may come after its own lease expired, if answers to
	// heartbeats extended the lease meanwhile.
	if now >= sentAt+leaseOf(answer) && !s.fresh(now) {
		return errLeaseExpired
	}
	return nil
}

// leaseOf returns the lease that an answer to a watch grants.
func leaseOf(answer protocol.WatchAnswer) time.Duration {
	return time.Duration(answer.LeaseMillis) * time.Millisecond
}

// adopt puts a configuration in force.
func (s *state) adopt(version uint64, config *api.Config) {
	s.configVersion = version
	s.config = config
}

// fresh reports whether at least one granted lease has not expired.
func (s *state) fresh(now time.Duration) bool { return now < s.freshUntil }
