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
		t.Error("a claimed process was claimed again, or a free one was not claimed")
	}
	s.release([]*fleet.Process{one})
	if !s.claim([]*fleet.Process{one}) {
		t.Error("a released process was not claimed")
	}
}

func TestStorm_DiskReplacementExcludesSchedulerFaults(t *testing.T) {
	s := &storm{claimed: map[string]bool{}}
	nothing := func(context.Context) error { return nil }
	replace := withLock(s.schedulers.TryLock, s.schedulers.Unlock, nothing)
	kill := s.onSchedulers(nothing)
	first, second := kill(), kill()
	if first == nil || second == nil || replace() != nil {
		t.Fatal("two scheduler faults did not overlap, or a disk replacement was allowed beside them")
	}
	for _, do := range []func(context.Context) error{first, second} {
		if err := do(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	replacing := replace()
	if replacing == nil || kill() != nil {
		t.Fatal("a disk replacement was excluded, or a scheduler fault was allowed beside it")
	}
	if err := replacing(t.Context()); err != nil || kill() == nil {
		t.Fatal("the disk replacement failed, or scheduler faults are still excluded after it")
	}
}

func TestOneWay_ReturnsOneDirectionOfEachLink(t *testing.T) {
	links := append(netem.BothDirections("a", "b"), netem.BothDirections("a", "c")...)
	for parity := range 2 {
		oneDirection := oneWay(links, parity)
		if len(oneDirection) != 2 || (oneDirection[0].From == "a") != (parity == 0) || (oneDirection[1].From == "a") != (parity == 0) {
			t.Errorf("parity %d: got %v, want two links in one direction", parity, oneDirection)
		}
	}
}
