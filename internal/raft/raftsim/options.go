package raftsim

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Options chooses a run.
type Options struct {
	Seed int64
	// Machines is 3 or 5; zero lets the seed choose. One spare joins them in
	// some runs.
	Machines int
	// Spares is how many machines join beside those as learners; zero lets the
	// seed choose none or one.
	Spares int
	// FaultTime is how long faults go on, in virtual time. Default 15s.
	FaultTime time.Duration
	// Trace, if not nil, gets a line for each event.
	Trace io.Writer

	mutation mutation
	// scenario is chosen by the seed if it is zero.
	scenario scenario
}

// scenario is the kind of faults in a run.
type scenario uint8

const (
	scenarioDrawn scenario = iota
	// scenarioMixed has all of them, and is most common.
	scenarioMixed
	// scenarioVoterRestarts has only restartVoterRepeatedly, and
	// scenarioLateTransfers only failing transfers of leadership: other faults
	// would mostly keep the rare outcome from showing.
	scenarioVoterRestarts
	scenarioLateTransfers
)

// mutation switches off one safety rule, to prove that the checks can fail.
type mutation uint8

const (
	// The zero value keeps every rule.
	_ mutation = iota
	// mutationNoVoteDelay: restarted voters vote at once.
	mutationNoVoteDelay
	// mutationForgetVote: a restart forgets the vote, and there is no vote delay.
	mutationForgetVote
	// mutationOverlongLease: a lease counts for two seconds too long.
	mutationOverlongLease
	// mutationLeaseDuringTransfer: a lease counts during a leadership transfer.
	mutationLeaseDuringTransfer
	// mutationStaleTimeoutNow: TimeoutNow is followed in any later term.
	mutationStaleTimeoutNow
	// mutationNoStickiness: every vote request bypasses leader stickiness.
	mutationNoStickiness
	// mutationLoseSyncedWrite: a crash loses the last synced entries as well.
	mutationLoseSyncedWrite
	// mutationReuseReplicaID: an emptied machine comes back as the voter it was.
	mutationReuseReplicaID
	// mutationUnconfirmedReads: reads are answered from the commit index at once.
	mutationUnconfirmedReads
)

// Report says what happened in a run.
type Report struct {
	Seed int64
	// TraceHash is equal for runs with the same events.
	TraceHash uint64
	Events    int
	// Acknowledged counts proposals, Reads answered read requests.
	Acknowledged int
	Reads        int
	Leaders      int
	Crashes      int
	Freezes      int
	LostDisks    int
	// SecondLosses are disks lost right after a replacement was complete.
	SecondLosses       int
	Replacements       int
	SnapshotsInstalled int
	Transfers          int
	// LateTimeoutNows are those that arrived more than an election timeout
	// after they were sent.
	LateTimeoutNows int
}

// ViolationError is a broken guarantee, with the events that led to it.
type ViolationError struct {
	Seed   int64
	At     time.Duration
	Reason string
	// Last has the last events, oldest first.
	Last []string
}

// Error names the seed, which reproduces the run.
func (v *ViolationError) Error() string {
	return fmt.Sprintf("raftsim: seed %d at %v: %s\n%s", v.Seed, v.At, v.Reason, strings.Join(v.Last, "\n"))
}
