package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/storage"
)

const (
	// callerCount is the number of concurrent callers.
	callerCount = 6
	// faultCount is the number of faults in one run.
	faultCount = 14
	// checkTimeout bounds the search for a linearization of one history.
	checkTimeout = 20 * time.Second
	// staleCheckTimeout bounds the search in a history without a linearization, which may
	// take long because the unanswered calls allow many orders.
	staleCheckTimeout = 2 * time.Second
)

// TestCluster_ResponsesLinearizable makes concurrent calls during network partitions, lost
// answers, hanging disks and crashes of nodes. It then checks that the calls are
// linearizable: that there is an order of all calls, consistent with their start and end
// times, that explains every answer.
func TestCluster_ResponsesLinearizable(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			r := newFaultRun(t, seed)
			r.injectFaultsDuringCalls()
			r.wantProgress()
			r.check()
		})
	}
}

// faultRun is one run of the test with a seed.
type faultRun struct {
	t       *testing.T
	random  *rand.Rand
	nodes   []*node
	links   *links
	stores  map[*node]*hangingStore
	history *history
	counts  counter
	initial configState
	callers []*caller
}

func newFaultRun(t *testing.T, seed uint64) *faultRun {
	t.Helper()
	nodes := newNodes(t, 3)
	r := &faultRun{t: t, random: rand.New(rand.NewPCG(seed, 1)), nodes: nodes, links: newLinks(seed, nodes), stores: map[*node]*hangingStore{}}
	for i, n := range nodes {
		r.stores[n] = &hangingStore{Memory: storage.NewMemory(int64(i + 1))}
		n.store = r.stores[n]
	}
	startAll(nodes)
	const first = "first-order"
	request := protocol.PutConfigRequest{OrderID: first, Config: taggedConfig(first)}
	answer, err := callUntilAnswered[protocol.PutConfigRequest, protocol.PutConfigAnswer](t, newClient(t), nodes, protocol.MethodPutConfig, request)
	if err != nil {
		t.Fatal(err)
	}
	r.initial = configState{version: answer.Version, tag: first}
	r.history = &history{started: time.Now()}
	for number := range callerCount {
		r.callers = append(r.callers, r.newCaller(seed, number))
	}
	return r
}

func (r *faultRun) newCaller(seed uint64, number int) *caller {
	client := rpc.NewClient(rpc.ClientConfig{Dialer: r.links.dialer(fmt.Sprintf("caller-%d", number), answerLossProbability)})
	r.t.Cleanup(client.Close)
	return &caller{
		t:       r.t,
		number:  number,
		random:  rand.New(rand.NewPCG(seed, uint64(100+number))),
		client:  client,
		nodes:   r.nodes,
		history: r.history,
		counts:  &r.counts,
	}
}

// injectFaultsDuringCalls injects faultCount faults one after another while the callers make
// calls.
func (r *faultRun) injectFaultsDuringCalls() {
	ctx, cancel := context.WithCancel(r.t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for _, c := range r.callers {
		running.Go(func() { c.run(ctx) })
	}
	for number := range faultCount {
		leader := leaderOf(r.t, r.nodes)
		repair, duration := r.injectFault(number, leader)
		time.Sleep(duration) // the verdict does not depend on the duration
		repair()
	}
	leaderOf(r.t, r.nodes)
}

// wantProgress checks that enough calls were answered, some attempts had an unknown outcome,
// and the leader changed several times.
func (r *faultRun) wantProgress() {
	for what, minimum := range map[string]int{
		"configuration read":     30,
		"configuration accepted": 5,
		"submitted":              20,
		"job answered":           20,
		"unknown attempts":       3,
	} {
		if got := r.counts.get(what); got < minimum {
			r.t.Errorf("%s: got %d, want at least %d", what, got, minimum)
		}
	}
	token := leaderOf(r.t, r.nodes).replica.Status().Term
	if token < 4 {
		r.t.Errorf("got token %d of the last leader, want at least 4", token)
	}
	r.t.Logf("%d configuration calls, %d job calls; %d of unknown outcome, %d reads lost, last token %d",
		len(r.history.config), len(r.history.jobs), r.counts.get("left open"), r.links.lostReads, token)
}

// check checks that the histories of the configuration and of the jobs are linearizable.
func (r *faultRun) check() {
	config := configModel(r.initial)
	for what, checked := range map[string]struct {
		model   porcupine.Model
		history []porcupine.Operation
	}{
		"configuration": {config, r.history.config},
		"jobs":          {jobModel(), r.history.jobs},
	} {
		start := time.Now()
		if got := porcupine.CheckOperationsTimeout(checked.model, checked.history, checkTimeout); got != porcupine.Ok {
			r.t.Errorf("%s: got verdict %v, want %v", what, got, porcupine.Ok)
		}
		r.t.Logf("%s checked in %v", what, time.Since(start))
	}
	r.wantStaleReadDetected(config)
}

// wantStaleReadDetected checks that the check detects a wrong history: one in which the
// newest read of the configuration returned the first version must not be accepted.
func (r *faultRun) wantStaleReadDetected(model porcupine.Model) {
	stale := slices.Clone(r.history.config)
	slices.SortFunc(stale, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	for i, operation := range slices.Backward(stale) {
		if operation.Output.(configOutput).result == configRead {
			stale[i].Output = configOutput{result: configRead, version: r.initial.version, tag: r.initial.tag}
			break
		}
	}
	if got := porcupine.CheckOperationsTimeout(model, stale, staleCheckTimeout); got == porcupine.Ok {
		r.t.Error("a history that ends with a stale read was accepted as linearizable")
	}
}
