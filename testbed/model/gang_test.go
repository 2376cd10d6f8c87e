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

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 4 * time.Second

var errAlone = errors.New("waited for the other members")

// gangs synchronize the members of gangs: a member works only while all members of the
// same run are there.
type gangs struct {
	mutex sync.Mutex
	// arrived has, by step and run, a channel that is closed once all members
	// are there, and how many are.
	arrived map[string]*gang
	// alone are members that gave up waiting, mixed those that came while
	// another run of their gang was at work.
	alone, mixed []string
	// working has the run numbers at work by step.
	working map[string]map[uint32]int
}

type gang struct {
	members map[string]bool
	whole   chan struct{}
}

// join waits until all members of a run are there. The member calls leave when
// it ends.
func (g *gangs) join(ctx context.Context, run api.RunRef, size int) (leave func(), err error) {
	step := run.Task[:strings.LastIndex(run.Task, "/")]
	key := fmt.Sprintf("%s#%d", step, run.Run)
	one := g.arrive(step, key, run, size)
	leave = func() { g.leave(step, run.Run) }
	timer := time.NewTimer(gangTimeout)
	defer timer.Stop()
	select {
	case <-one.whole:
		return leave, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		g.mutex.Lock()
		g.alone = append(g.alone, fmt.Sprintf("%s run %d", run.Task, run.Run))
		g.mutex.Unlock()
		err = errAlone
	}
	leave()
	return nil, err
}

func (g *gangs) arrive(step, key string, run api.RunRef, size int) *gang {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.arrived == nil {
		g.arrived, g.working = map[string]*gang{}, map[string]map[uint32]int{}
	}
	one := g.arrived[key]
	if one == nil {
		one = &gang{members: map[string]bool{}, whole: make(chan struct{})}
		g.arrived[key] = one
	}
	one.members[run.Task] = true
	if len(one.members) == size {
		close(one.whole)
	}
	if g.working[step] == nil {
		g.working[step] = map[uint32]int{}
	}
	g.working[step][run.Run]++
	if len(g.working[step]) > 1 {
		g.mixed = append(g.mixed, fmt.Sprintf("%s run %d", run.Task, run.Run))
	}
	return one
}

func (g *gangs) leave(step string, run uint32) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.working[step][run]--
	if g.working[step][run] == 0 {
		delete(g.working[step], run)
	}
}
