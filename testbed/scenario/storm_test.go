package scenario

import (
	"context"
	"testing"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/netem"
)

func TestStorm_ProcessHasOneFaultAtATime(t *testing.T) {
	s := &storm{claimed: map[string]bool{}}
	one := &fleet.Process{Spec: deployment.Process{Name: "one"}}
	two := &fleet.Process{Spec: deployment.Process{Name: "two"}}
	if !s.claim([]*fleet.Process{one}) || s.claim([]*fleet.Process{two, one}) || !s.claim([]*fleet.Process{two}) {
		t.Error("a process in hand was taken, or a free one was not")
	}
	s.release([]*fleet.Process{one})
	if !s.claim([]*fleet.Process{one}) {
		t.Error("a released process was not taken")
	}
}

func TestStorm_DiskReplacementExcludesSchedulerFaults(t *testing.T) {
	s := &storm{claimed: map[string]bool{}}
	nothing := func(context.Context) error { return nil }
	replace := locked(s.schedulers.TryLock, s.schedulers.Unlock, nothing)
	kill := s.onSchedulers(nothing)
	first, second := kill(), kill()
	if first == nil || second == nil || replace() != nil {
		t.Fatal("two faults of schedulers do not overlap, or a disk is replaced beside them")
	}
	for _, do := range []func(context.Context) error{first, second} {
		if err := do(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	replacing := replace()
	if replacing == nil || kill() != nil {
		t.Fatal("a disk is not replaced, or a fault of schedulers comes beside it")
	}
	if err := replacing(t.Context()); err != nil || kill() == nil {
		t.Fatal("the schedulers are not free again")
	}
}

func TestOneWay_KeepsOneDirectionOfEachLink(t *testing.T) {
	links := append(netem.BothDirections("a", "b"), netem.BothDirections("a", "c")...)
	for parity := range 2 {
		oneDirection := oneWay(links, parity)
		if len(oneDirection) != 2 || (oneDirection[0].From == "a") != (parity == 0) || (oneDirection[1].From == "a") != (parity == 0) {
			t.Errorf("parity %d keeps %v", parity, oneDirection)
		}
	}
}
