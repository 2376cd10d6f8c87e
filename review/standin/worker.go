package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// beatTimeout is the time after which the answer to a call is dropped.
	beatTimeout = time.Second
	// stopGrace is the time that a stop takes.
	stopGrace = 100 * time.Millisecond
	// maxAnswerBytes is the size up to which an answer acknowledges a call.
	maxAnswerBytes = 4 << 20
	maxEnds        = 500
)

// heartbeatMs is the pause before the next call where no answer says when it is due; the site
// file has 1,400. HEARTBEAT_MS sets another.
var heartbeatMs = pauseFromEnvironment()

func pauseFromEnvironment() time.Duration {
	if set, err := strconv.Atoi(os.Getenv("HEARTBEAT_MS")); err == nil {
		return time.Duration(set) * time.Millisecond
	}
	return 1400 * time.Millisecond
}

// run is one run of a task on a worker, from its start to its end.
type run struct {
	task       string
	number     uint32
	worker     string
	started    time.Time
	ended      time.Time
	how        string
	timer      *time.Timer
	stopping   bool
	cpu, memMb int
}

// end is the end of a run, or an order that was not carried out, as heartbeats list it.
type end struct {
	n      uint64
	task   string
	number uint32
	how    string
}

// worker is a sound worker as PROTOCOL.md describes it: one call at a time, the highest fence
// counts, a lease counted from the sending of the call, ends listed until they are
// acknowledged.
type worker struct {
	id, agent, zone, rack string
	cpu, memMb            int
	record                *record
	// work returns how long a task takes and what it uses.
	work func(task string) (time.Duration, int, int)
	// fails returns whether a run ends failed instead of done.
	fails func(task string, number uint32) bool

	mutex    sync.Mutex
	callSeq  uint64
	fence    uint64
	leaseEnd time.Time
	lapse    *time.Timer
	running  map[string]*run
	highest  map[string]uint32
	ends     []end
	endCount uint64
	history  []*run
	early    chan struct{}
	// holdNext is how long the network holds the next call; 0 for not at all.
	holdNext time.Duration
	// deliverWhen, if not nil, delays the delivery of a held call further.
	deliverWhen func() bool
	// tooLarge counts the answers beyond maxAnswerBytes, largest is the largest answer.
	tooLarge, largest int
	answers           int
	client            *http.Client
	// quiet keeps the starts and ends out of the record.
	quiet bool
}

func newWorker(record *record, agent *machine, index int, work func(string) (time.Duration, int, int)) *worker {
	return &worker{
		id: fmt.Sprintf("i-7f3a%04x", index+1), agent: agent.outside, zone: agent.zone, rack: "r1-" + strconv.Itoa(1+index%3),
		cpu: 32000, memMb: 65536, record: record, work: work,
		running: map[string]*run{}, highest: map[string]uint32{}, early: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{}).DialContext}},
	}
}

// beats sends heartbeats until ctx ends.
func (w *worker) beats(ctx context.Context) {
	pause := time.Duration(0)
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-w.early:
			time.Sleep(50 * time.Millisecond)
		}
		timer.Stop()
		pause = w.beat(ctx)
	}
}

// beat sends one heartbeat, applies its answer, and returns the pause until the next one.
func (w *worker) beat(ctx context.Context) time.Duration {
	w.mutex.Lock()
	w.callSeq++
	seq, hold := w.callSeq, w.holdNext
	w.holdNext = 0
	body := w.body()
	tasks := w.runningList()
	w.mutex.Unlock()
	sent := time.Now()
	if hold > 0 {
		w.record.add("%s: call %d is sent, listing %v; it is late on its way", w.id, seq, tasks)
		go w.deliverLate(seq, body, hold, sent)
		time.Sleep(beatTimeout)
		w.record.add("%s: call %d has no answer after a second", w.id, seq)
		return 0 // the next node is called; there is no other than the one of this machine
	}
	answer, size, err := w.post(ctx, body)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.largest = max(w.largest, size)
	if err != nil {
		if !w.quiet {
			w.record.add("%s: call %d, listing %v -> %v", w.id, seq, tasks, err)
		}
		return heartbeatMs
	}
	w.answers++
	return w.apply(sent, answer)
}

// deliverLate delivers a call that the network has held. Its answer comes too late.
func (w *worker) deliverLate(seq uint64, body []byte, hold time.Duration, sent time.Time) {
	time.Sleep(hold)
	w.mutex.Lock()
	when := w.deliverWhen
	w.mutex.Unlock()
	for when != nil && !when() {
		time.Sleep(5 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w.record.add("%s: call %d comes to its machine %.1f s after it was sent", w.id, seq, time.Since(sent).Seconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agent+"/-/Instances.Heartbeat/"+w.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		w.record.add("%s: call %d, late -> %v", w.id, seq, err)
		return
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	w.record.add("%s: call %d, late -> %d %.200s (dropped by the worker)", w.id, seq, response.StatusCode, text)
}

type beatAnswer struct {
	HoldMs   int64               `json:"holdMs"`
	LastSeen uint64              `json:"lastSeen"`
	Fence    uint64              `json:"fence"`
	Start    [][]json.RawMessage `json:"start"`
	Stop     [][]json.RawMessage `json:"stop"`
	RetryMs  int64               `json:"retryMs"`
	BeatAddr string              `json:"beatAddr"`
}

// post makes one call. It fails after a second, on any status but 2xx, and on an answer over
// 4 MiB; size is the size of the answer.
func (w *worker) post(ctx context.Context, body []byte) (answer beatAnswer, size int, err error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agent+"/-/Instances.Heartbeat/"+w.id, bytes.NewReader(body))
	if err != nil {
		return answer, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		return answer, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, len(text), err
	}
	if response.StatusCode/100 != 2 {
		return answer, len(text), fmt.Errorf("%d %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	if len(text) > maxAnswerBytes {
		w.mutex.Lock()
		w.tooLarge++
		w.mutex.Unlock()
		return answer, len(text), fmt.Errorf("200 with %d bytes, more than 4 MiB: not an acknowledgement", len(text))
	}
	return answer, len(text), json.Unmarshal(text, &answer)
}

// body encodes the heartbeat. The caller holds the mutex.
func (w *worker) body() []byte {
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, "", 0})
	}
	ended := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.number, e.how, ""})
	}
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": "10.128.0." + w.id[len(w.id)-2:] + ":8080", "zone": w.zone, "version": "v1", "slots": 8,
		"state": "ready", "coldLeftMs": 0, "capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0},
		"labels": []string{"a", w.rack}, "nowMs": time.Since(w.record.started).Milliseconds(), "callSeq": w.callSeq,
		"running": running, "ended": ended,
	})
	return body
}

func (w *worker) runningList() []string {
	var list []string
	for _, r := range w.running {
		list = append(list, fmt.Sprintf("%s run %d", r.task, r.number))
	}
	slices.Sort(list)
	return list
}

// apply applies an answer to a call and returns the pause until the next call. The caller
// holds the mutex.
func (w *worker) apply(sent time.Time, answer beatAnswer) time.Duration {
	if answer.Fence < w.fence {
		return heartbeatMs
	}
	w.fence = answer.Fence
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.n <= answer.LastSeen })
	for _, order := range answer.Stop {
		task, number, _ := decodeOrder(order)
		w.stop(task, number)
	}
	if answer.HoldMs > 0 {
		w.extend(sent.Add(time.Duration(min(answer.HoldMs, 6000)) * time.Millisecond))
		for _, order := range answer.Start {
			task, number, spec := decodeOrder(order)
			w.start(task, number, spec)
		}
	}
	if answer.RetryMs > 0 {
		return time.Duration(answer.RetryMs) * time.Millisecond
	}
	return heartbeatMs
}

func decodeOrder(order []json.RawMessage) (task string, number uint32, spec string) {
	_ = json.Unmarshal(order[0], &task)
	_ = json.Unmarshal(order[1], &number)
	if len(order) > 2 {
		_ = json.Unmarshal(order[2], &spec)
	}
	return task, number, spec
}

// extend extends the lease; when it is over, everything is killed.
func (w *worker) extend(until time.Time) {
	if !until.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(until), func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if time.Now().Before(w.leaseEnd) {
			return
		}
		for _, r := range w.running {
			w.finish(r, "lapsed")
		}
	})
}

// start carries a start out, or lists it as refused if its run is not above one that was
// stopped or has ended. A start of the run that is there already has no effect.
func (w *worker) start(task string, number uint32, spec string) {
	if r := w.running[task]; r != nil && r.number == number {
		return
	}
	if number <= w.highest[task] {
		w.addEnd(task, number, "refused")
		return
	}
	took, cpu, memMb := w.work(task)
	r := &run{task: task, number: number, worker: w.id, started: time.Now(), cpu: cpu, memMb: memMb}
	if !w.quiet {
		w.record.add("%s: starts %s run %d (spec of %d bytes)", w.id, task, number, len(spec))
	}
	if old := w.running[task]; old != nil {
		// Two runs of one task on this worker: the older one continues until it is stopped.
		delete(w.running, task)
		old.timer.Stop()
		old.how, old.ended = "replaced", time.Now().Add(stopGrace)
	}
	how := "done"
	if w.fails != nil && w.fails(task, number) {
		how = "failed"
	}
	w.running[task] = r
	w.history = append(w.history, r)
	r.timer = time.AfterFunc(took, func() { w.finishLocked(r, how) })
}

func (w *worker) finishLocked(r *run, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.finish(r, how)
}

// finish ends a run. The caller holds the mutex.
func (w *worker) finish(r *run, how string) {
	if !r.ended.IsZero() {
		return
	}
	r.timer.Stop()
	r.ended, r.how = time.Now(), how
	if w.running[r.task] == r {
		delete(w.running, r.task)
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	if !w.quiet {
		w.record.add("%s: %s run %d ends %s", w.id, r.task, r.number, how)
	}
	w.addEnd(r.task, r.number, how)
}

func (w *worker) addEnd(task string, number uint32, how string) {
	w.endCount++
	w.ends = append(w.ends, end{n: w.endCount, task: task, number: number, how: how})
	select {
	case w.early <- struct{}{}:
	default:
	}
}

// stop stops a run; one that is not there yet is refused from now on.
func (w *worker) stop(task string, number uint32) {
	w.highest[task] = max(w.highest[task], number)
	r := w.running[task]
	if r == nil || r.number > number || r.stopping {
		return
	}
	r.stopping = true
	r.timer.Stop()
	if !w.quiet {
		w.record.add("%s: is told to stop %s run %d", w.id, task, r.number)
	}
	time.AfterFunc(stopGrace, func() { w.finishLocked(r, "stopped") })
}

// runs returns copies of all runs so far; those that continue have a zero end.
func (w *worker) runs() []run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []run
	for _, r := range w.history {
		list = append(list, run{task: r.task, number: r.number, worker: r.worker, started: r.started, ended: r.ended, how: r.how, cpu: r.cpu, memMb: r.memMb})
	}
	return list
}
