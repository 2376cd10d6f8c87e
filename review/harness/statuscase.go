package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// jobPause is the pause between two jobs: a deployment's 14.9 requests a second. In a burst
	// 2.6 times as many come, for 4 s of each 8 s.
	jobPause    = 67 * time.Millisecond
	burstTenths = 26
	burstTime   = 4 * time.Second
	// trafficTime is how long jobs come.
	trafficTime = 84 * time.Second
	// largeEvery is the place of a large job among the others, a share of 0.045 of all jobs. Its
	// client cancels it once it was accepted.
	largeEvery = 22
	largeCount = 2000
	// askTime is how long the small jobs of the first seconds are asked for after the traffic.
	askTime = 20 * time.Second
	// statusTime is `status_s`.
	statusTime = 120 * time.Second
	// firstJobs is the number of small jobs that are asked for.
	firstJobs = 60
	// memoryLimit is `memoryMb` of a machine that serves control.
	memoryLimit = 284
)

// statusCase hands in 14.9 jobs a second, and more in bursts. One in 22 is a large job of five
// steps of 2,000 tasks, which its client cancels. Then it asks for small jobs that succeeded in the first
// seconds and that nobody cancelled: status_s after its end a job must still be known.
func statusCase(f *fleet, trouble bool) (int, error) {
	workers, err := f.boot()
	defer endAll(workers)
	if err != nil {
		return notPlayed, err
	}
	time.Sleep(time.Second)
	stop, watched := make(chan struct{}), make(chan struct{})
	var peaks []int
	var kills int
	go func() {
		defer close(watched)
		peaks, kills = f.watchMemory(stop)
	}()
	first := f.playTraffic(trouble)
	if len(first) == 0 {
		return notPlayed, fmt.Errorf("none of the first small jobs succeeded")
	}
	close(stop)
	<-watched
	f.record.say("the traffic is over; %d small jobs of the first seconds were shown as succeeded; highest memory of the schedulers: %v MB of %d, killed for it: %d",
		len(first), peaks, memoryLimit, kills)
	for end := time.Now().Add(askTime); time.Now().Before(end); time.Sleep(2 * time.Second) {
		for id, accepted := range first {
			if _, status := f.state(id); status == http.StatusGone && time.Since(accepted) < statusTime {
				f.record.say("job %s, shown as succeeded before, is answered 410 %.1f s after its acceptance", id, time.Since(accepted).Seconds())
				return broken, nil
			}
		}
	}
	f.record.say("all of them are known %.1f s after the first was accepted", time.Since(earliest(first)).Seconds())
	return held, nil
}

// playTraffic hands the jobs in and returns the first small ones that were shown as
// succeeded, with the time of their acceptance.
func (f *fleet) playTraffic(trouble bool) map[string]time.Time {
	var calls sync.WaitGroup
	var mutex sync.Mutex
	succeeded := make(map[string]time.Time)
	large, small := 0, 0
	for started, number := time.Now(), 1; time.Since(started) < trafficTime; number++ {
		id := newID()
		if trouble && number%largeEvery == 0 {
			large++
			calls.Go(func() {
				steps := make([]step, largestSteps)
				for i := range steps {
					steps[i] = step{Count: largeCount, CPU: 1000, MemMb: 512, EstimateMs: 4000}
				}
				if f.submit(id, text(4000, 200, "reading "), steps) == http.StatusOK {
					f.cancel(id)
				}
			})
		} else {
			small++
			watched := small <= firstJobs
			calls.Go(func() {
				if f.submit(id, text(200, 200, "reading "), []step{{Count: 4, CPU: 500, MemMb: 512, EstimateMs: 200}}) != http.StatusOK || !watched {
					return
				}
				accepted := time.Now()
				for range 40 {
					time.Sleep(500 * time.Millisecond)
					if state, _ := f.state(id); state == "succeeded" {
						mutex.Lock()
						succeeded[id] = accepted
						mutex.Unlock()
						return
					}
				}
			})
		}
		pause := jobPause
		if trouble && time.Since(started)%(2*burstTime) < burstTime {
			pause = jobPause * 10 / burstTenths
		}
		time.Sleep(pause)
	}
	calls.Wait()
	f.record.say("%d small and %d large jobs were handed in", small, large)
	return succeeded
}

// cancel cancels a job, with up to 4 retries.
func (f *fleet) cancel(id string) {
	for attempt := range 5 {
		status, _ := call("DELETE", "http://"+f.frontJobs[attempt]+jobPrefix+id, jobHost, map[string]string{"Deadline-Ms": fmt.Sprint(waitMillis)}, nil, waitMillis*time.Millisecond)
		f.record.note("cancel", "id", id, "status", status)
		if status == http.StatusOK || status == http.StatusGone {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// watchMemory plays the platform's limit of memory until stop is closed: a scheduler whose
// anonymous memory is over it is killed, and started again after a short delay. It returns the
// highest memory of each, in MB, and the number of kills.
func (f *fleet) watchMemory(stop <-chan struct{}) (peaks []int, kills int) {
	peaks = make([]int, len(f.schedulers))
	for {
		for i, p := range f.schedulers {
			used := p.anonymousMemory()
			peaks[i] = max(peaks[i], used)
			if used <= memoryLimit {
				continue
			}
			kills++
			f.kill(p)
			time.Sleep(restartAfter)
			if p.forgetBootstrap() != nil || f.start(p) != nil {
				return peaks, kills
			}
		}
		select {
		case <-stop:
			return peaks, kills
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// anonymousMemory returns the memory of a process without mapped files, in MB.
func (p *process) anonymousMemory() int {
	p.mutex.Lock()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	p.mutex.Unlock()
	kilobytes := 0
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			_, _ = fmt.Sscan(value, &kilobytes)
		}
	}
	return kilobytes / 1024
}

func earliest(times map[string]time.Time) time.Time {
	first := time.Now()
	for _, at := range times {
		if at.Before(first) {
			first = at
		}
	}
	return first
}
