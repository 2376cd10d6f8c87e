package model

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
)

// gangTimeout is the time that a member of a gang waits for the other members.
const gangTimeout = 4 * time.Second

var errGangIncomplete = errors.New("waited for the other members")

// gangs synchronizes the members of gangs: a member begins its work only once all members
// of the same run have arrived. mutex guards all fields.
type gangs struct {
	mutex sync.Mutex
	// arrived contains the gang of each step and run, by "step#run".
	arrived map[string]*gang
	// timedOut lists the members that gave up waiting, overlapping those that arrived while
	// another run of their gang was active.
	timedOut, overlapping []string
	// active counts the active members by step and run number.
	active map[string]map[uint32]int
}

// gang is the set of members of one run that have arrived; complete is closed once all
// have.
type gang struct {
	members  map[string]bool
	complete chan struct{}
}

// join waits until all members of a run have arrived. On success the member must
// call leave when it ends. join returns an error if ctx ends or gangTimeout passes first.
func (g *gangs) join(ctx context.Context, run api.RunRef, size int) (leave func(), err error) {
	step := run.Task[:strings.LastIndex(run.Task, "/")]
	key := fmt.Sprintf("%s#%d", step, run.Run)
	one := g.arrive(step, key, run, size)
	leave = func() { g.leave(step, run.Run) }
	timer := time.NewTimer(gangTimeout)
	defer timer.Stop()
	select {
	case <-one.complete:
		return leave, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		g.mutex.Lock()
		g.timedOut = append(g.timedOut, fmt.Sprintf("%s run %d", run.Task, run.Run))
		g.mutex.Unlock()
		err = errGangIncomplete
	}
	leave()
	return nil, err
}

func (g *gangs) arrive(step, key string, run api.RunRef, size int) *gang {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.arrived == nil {
		g.arrived, g.active = map[string]*gang{}, map[string]map[uint32]int{}
	}
	one := g.arrived[key]
	if one == nil {
		one = &gang{members: map[string]bool{}, complete: make(chan struct{})}
		g.arrived[key] = one
	}
	one.members[run.Task] = true
	if len(one.members) == size {
		close(one.complete)
	}
	if g.active[step] == nil {
		g.active[step] = map[uint32]int{}
	}
	g.active[step][run.Run]++
	if len(g.active[step]) > 1 {
		g.overlapping = append(g.overlapping, fmt.Sprintf("%s run %d", run.Task, run.Run))
	}
	return one
}

func (g *gangs) leave(step string, run uint32) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.active[step][run]--
	if g.active[step][run] == 0 {
		delete(g.active[step], run)
	}
}
