package scenario

import (
	"context"
	"testing"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/netem"
)

func TestNoTwoFaultsHaveTheSameProcessInHand(t *testing.T) {
	s := &storm{taken: map[string]bool{}}
	one := &fleet.Process{Spec: deployment.Process{Name: "one"}}
	two := &fleet.Process{Spec: deployment.Process{Name: "two"}}
	if !s.take([]*fleet.Process{one}) || s.take([]*fleet.Process{two, one}) || !s.take([]*fleet.Process{two}) {
		t.Error("a process in hand was taken, or a free one was not")
	}
	s.release([]*fleet.Process{one})
	if !s.take([]*fleet.Process{one}) {
		t.Error("a released process was not taken")
	}
}

func TestNothingElseHitsTheSchedulersWhileADiskIsReplaced(t *testing.T) {
	s := &storm{taken: map[string]bool{}}
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

func TestOneWayKeepsEachLinkInOneDirection(t *testing.T) {
	links := append(netem.Both("a", "b"), netem.Both("a", "c")...)
	for parity := range 2 {
		kept := oneWay(links, parity)
		if len(kept) != 2 || (kept[0].From == "a") != (parity == 0) || (kept[1].From == "a") != (parity == 0) {
			t.Errorf("parity %d keeps %v", parity, kept)
		}
	}
}
