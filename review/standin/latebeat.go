package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// lateBeat plays heartbeats that are late on their way while many processes are killed at one
// moment. Each worker sends a heartbeat while it runs nothing; the network holds it. The worker
// has no answer after a second and calls again; with that call some workers get a task. Then all
// schedulers and the agents of those workers, which are half of the agents, are killed at one
// moment and started again, and the held heartbeats come to their machines.
func lateBeat(record *record, trouble bool) (bool, error) {
	const workers, tasks = 8, 4
	f, err := newFleet(record, 3, 2, workers)
	if err != nil {
		return false, err
	}
	defer f.down()
	if err := f.up(); err != nil {
		return false, err
	}
	if err := f.putConfig(3); err != nil {
		return false, err
	}
	if err := f.ready(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all []*worker
	for index, agent := range f.agents {
		w := newWorker(record, agent, index, func(string) (time.Duration, int, int) { return 25 * time.Second, 14000, 1000 })
		all = append(all, w)
		go w.beats(ctx)
	}
	time.Sleep(4 * time.Second) // the workers are known, and the core has been stable
	for _, w := range all {
		w.mutex.Lock()
		if w.answers == 0 {
			w.mutex.Unlock()
			return false, fmt.Errorf("%s has never been answered", w.id)
		}
		w.holdNext = 2500 * time.Millisecond
		w.mutex.Unlock()
	}
	time.Sleep(600 * time.Millisecond) // each worker has sent the call that is late
	id := newID()
	if !f.submit(prefix, id, job{Spec: "read the packs", Steps: []step{{Count: tasks, CPU: 14000, MemMb: 1000, EstimateMs: 25000, AntiAffinity: 1}}}, 5*time.Second) {
		return false, fmt.Errorf("the job was not accepted")
	}
	started := func() bool {
		count := 0
		for _, w := range all {
			count += len(w.runs())
		}
		return count == tasks
	}
	if !waitFor(6*time.Second, started) {
		return false, fmt.Errorf("the tasks did not start")
	}
	if trouble {
		victims := slices.Clone(f.schedulers)
		for index, w := range all {
			if len(w.runs()) == 0 {
				continue
			}
			agent := f.agents[index]
			victims = append(victims, agent)
			w.mutex.Lock()
			w.deliverWhen = func() bool { return listens(agent.outside) }
			w.mutex.Unlock()
		}
		killAll(victims)
		record.add("killed at one moment: all 3 schedulers, %d of %d agents", len(victims)-len(f.schedulers), workers)
		time.Sleep(300 * time.Millisecond)
		if err := startAll(f, f.schedulers); err != nil {
			return false, err
		}
		record.add("the schedulers are started again")
		time.Sleep(1700 * time.Millisecond)
		if err := startAll(f, victims[len(f.schedulers):]); err != nil {
			return false, err
		}
		record.add("the agents are started again, 2 s after they were killed")
	}
	time.Sleep(14 * time.Second)
	cancel()
	return judgeTwice(record, id, all), nil
}

func startAll(f *fleet, machines []*machine) error {
	for _, m := range machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// judgeTwice reports whether no two runs of one task of the job went at the same time. All
// workers were up all the time.
func judgeTwice(record *record, id string, all []*worker) bool {
	var runs []run
	for _, w := range all {
		runs = append(runs, w.runs()...)
	}
	kept := true
	now := time.Now()
	for i, first := range runs {
		for _, second := range runs[i+1:] {
			if first.task != second.task || !strings.HasPrefix(first.task, id) {
				continue
			}
			begin, end := first.started, first.ended
			if second.started.After(begin) {
				begin = second.started
			}
			for _, other := range []time.Time{first.ended, second.ended} {
				if other.IsZero() {
					other = now
				}
				if end.IsZero() || other.Before(end) {
					end = other
				}
			}
			if together := end.Sub(begin); together > 0 {
				kept = false
				record.add("TWICE: %s went as run %d on %s and as run %d on %s for %d ms",
					first.task, first.number, first.worker, second.number, second.worker, together.Milliseconds())
			}
		}
	}
	return kept
}
