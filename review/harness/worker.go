package main

import (
	"encoding/json"
	"regexp"
	"strconv"
	"sync"
	"time"
)

const (
	holdMax        = 6 * time.Second
	answerTimeout  = time.Second
	maxAnswerBytes = 4 << 20
	maxListedEnds  = 500
	pauseAfterEnd  = 50 * time.Millisecond
	stopTime       = 50 * time.Millisecond
)

// workMillis is the mark in a job's text that tells a worker how long a task takes.
var workMillis = regexp.MustCompile(`ms="(\d+)"`)

// taskRun is one open run of a task.
type taskRun struct {
	task     string
	run      uint32
	started  time.Time
	ends     time.Time
	stopping bool
}

type endedRun struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// worker is a stand-in of a worker, as the pages describe it: it carries out orders within
// its lease, reports what runs and what has ended, and takes an answer only within a second
// and up to 4 MiB.
type worker struct {
	id, agent, service, zone string
	labels                   []string
	cpu, memMb               int64
	record                   *record

	mutex    sync.Mutex
	seq      int
	fence    uint64
	leaseEnd time.Time
	running  map[string]*taskRun
	// highest is the highest run of a task that was started, stopped or ended here.
	highest map[string]uint32
	ended   []endedRun
	ends    uint64
	// starts counts the runs that were begun, tooLarge the answers that were not taken for
	// their size.
	starts, tooLarge int
	largest          int

	wake chan struct{}
	quit chan struct{}
	done sync.WaitGroup
	// ending is done once the worker has been ended.
	ending sync.Once
}

func newWorker(id, agent, service, zone string, labels []string, record *record) *worker {
	return &worker{
		id: id, agent: agent, service: service, zone: zone, labels: labels, cpu: 64_000, memMb: 262_144, record: record,
		running: make(map[string]*taskRun), highest: make(map[string]uint32),
		wake: make(chan struct{}, 1), quit: make(chan struct{}),
	}
}

func (w *worker) start() {
	w.done.Go(w.beat)
	w.done.Go(w.work)
}

// endOnce ends the worker at once, unless it has ended; what runs on it dies.
func (w *worker) endOnce() { w.ending.Do(w.end) }

func (w *worker) end() {
	close(w.quit)
	w.done.Wait()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, run := range w.running {
		w.record.note("died", "worker", w.id, "task", run.task, "run", run.run)
	}
}

// work ends runs when their time has come, and all of them when the lease has ended.
func (w *worker) work() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.quit:
			return
		case now := <-ticker.C:
			w.advance(now)
		}
	}
}

func (w *worker) advance(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	lapsed := now.After(w.leaseEnd)
	for task, run := range w.running {
		switch {
		case lapsed:
			w.finish(task, "lapsed")
		case run.stopping && now.After(run.ends):
			w.finish(task, "stopped")
		case now.After(run.ends):
			w.finish(task, "done")
		}
	}
}

// finish ends a run and lists its end. The caller holds the mutex.
func (w *worker) finish(task, how string) {
	run := w.running[task]
	delete(w.running, task)
	w.list(task, run.run, how)
}

func (w *worker) list(task string, run uint32, how string) {
	w.ends++
	w.ended = append(w.ended, endedRun{number: w.ends, task: task, run: run, how: how})
	w.record.note("end", "worker", w.id, "task", task, "run", run, "how", how)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// beat sends heartbeats until the worker ends.
func (w *worker) beat() {
	for {
		pause := w.heartbeat()
		select {
		case <-w.quit:
			return
		case <-time.After(pause):
		case <-w.wake:
			select {
			case <-w.quit:
				return
			case <-time.After(pauseAfterEnd):
			}
		}
	}
}

func (w *worker) body() (body []byte, sentAt time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for _, run := range w.running {
		done := 100 * float64(now.Sub(run.started)) / float64(max(run.ends.Sub(run.started), time.Millisecond))
		running = append(running, []any{run.task, run.run, "", int(min(done, 99))})
	}
	for _, end := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, ""})
	}
	body, _ = json.Marshal(map[string]any{
		"service": w.service, "address": w.agent + "0", "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "capacity": map[string]any{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0}, "labels": w.labels,
		"nowMs": now.Sub(w.record.started).Milliseconds(), "callSeq": w.seq, "running": running, "ended": ended,
	})
	w.seq++
	return body, now
}

type beatAnswer struct {
	HoldMs   int64    `json:"holdMs"`
	LastSeen uint64   `json:"lastSeen"`
	Fence    uint64   `json:"fence"`
	Start    [][4]any `json:"start"`
	Stop     [][2]any `json:"stop"`
	RetryMs  int64    `json:"retryMs"`
}

// heartbeat sends one heartbeat and returns the pause before the next.
func (w *worker) heartbeat() time.Duration {
	body, sentAt := w.body()
	status, answer, complete := callFor("POST", "http://"+w.agent+"/-/Instances.Heartbeat/"+w.id, "", nil, body, answerTimeout, maxAnswerBytes)
	if status == 200 && !complete {
		w.mutex.Lock()
		w.tooLarge++
		w.mutex.Unlock()
		w.record.note("answer over 4 MiB", "worker", w.id)
		return 100 * time.Millisecond
	}
	var decoded beatAnswer
	if status != 200 || time.Since(sentAt) > answerTimeout || json.Unmarshal(answer, &decoded) != nil {
		w.record.note("beat not taken", "worker", w.id, "status", status)
		return 100 * time.Millisecond
	}
	w.take(decoded, sentAt, len(answer))
	return time.Duration(max(decoded.RetryMs, 1)) * time.Millisecond
}

func (w *worker) take(answer beatAnswer, sentAt time.Time, size int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if answer.Fence < w.fence {
		return
	}
	w.fence = answer.Fence
	w.largest = max(w.largest, size)
	if until := sentAt.Add(min(time.Duration(answer.HoldMs)*time.Millisecond, holdMax)); until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
	for len(w.ended) > 0 && w.ended[0].number <= answer.LastSeen {
		w.ended = w.ended[1:]
	}
	for _, order := range answer.Stop {
		w.stop(order[0].(string), uint32(order[1].(float64)))
	}
	for _, order := range answer.Start {
		w.begin(order[0].(string), uint32(order[1].(float64)), order[2].(string))
	}
}

func (w *worker) stop(task string, number uint32) {
	w.highest[task] = max(w.highest[task], number)
	run := w.running[task]
	if run == nil || run.run != number || run.stopping {
		return
	}
	run.stopping, run.ends = true, time.Now().Add(stopTime)
}

func (w *worker) begin(task string, number uint32, text string) {
	if number <= w.highest[task] || w.running[task] != nil || time.Now().After(w.leaseEnd) {
		w.list(task, number, "refused")
		return
	}
	w.highest[task] = number
	millis := int64(500)
	if found := workMillis.FindStringSubmatch(text); found != nil {
		millis, _ = strconv.ParseInt(found[1], 10, 64)
	}
	now := time.Now()
	w.running[task] = &taskRun{task: task, run: number, started: now, ends: now.Add(time.Duration(millis) * time.Millisecond)}
	w.starts++
	w.record.note("start", "worker", w.id, "task", task, "run", number)
}

// leave sends the notice that the worker leaves, until it is acknowledged or the time is over.
func (w *worker) leave(within time.Duration) (acknowledged bool) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, _ := call("POST", "http://"+w.agent+"/-/Instances.Leave/"+w.id, "", nil, nil, answerTimeout)
		w.record.note("leave", "worker", w.id, "status", status)
		if status >= 200 && status < 300 {
			return true
		}
	}
	return false
}

func (w *worker) counts() (running, starts, tooLarge, largest int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.running), w.starts, w.tooLarge, w.largest
}
