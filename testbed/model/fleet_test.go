package model

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// shape describes the size and layout of a fleet.
type shape struct {
	name string
	// schedulers, fronts and workers are assigned to the zones in turn. Each
	// worker has its own machine and agent.
	zones                       []string
	schedulers, fronts, workers int
	// toleratedLosses is the number of schedulers that may be lost at the same time. The
	// cluster has 2*toleratedLosses+1 voters.
	toleratedLosses int
	// workersPerRack is the number of workers with the same rack label.
	workersPerRack int
	// disabledFeatures are the optional mechanisms that are disabled.
	disabledFeatures featuregate.DisabledSet
}

// The shapes of the users' deployments after growth, with fewer fronts, since fronts
// are stateless.
func grownRestrepo() shape {
	return shape{
		name: "restrepo", zones: []string{"cali-norte", "palmira", "jamundi", "tulua"},
		schedulers: 8, fronts: 4, workers: 77, toleratedLosses: 2, workersPerRack: 8,
	}
}

func grownCartago() shape {
	return shape{
		name: "cartago", zones: []string{"taras", "oreamuno", "paraiso"},
		schedulers: 6, fronts: 3, workers: 61, toleratedLosses: 2, workersPerRack: 10,
	}
}

const (
	// stateTimeout bounds each wait of a scenario for the fleet to reach a state, such as
	// all voter slots filled after the start.
	stateTimeout = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	// startReading is the reading of the monotonic clock at the start of a scenario.
	startReading = monoclock.Nanos(time.Second)
)

// logVariable is the environment variable with the path prefix of the files to which the
// logs of the processes are written, one file per test. Default: no logs.
const logVariable = "DECKLEVER_MODEL_LOG"

// fleet is all simulated processes of a deployment with the recorded calls, faults and
// events. mutex guards events and random.
type fleet struct {
	t       *testing.T
	shape   shape
	seed    uint64
	random  *rand.Rand
	logs    slog.Handler
	network *network
	started time.Time

	schedulers []*schedulerMachine
	seeds      []string
	fronts     map[string]*frontMachine
	slots      []*workerSlot
	gangs      gangs

	// abort ends a scenario that cannot continue; nil before the scenario begins.
	abort context.CancelFunc

	calls  *calllog.Log
	mutex  sync.Mutex
	events []eventlog.Event
}

// newFleet starts the schedulers and fronts of a fleet and waits until all voter slots are
// filled. startWorkers starts the agents and workers.
func newFleet(t *testing.T, size shape, seed uint64) *fleet {
	t.Helper()
	calls, err := calllog.Open("")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		t: t, shape: size, seed: seed, random: rand.New(rand.NewPCG(seed, 0x646179)), logs: logHandler(t),
		network: newNetwork(seed), started: time.Now(), fronts: map[string]*frontMachine{}, calls: calls,
	}
	for number := range size.schedulers {
		f.addScheduler(number)
	}
	for _, one := range f.schedulers {
		one.newDisk()
		one.start()
	}
	for number := range size.fronts {
		f.addFront(number)
	}
	f.await("all voter slots are filled", func() bool {
		leader := f.leader()
		return leader != nil && len(leader.membership().Voters) == 2*size.toleratedLosses+1 && len(leader.membership().Outgoing) == 0
	})
	return f
}

func logHandler(t *testing.T) slog.Handler {
	t.Helper()
	path := os.Getenv(logVariable)
	if path == "" {
		return slog.DiscardHandler
	}
	file, err := os.Create(path + "-" + strings.ReplaceAll(t.Name(), "/", "-"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return slog.NewTextHandler(file, nil)
}

// seedCount is the number of seeds: the first schedulers, each in its own zone, which
// bootstrap the cluster. The other schedulers join it.
const seedCount = 3

func (f *fleet) addScheduler(number int) {
	one := &schedulerMachine{
		fleet: f, name: fmt.Sprintf("scheduler-%d", number+1), zone: f.zone(number),
		address: fmt.Sprintf("10.0.0.%d:7100", number+1), mayBootstrap: number < seedCount,
	}
	f.network.zones[one.name] = one.zone
	f.schedulers = append(f.schedulers, one)
	if one.mayBootstrap {
		f.seeds = append(f.seeds, one.address)
	}
}

func (f *fleet) zone(number int) string { return f.shape.zones[number%len(f.shape.zones)] }

// seedOf returns a random seed that depends only on the scenario's seed and the name.
func (f *fleet) seedOf(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return rand.New(rand.NewPCG(f.seed, hash.Sum64())).Uint64() >> 8
}

// close stops all processes and the network.
func (f *fleet) close() {
	for _, one := range f.slots {
		one.crash()
	}
	for _, one := range f.slots {
		for _, started := range one.incarnations {
			<-started.ended
		}
		one.agent.stop()
	}
	for _, one := range f.fronts {
		one.stop()
	}
	for _, one := range f.schedulers {
		one.kill()
	}
	f.network.close()
}

// now returns the current reading of the clock that timestamps all recorded entries and
// events.
func (f *fleet) now() monoclock.Nanos { return startReading.Add(time.Since(f.started)) }

// recordFault adds a fault, or the start or exit of a process, to the call log.
func (f *fleet) recordFault(entry calllog.Entry) {
	entry.Kind = calllog.KindFault
	entry.Sent = f.now()
	entry.Answered = entry.Sent
	f.calls.Add(entry)
}

// await waits until reached returns true, and ends the scenario if stateTimeout passes first.
func (f *fleet) await(state string, reached func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(stateTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			f.fail("timed out after %v waiting for: %s", stateTimeout, state)
			return
		}
		time.Sleep(pollInterval)
	}
}

// fail reports a test error that prevents the scenario from continuing, and ends the
// scenario.
func (f *fleet) fail(format string, arguments ...any) {
	f.t.Helper()
	f.t.Errorf(format, arguments...)
	if f.abort != nil {
		f.abort()
	}
}

// leader returns the scheduler that leads under a valid lease, or nil.
func (f *fleet) leader() *schedulerMachine {
	for _, one := range f.schedulers {
		if one.isLeader() {
			return one
		}
	}
	return nil
}

// awaitLeader waits for a leader and returns it; nil if it timed out.
func (f *fleet) awaitLeader() *schedulerMachine {
	var leader *schedulerMachine
	f.await("a leader", func() bool {
		leader = f.leader()
		return leader != nil
	})
	return leader
}

func hasMember(members []raft.Member, id raft.ReplicaID) bool {
	return slices.ContainsFunc(members, func(member raft.Member) bool { return member.ID == id })
}

// voters returns the machines whose replica is a voter.
func (f *fleet) voters() []*schedulerMachine {
	membership := f.awaitLeader().membership()
	return slices.DeleteFunc(slices.Clone(f.schedulers), func(one *schedulerMachine) bool {
		return !hasMember(membership.Voters, one.store.ReplicaID())
	})
}

// peers returns all schedulers except excluded.
func (f *fleet) peers(excluded *schedulerMachine) []*schedulerMachine {
	return slices.DeleteFunc(slices.Clone(f.schedulers), func(one *schedulerMachine) bool { return one == excluded })
}

// partition blocks both directions between each process of from and each of to, for the
// given length of time.
func (f *fleet) partition(ctx context.Context, length time.Duration, from, to []string) {
	var links []link
	for _, one := range from {
		for _, other := range to {
			if one != other {
				links = append(links, link{one, other}, link{other, one})
			}
		}
	}
	recordAll := func(action calllog.Action) {
		for _, one := range links {
			f.recordFault(calllog.Entry{Process: one.from, Peer: one.to, Action: action})
		}
	}
	recordAll(calllog.ActionPartition)
	heal := f.network.partition(links...)
	contexttime.Sleep(ctx, length)
	heal()
	recordAll(calllog.ActionHeal)
}

// names returns the names of machines.
func names(machines []*schedulerMachine) []string {
	var all []string
	for _, one := range machines {
		all = append(all, one.name)
	}
	return all
}

// processes returns the sorted names of all schedulers, fronts and agents in a zone, or in
// all zones if zone is empty.
func (f *fleet) processes(zone string) []string {
	var all []string
	for name, in := range f.network.zones {
		if zone == "" || in == zone {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}
