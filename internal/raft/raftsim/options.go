package raftsim

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Options configures a run.
type Options struct {
	Seed int64
	// Machines is the number of initial voters. With zero the seed chooses 3 or 5.
	Machines int
	// Spares is the number of further machines, which join as learners. With zero
	// the seed chooses none or one.
	Spares int
	// FaultDuration is the virtual time during which faults are injected. Default
	// 15 s.
	FaultDuration time.Duration
	// Trace, if not nil, receives one line for each event.
	Trace io.Writer

	mutation mutation
	// scenario is chosen by the seed if it is scenarioRandom (zero).
	scenario scenario
}

// scenario selects the kinds of faults in a run.
type scenario uint8

const (
	scenarioRandom scenario = iota
	// scenarioMixed injects all kinds of faults. The seed chooses it in 80 % of the
	// runs.
	scenarioMixed
	// scenarioVoterRestarts uses only restartVoterRepeatedly, and
	// scenarioLateTransfers only leadership transfers that fail. Other faults would
	// mostly prevent the rare violations that these two scenarios look for.
	scenarioVoterRestarts
	scenarioLateTransfers
)

// mutation disables one safety rule, to prove that the checks can fail.
type mutation uint8

const (
	// The zero value disables no rule.
	_ mutation = iota
	// mutationNoVoteDelay lets restarted voters vote at once.
	mutationNoVoteDelay
	// mutationForgetVote loses the vote in a crash and disables the vote delay.
	mutationForgetVote
	// mutationOverlongLease treats a lease as valid for two more seconds.
	mutationOverlongLease
	// mutationLeaseDuringTransfer treats a lease as valid during a leadership
	// transfer.
	mutationLeaseDuringTransfer
	// mutationStaleTimeoutNow accepts a TimeoutNow of an earlier term.
	mutationStaleTimeoutNow
	// mutationNoStickiness makes every vote request bypass leader stickiness.
	mutationNoStickiness
	// mutationLoseSyncedWrite loses the entries of the last write in a crash,
	// although they were synced.
	mutationLoseSyncedWrite
	// mutationReuseReplicaID restarts a machine that lost its disk under the same
	// replica id.
	mutationReuseReplicaID
	// mutationUnconfirmedReads answers reads at the commit index without confirming
	// leadership.
	mutationUnconfirmedReads
)

// Report counts what happened in a run.
type Report struct {
	Seed int64
	// TraceHash is a hash of all events: runs with the same events have equal
	// hashes.
	TraceHash uint64
	Events    int
	// Acknowledged counts acknowledged commands, Reads completed reads.
	Acknowledged int
	Reads        int
	Leaders      int
	Crashes      int
	Freezes      int
	LostDisks    int
	// SecondLosses counts disks lost right after a replacement was complete.
	SecondLosses       int
	Replacements       int
	SnapshotsInstalled int
	Transfers          int
	// LateTimeoutNows counts TimeoutNow messages that arrived more than 1 s, the
	// longest election timeout, after they were sent.
	LateTimeoutNows int
}

// ViolationError reports a violated guarantee, with the last events before it.
type ViolationError struct {
	Seed int64
	// At is the virtual time of the violation.
	At     time.Duration
	Reason string
	// LastEvents has the last events of the trace, oldest first.
	LastEvents []string
}

// Error returns the seed, which reproduces the run, the reason and the last events.
func (v *ViolationError) Error() string {
	return fmt.Sprintf("raftsim: seed %d at %v: %s\n%s", v.Seed, v.At, v.Reason, strings.Join(v.LastEvents, "\n"))
}
