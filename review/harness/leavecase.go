package main

import (
	"sync"
	"time"
)

const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// killAfter is the time from the acknowledgement of the notice to the kill, restartAfter
	// that from the kill to the start.
	killAfter    = 500 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	// staysOn is how long the worker serves on after the acknowledgement: drainMs and some
	// seconds.
	staysOn = 9 * time.Second
	// slack keeps the check off the edge of its bounds.
	slack = 300 * time.Millisecond
)

// leaveCase lets one worker send its notice that it leaves, serve on for 9 s and end. It
// never says that it drains. Half a second after the notice was acknowledged, the processes
// of two machines are killed at the same moment and started again: of the edge machine whose
// scheduler leads, and of the worker's own side machine. From drainMs after the
// acknowledgement on, and not before all machines are in touch again, no task may be started
// on that worker.
func leaveCase(f *fleet, trouble bool) (int, error) {
	workers, err := f.boot()
	defer endAll(workers)
	if err != nil {
		return notPlayed, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { f.keepSubmitting(stop) })
	defer load.Wait()
	defer close(stop)
	time.Sleep(4 * time.Second)

	leaving := workers[4]
	_, before, _, _ := leaving.counts()
	f.record.say("worker %s has started %d runs; it sends its notice", leaving.id, before)
	if before == 0 || !leaving.leave(10*time.Second) {
		f.record.say("the worker got no work, or its notice was not acknowledged")
		return notPlayed, nil
	}
	acknowledged := time.Now()
	f.record.say("the notice is acknowledged")
	inTouch := acknowledged
	if trouble {
		time.Sleep(killAfter)
		leader := f.leader()
		if leader == nil {
			f.record.say("no leader is known")
			return notPlayed, nil
		}
		inTouch, err = f.killTogether(leader, f.frontOf(leader), f.agents[4])
		if err != nil {
			return notPlayed, err
		}
	}
	judgedFrom := acknowledged.Add(drainTime + slack)
	if inTouch = inTouch.Add(contactTime + slack); trouble && inTouch.After(judgedFrom) {
		judgedFrom = inTouch
	}
	time.Sleep(time.Until(judgedFrom))
	_, started, _, _ := leaving.counts()
	time.Sleep(time.Until(acknowledged.Add(staysOn)))
	_, after, _, _ := leaving.counts()
	running := len(leaving.running)
	leaving.endOnce()
	f.record.say("worker %s ended %.1f s after the acknowledgement; runs that it was told to start from %.1f s on: %d; runs that died with it: %d",
		leaving.id, staysOn.Seconds(), judgedFrom.Sub(acknowledged).Seconds(), after-started, running)
	if after > started {
		return broken, nil
	}
	return held, nil
}

// killTogether kills processes at the same moment and starts them again. It returns the time
// at which all run again.
func (f *fleet) killTogether(processes ...*process) (time.Time, error) {
	var killing sync.WaitGroup
	for _, p := range processes {
		killing.Go(func() { f.kill(p) })
	}
	killing.Wait()
	f.record.say("killed %d processes of two machines", len(processes))
	time.Sleep(restartAfter)
	for _, p := range processes {
		if err := p.forgetBootstrap(); err != nil {
			return time.Time{}, err
		}
		if err := f.start(p); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

// frontOf returns the front on the machine of a scheduler.
func (f *fleet) frontOf(scheduler *process) *process {
	for i, p := range f.schedulers {
		if p == scheduler {
			return f.fronts[i]
		}
	}
	return nil
}

// keepSubmitting hands in a job each 0.2 s. Each has a task for every worker: no worker takes
// more than one task of it at a time.
func (f *fleet) keepSubmitting(stop <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
			calls.Go(func() {
				f.submit(newID(), text(640, 150, "reading "), []step{{Count: workerCount, CPU: 960, MemMb: 512, EstimateMs: 640, AntiAffinity: 1}})
			})
		}
	}
}
