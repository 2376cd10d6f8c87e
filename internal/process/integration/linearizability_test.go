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
	callers = 6
	// faults is the number of faults in one run.
	faults = 14
	// checkTimeout bounds the search for an order of one history.
	checkTimeout = 20 * time.Second
	// wrongTimeout bounds it in a history that has none; the calls left open allow many
	// orders.
	wrongTimeout = 2 * time.Second
)

// TestCluster_ResponsesLinearizable makes concurrent calls during network partitions, lost
// answers and crashes of leaders, and then looks for one order of all calls, consistent
// with their times, that explains every answer.
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

// faultRun is one seeded run.
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
	for number := range callers {
		r.callers = append(r.callers, r.newCaller(seed, number))
	}
	return r
}

func (r *faultRun) newCaller(seed uint64, number int) *caller {
	client := rpc.NewClient(rpc.ClientConfig{Dialer: r.links.dialer(fmt.Sprintf("caller-%d", number), answerLoss)})
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

func (r *faultRun) injectFaultsDuringCalls() {
	ctx, cancel := context.WithCancel(r.t.Context())
	var working sync.WaitGroup
	defer working.Wait()
	defer cancel()
	for _, c := range r.callers {
		working.Go(func() { c.run(ctx) })
	}
	for number := range faults {
		leader := leaderOf(r.t, r.nodes)
		repair, lasts := r.injectFault(number, leader)
		time.Sleep(lasts) // no result depends on it
		repair()
	}
	leaderOf(r.t, r.nodes)
}

// wantProgress checks that the run had many answers and some losses.
func (r *faultRun) wantProgress() {
	for what, least := range map[string]int{
		"configuration read":     30,
		"configuration accepted": 5,
		"submitted":              20,
		"job answered":           20,
		"unknown attempts":       3,
	} {
		if got := r.counts.of(what); got < least {
			r.t.Errorf("%s: %d, want at least %d", what, got, least)
		}
	}
	token := leaderOf(r.t, r.nodes).replica.Status().Term
	if token < 4 {
		r.t.Errorf("the last leader has token %d, want several leaders", token)
	}
	r.t.Logf("%d configuration calls, %d job calls; %d left open, %d answers lost, last token %d",
		len(r.history.config), len(r.history.jobs), r.counts.of("left open"), r.links.lost, token)
}

func (r *faultRun) check() {
	config := configModel(r.initial)
	for what, checked := range map[string]struct {
		model   porcupine.Model
		history []porcupine.Operation
	}{
		"configuration": {config, r.history.config},
		"jobs":          {jobModel(), r.history.jobs},
	} {
		began := time.Now()
		if got := porcupine.CheckOperationsTimeout(checked.model, checked.history, checkTimeout); got != porcupine.Ok {
			r.t.Errorf("%s: %v, want %v", what, got, porcupine.Ok)
		}
		r.t.Logf("%s checked in %v", what, time.Since(began))
	}
	r.wantWrongHistoryDetected(config)
}

// wantWrongHistoryDetected checks the check: if the newest read of the configuration had
// returned the first version, no order would explain the history.
func (r *faultRun) wantWrongHistoryDetected(model porcupine.Model) {
	wrong := slices.Clone(r.history.config)
	slices.SortFunc(wrong, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	for i, operation := range slices.Backward(wrong) {
		if operation.Output.(configOutput).result == configRead {
			wrong[i].Output = configOutput{result: configRead, version: r.initial.version, tag: r.initial.tag}
			break
		}
	}
	if got := porcupine.CheckOperationsTimeout(model, wrong, wrongTimeout); got == porcupine.Ok {
		r.t.Error("a stale read at the end was not detected")
	}
}
