package raftsim

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// Numbers of seeds. seedsShort applies to go test -short.
const (
	seedsLong  = 2000
	seedsShort = 200
	// seedsForMutation is the maximum number of seeds that are run to find the
	// violation that a mutation causes.
	seedsForMutation = 400
	// batchSize is the number of seeds of one parallel subtest.
	batchSize = 50
	// seedsFiveVoters is the number of seeds with eight machines, five of them
	// voters.
	seedsFiveVoters = 150
)

// TestSimulation_SeedsKeepGuarantees runs many seeds. RAFTSIM_SEED=n runs only seed n
// and prints its trace.
func TestSimulation_SeedsKeepGuarantees(t *testing.T) {
	if text := os.Getenv("RAFTSIM_SEED"); text != "" {
		runSingleSeed(t, text)
		return
	}
	count := seedsLong
	if testing.Short() {
		count = seedsShort
	}
	runSeeds(t, count, Options{})
}

// fiveVoterOptions returns the options of a larger cluster: five voters and three
// learners.
func fiveVoterOptions() Options { return Options{Machines: 5, Spares: 3} }

func fiveVoterMutation(mutated mutation) Options {
	options := fiveVoterOptions()
	options.mutation = mutated
	return options
}

// TestSimulation_FiveVotersKeepGuarantees runs seeds with the same faults on eight
// machines.
func TestSimulation_FiveVotersKeepGuarantees(t *testing.T) {
	count := seedsFiveVoters
	if testing.Short() {
		count = seedsShort
	}
	runSeeds(t, count, fiveVoterOptions())
}

// runSeeds runs the seeds from zero to count-1 and requires that none violates a
// guarantee, and that each kind of fault occurred.
func runSeeds(t *testing.T, count int, options Options) {
	t.Helper()
	var mutex sync.Mutex
	var total Report
	t.Run("batches", func(t *testing.T) {
		for first := 0; first < count; first += batchSize {
			t.Run(fmt.Sprint(first), func(t *testing.T) {
				t.Parallel()
				for seed := first; seed < first+batchSize; seed++ {
					seedOptions := options
					seedOptions.Seed = int64(seed)
					report, err := Run(seedOptions)
					if err != nil {
						t.Error(err)
					}
					mutex.Lock()
					total.add(report)
					mutex.Unlock()
				}
			})
		}
	})
	t.Logf("all seeds: %+v", total)
	total.requireCoverage(t)
}

// runSingleSeed runs the seed given as text and prints its trace.
func runSingleSeed(t *testing.T, text string) {
	t.Helper()
	seed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("RAFTSIM_SEED: %v", err)
	}
	report, err := Run(Options{Seed: seed, Trace: os.Stdout})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", report)
}

// add adds the counts of another report.
func (r *Report) add(other Report) {
	r.Events += other.Events
	r.Acknowledged += other.Acknowledged
	r.Reads += other.Reads
	r.Leaders += other.Leaders
	r.Crashes += other.Crashes
	r.Freezes += other.Freezes
	r.LostDisks += other.LostDisks
	r.SecondLosses += other.SecondLosses
	r.Replacements += other.Replacements
	r.SnapshotsInstalled += other.SnapshotsInstalled
	r.Transfers += other.Transfers
	r.LateTimeoutNows += other.LateTimeoutNows
}

// requireCoverage requires that each count is above zero: seeds in which a fault
// never occurred prove nothing about that fault.
func (r *Report) requireCoverage(t *testing.T) {
	t.Helper()
	counts := []int{
		r.Acknowledged, r.Reads, r.Leaders, r.Crashes, r.Freezes, r.LostDisks, r.SecondLosses,
		r.Replacements, r.SnapshotsInstalled, r.Transfers, r.LateTimeoutNows,
	}
	for i, count := range counts {
		if count == 0 {
			t.Errorf("count %d of %+v is zero, want at least 1", i, *r)
		}
	}
}

func TestSimulation_SeedIsReproducible(t *testing.T) {
	for seed := range int64(5) {
		first, firstErr := Run(Options{Seed: seed})
		second, secondErr := Run(Options{Seed: seed})
		if first != second || (firstErr == nil) != (secondErr == nil) {
			t.Errorf("seed %d: the first run reported %+v, the second %+v", seed, first, second)
		}
	}
}

// TestSimulation_MutationsAreDetected proves that the checks can fail: for each
// disabled safety rule, some seed reports the violation that the rule prevents.
func TestSimulation_MutationsAreDetected(t *testing.T) {
	const twoLeases, twoLeaders = "both hold a lease", "both lead term"
	cases := []struct {
		name    string
		options Options
		reason  string
	}{
		{"vote delay", Options{mutation: mutationNoVoteDelay, scenario: scenarioVoterRestarts}, twoLeases},
		{"vote", Options{mutation: mutationForgetVote, scenario: scenarioVoterRestarts}, twoLeaders},
		{"lease", Options{mutation: mutationOverlongLease}, twoLeases},
		{"transfer", Options{mutation: mutationLeaseDuringTransfer}, twoLeases},
		{"timeout now", Options{mutation: mutationStaleTimeoutNow, scenario: scenarioLateTransfers}, twoLeases},
		{"stickiness", Options{mutation: mutationNoStickiness}, twoLeases},
		{"sync", Options{mutation: mutationLoseSyncedWrite}, "applies"},
		{"replica id", Options{mutation: mutationReuseReplicaID}, "applies"},
		{"sync, grown", fiveVoterMutation(mutationLoseSyncedWrite), "applies"},
		{"lease, grown", fiveVoterMutation(mutationOverlongLease), twoLeases},
		{"reads", Options{mutation: mutationUnconfirmedReads}, "was acknowledged before"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			requireViolation(t, c.options, c.reason)
		})
	}
}

// requireViolation requires that one of the first seedsForMutation seeds reports a
// violation whose reason contains the given text.
func requireViolation(t *testing.T, options Options, reason string) {
	t.Helper()
	for options.Seed = 0; options.Seed < seedsForMutation; options.Seed++ {
		_, err := Run(options)
		var violation *ViolationError
		if errors.As(err, &violation) && strings.Contains(violation.Reason, reason) {
			t.Logf("seed %d: %s", options.Seed, violation.Reason)
			return
		}
	}
	t.Errorf("no violation with %q in %d seeds", reason, seedsForMutation)
}
