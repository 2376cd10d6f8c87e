package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"
)

const (
	// evacuateMs and contactMs are those of a small deployment.
	evacuateMs = 5 * time.Second
	contactMs  = 3 * time.Second
	// outerMs is left aside as well, in favour of the system.
	outerMs = 5 * time.Second
)

// order sends an order without a body as the operator does: it moves to another node after a
// failure, a 5xx, or one second of silence, with a growing pause, for at most ackMs. It returns
// whether the order was acknowledged.
func (f *fleet) order(path string, nodes []*machine) bool {
	begin := time.Now()
	for try := 0; time.Since(begin) < 4*time.Second; try++ {
		node := nodes[try%len(nodes)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.outside+path, nil)
		if err != nil {
			cancel()
			return false
		}
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if errors.Is(err, context.DeadlineExceeded) {
			f.record.add("operator: POST %s at %s -> silence for a second", path, node.name)
			cancel()
			continue
		}
		if err != nil {
			f.record.add("operator: POST %s at %s -> %v", path, node.name, err)
		} else {
			f.record.add("operator: POST %s at %s -> %d", path, node.name, response.StatusCode)
			_ = response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode/100 == 2 {
			return true
		}
		time.Sleep(time.Duration(try+1) * 50 * time.Millisecond)
	}
	return false
}

// pick returns the leader, or a scheduler that does not lead, and the other schedulers.
func (f *fleet) pick(leader bool) (picked *machine, others []*machine, err error) {
	response, err := f.operator.Get("http://" + f.fronts[0].internal + "/v1/members")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Members []struct {
			Address string `json:"address"`
			Leader  bool   `json:"leader"`
		} `json:"members"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, nil, err
	}
	for _, m := range f.schedulers {
		leads := slices.ContainsFunc(list.Members, func(member struct {
			Address string `json:"address"`
			Leader  bool   `json:"leader"`
		},
		) bool {
			return member.Address == m.internal && member.Leader
		})
		if leads == leader && picked == nil {
			picked = m
			continue
		}
		others = append(others, m)
	}
	if picked == nil {
		return nil, nil, errors.New("no leader is known")
	}
	return picked, others, nil
}

// staleOrder freezes one machine that serves control while the operator takes a zone back. The
// operator has no answer from it, and another machine acknowledges the same order. Then the zone
// is evacuated again, which is acknowledged, and the frozen machine wakes.
func staleOrder(record *record, trouble bool) (bool, error) {
	const zone = "jamundi"
	f, err := newFleet(record, 3, 2, 6)
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
		w := newWorker(record, agent, index, func(string) (time.Duration, int, int) { return 640 * time.Millisecond, 480, 490 })
		w.quiet = true
		all = append(all, w)
		go w.beats(ctx)
	}
	time.Sleep(4 * time.Second)
	go func() {
		for ctx.Err() == nil {
			f.submit(prefix, newID(), job{Spec: "swap one pack", Steps: []step{{Count: 6, CPU: 480, MemMb: 490, EstimateMs: 640, AntiAffinity: 1}}}, 3*time.Second)
			time.Sleep(300 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	frozen, others, err := f.pick(os.Getenv("FREEZE") == "leader")
	if err != nil {
		return false, err
	}
	if !f.order("/-/Evacuations.Start/"+zone, others) {
		return false, fmt.Errorf("the first evacuation was not acknowledged")
	}
	time.Sleep(3 * time.Second)
	frozenAt := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		record.add("%s is frozen", frozen.name)
	}
	time.Sleep(300 * time.Millisecond)
	if !f.order("/-/Evacuations.End/"+zone, []*machine{frozen, others[0], others[1]}) {
		return false, fmt.Errorf("the end of the first evacuation was not acknowledged")
	}
	time.Sleep(1500 * time.Millisecond)
	if !f.order("/-/Evacuations.Start/"+zone, others) {
		return false, fmt.Errorf("the second evacuation was not acknowledged")
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(frozenAt.Add(4 * time.Second)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
		record.add("%s wakes, %.1f s after it was frozen", frozen.name, time.Since(frozenAt).Seconds())
	}
	woken := time.Now()
	time.Sleep(20 * time.Second)
	cancel()
	from := acknowledged.Add(evacuateMs + outerMs)
	if stable := woken.Add(contactMs); stable.After(from) {
		from = stable
	}
	kept, started, elsewhere := true, 0, 0
	for _, w := range all {
		for _, r := range w.runs() {
			switch {
			case r.started.Before(from):
			case w.zone != zone:
				elsewhere++
			default:
				kept = false
				if started++; started <= 5 {
					record.add("EVAC: %s in the evacuated zone %s started %s run %d %.1f s after the evacuation was acknowledged", w.id, w.zone, r.task, r.number, r.started.Sub(acknowledged).Seconds())
				}
			}
		}
	}
	record.add("from %.1f s after the acknowledgement on: %d starts in %s, %d elsewhere", from.Sub(acknowledged).Seconds(), started, zone, elsewhere)
	if elsewhere == 0 {
		return false, fmt.Errorf("nothing ran elsewhere either")
	}
	return kept, nil
}
