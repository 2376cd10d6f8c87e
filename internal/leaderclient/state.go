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
	// failureMemory is how long a hint to an address that failed is not
	// followed: followers name a dead leader until they elect the next.
	failureMemory = 500 * time.Millisecond
	// maxCandidates bounds the seeds that are asked at once.
	maxCandidates = 3
	// confirmedGrace is how long after an answer of the leader reports of its
	// failure are taken as late news from before.
	confirmedGrace = 100 * time.Millisecond
)

var (
	errStaleToken    = errors.New("token is lower than one seen")
	errStaleConfig   = errors.New("configuration is older than the one in force here")
	errMissingConfig = errors.New("answer names a newer configuration without its content")
	errNoLease       = errors.New("answer grants no hold")
	errLeaseExpired  = errors.New("answer came after its own hold")
)

// state is what the link knows; it is pure: time is an argument, in
// nanoseconds since the link was made.
type state struct {
	leader string
	// last is the leader that was last forgotten.
	previousLeader string
	confirmedAt    time.Duration
	confirmed      bool
	failedAt       map[string]time.Duration
	nextSeed       int
	token          uint64
	configVersion  uint64
	config         *api.Config
	answeredAt     time.Duration
	freshUntil     time.Duration
	// grantedLease is the hold of the last watch answer.
	grantedLease time.Duration
	// substituteUntil: until then the next answer to a heartbeat is not overdue.
	// stableFrom: from then on none was for long enough.
	substituteUntil, stableFrom time.Duration
	// versionOnly: answers come without the content of configurations.
	versionOnly bool
}

// target is the leader that has answered as such; none while it is not known.
func (s *state) target() (leader string, confirmed bool) { return s.leader, s.confirmed }

// candidates are addresses to be asked at once who leads: the one that was
// named, and seeds, each in its turn.
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

// observeFailure notes that the address gave no answer and reports whether the leader
// was forgotten for it.
func (s *state) observeFailure(now time.Duration, address string) bool {
	if s.confirmed && address == s.leader && now-s.confirmedAt < confirmedGrace {
		return false
	}
	return s.reject(now, address)
}

// suspectLeader notes that the leader at the address may be gone without a word. It
// reports whether all candidates are to be asked who leads. The one in doubt
// remains named until another answers as leader or it fails to answer itself.
func (s *state) suspectLeader(now time.Duration, address string) bool {
	if !s.confirmed || address != s.leader || now-s.confirmedAt < suspectAfter {
		return false
	}
	s.confirmed = false
	return true
}

// reject bars the address for a while and reports whether the leader was
// forgotten for it.
func (s *state) reject(now time.Duration, address string) bool {
	s.failedAt[address] = now
	if s.leader == "" || address != s.leader {
		return false
	}
	s.forgetLeader()
	return true
}

// observeHint takes another process's word for who leads and reports whether that
// is news.
func (s *state) observeHint(now time.Duration, address string) bool {
	if address == s.leader {
		return false
	}
	if address == "" {
		s.forgetLeader()
		return true
	}
	failedAt, known := s.failedAt[address]
	if known && now-failedAt < failureMemory {
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

// observeToken raises the highest token; it reports whether the token is not lower
// than the highest, and whether it is higher.
func (s *state) observeToken(token uint64) (current, raised bool) {
	if token < s.token {
		return false, false
	}
	raised = token > s.token
	s.token = token
	return true, raised
}

// accept takes a watch answer in whole or not at all. It reports whether a
// newer configuration came with it; that is in force only after adopt.
func (s *state) accept(now, sentAt time.Duration, address string, answer protocol.WatchAnswer) (newer bool, err error) {
	if answer.Token < s.token {
		return false, fmt.Errorf("%w: %d after %d", errStaleToken, answer.Token, s.token)
	}
	if answer.ConfigVersion < s.configVersion {
		return false, fmt.Errorf("%w: %d after %d", errStaleConfig, answer.ConfigVersion, s.configVersion)
	}
	newer = answer.ConfigVersion > s.configVersion
	if newer && answer.Config == nil && !s.versionOnly {
		return false, fmt.Errorf("%w: %d", errMissingConfig, answer.ConfigVersion)
	}
	if answer.LeaseMillis <= 0 {
		return false, errNoLease
	}
	until := sentAt + time.Duration(answer.LeaseMillis)*time.Millisecond
	// A watch that was held while heartbeats stood in for it comes late by right.
	if now >= until && !s.fresh(now) {
		return false, errLeaseExpired
	}
	s.token = answer.Token
	s.leader = address
	if answer.LeaderAddress != "" {
		s.leader = answer.LeaderAddress
	}
	s.confirmed = true
	s.confirmedAt = now
	s.answeredAt = now
	s.freshUntil = max(s.freshUntil, until)
	s.grantedLease = until - sentAt
	clear(s.failedAt)
	return newer, nil
}

// adopt puts a configuration in force.
func (s *state) adopt(version uint64, config *api.Config) {
	s.configVersion = version
	s.config = config
}

// fresh reports whether the last accepted answer's hold still stands.
func (s *state) fresh(now time.Duration) bool { return now < s.freshUntil }
