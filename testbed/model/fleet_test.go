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

// shape is the size of a fleet.
type shape struct {
	name string
	// schedulers, fronts and workers are spread over the zones in turn; each
	// worker has a machine and an agent of its own.
	zones                       []string
	schedulers, fronts, workers int
	// tolerate is how many schedulers may be lost at once.
	tolerate int
	// rack is the number of workers in one.
	rack int
	// off are the mechanisms that are switched off.
	off featuregate.DisabledSet
}

// The shapes of the users' deployments once grown; of the fronts, which keep no
// state, there are fewer.
func grownRestrepo() shape {
	return shape{
		name: "restrepo", zones: []string{"cali-norte", "palmira", "jamundi", "tulua"},
		schedulers: 8, fronts: 4, workers: 77, tolerate: 2, rack: 8,
	}
}

func grownCartago() shape {
	return shape{
		name: "cartago", zones: []string{"taras", "oreamuno", "paraiso"},
		schedulers: 6, fronts: 3, workers: 61, tolerate: 2, rack: 10,
	}
}

const (
	// formTimeout bounds the forming of a fleet with all its voters, and every
	// other wait of a scenario for the fleet to come to a state.
	formTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	// startReading is what the monotonic clock shows when a scenario begins.
	startReading = monoclock.Nanos(time.Second)
)

// logVariable is a file that gets the logs of the processes.
const logVariable = "DECKLEVER_MODEL_LOG"

// fleet is all processes of a deployment.
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

	// abort ends the scenario, once it cannot go on; nil before it begins.
	abort context.CancelFunc

	calls  *calllog.Log
	mutex  sync.Mutex
	events []eventlog.Event
}

// newFleet starts a fleet and waits until it has all voters.
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
	f.await("all seats are taken", func() bool {
		leader := f.leader()
		return leader != nil && len(leader.membership().Voters) == 2*size.tolerate+1 && len(leader.membership().Outgoing) == 0
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

// seeds are the first three schedulers, each in a zone of its own; they form
// the cluster, and the others join it.
const seedCount = 3

func (f *fleet) addScheduler(number int) {
	one := &schedulerMachine{
		fleet: f, name: fmt.Sprintf("scheduler-%d", number+1), zone: f.zone(number),
		address: fmt.Sprintf("10.0.0.%d:7100", number+1), mayForm: number < seedCount,
	}
	f.network.zones[one.name] = one.zone
	f.schedulers = append(f.schedulers, one)
	if one.mayForm {
		f.seeds = append(f.seeds, one.address)
	}
}

func (f *fleet) zone(number int) string { return f.shape.zones[number%len(f.shape.zones)] }

// seedOf draws a number that depends on the seed of the scenario and a name alone.
func (f *fleet) seedOf(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return rand.New(rand.NewPCG(f.seed, hash.Sum64())).Uint64() >> 8
}

// close ends all processes.
func (f *fleet) close() {
	for _, one := range f.slots {
		one.crash()
	}
	for _, one := range f.slots {
		for _, started := range one.lives {
			<-started.over
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

// now reads the clock by which everything is recorded.
func (f *fleet) now() monoclock.Nanos { return startReading.Add(time.Since(f.started)) }

// fault records what was done to a process.
func (f *fleet) fault(entry calllog.Entry) {
	entry.Kind = calllog.KindFault
	entry.Sent = f.now()
	entry.Answered = entry.Sent
	f.calls.Add(entry)
}

// await waits for the fleet to come to a state.
func (f *fleet) await(what string, reached func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(formTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			f.fail("not within %v: %s", formTimeout, what)
			return
		}
		time.Sleep(pollInterval)
	}
}

// fail reports that a scenario cannot go on, and ends it.
func (f *fleet) fail(format string, arguments ...any) {
	f.t.Helper()
	f.t.Errorf(format, arguments...)
	if f.abort != nil {
		f.abort()
	}
}

// leader returns the scheduler that acts as leader, or nil.
func (f *fleet) leader() *schedulerMachine {
	for _, one := range f.schedulers {
		if one.leads() {
			return one
		}
	}
	return nil
}

// awaitLeader waits until a scheduler acts as leader.
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

// voters returns the machines that vote.
func (f *fleet) voters() []*schedulerMachine {
	membership := f.awaitLeader().membership()
	return slices.DeleteFunc(slices.Clone(f.schedulers), func(one *schedulerMachine) bool {
		return !hasMember(membership.Voters, one.store.ReplicaID())
	})
}

// peers returns the schedulers except one.
func (f *fleet) peers(left *schedulerMachine) []*schedulerMachine {
	return slices.DeleteFunc(slices.Clone(f.schedulers), func(one *schedulerMachine) bool { return one == left })
}

// partition blocks both directions between processes of two sets for a time.
func (f *fleet) partition(ctx context.Context, length time.Duration, from, to []string) {
	var links []link
	for _, one := range from {
		for _, other := range to {
			if one != other {
				links = append(links, link{one, other}, link{other, one})
			}
		}
	}
	note := func(action calllog.Action) {
		for _, one := range links {
			f.fault(calllog.Entry{Process: one.from, Peer: one.to, Action: action})
		}
	}
	note(calllog.ActionPartition)
	heal := f.network.partition(links...)
	contexttime.Sleep(ctx, length)
	heal()
	note(calllog.ActionHeal)
}

// names are those of machines.
func names(machines []*schedulerMachine) []string {
	var all []string
	for _, one := range machines {
		all = append(all, one.name)
	}
	return all
}

// processes are the names of everything that speaks to schedulers, or only of
// what is in a zone.
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
