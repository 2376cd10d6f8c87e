package replica

import (
	"context"
	"testing"
	"time"
)

// handOverBound is far more than any hand-over takes that does not wait in vain.
const handOverBound = 10 * time.Second

// wantHandOverEnds: it gives up by itself, and not since its time is over.
func wantHandOverEnds(t *testing.T, m *machine) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), handOverBound)
	defer cancel()
	m.replica.HandOver(ctx)
	if ctx.Err() != nil {
		t.Errorf("%s waited for %v until another leads, though none can", m.name, handOverBound)
	}
}

// TestHandOverWithNobodyLeft: where all stop at once, the last leader has nobody
// to hand over to, and must leave the time of its stop to the rest of it.
func TestHandOverWithNobodyLeft(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range others(machines, leader) {
		m.crash()
	}
	wantHandOverEnds(t, leader)
}

// TestHandOverWithTooFewLeft: one that is left is no majority with the one that
// stops, of five.
func TestHandOverWithTooFewLeft(t *testing.T) {
	machines := newMachines(t, 5)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range others(machines, leader)[1:] {
		m.crash()
	}
	wantHandOverEnds(t, leader)
}

// TestSeatIsNotOfferedToNobody: a follower that stops has nobody to give its seat
// to one that stood by, as all others have stopped.
func TestSeatIsNotOfferedToNobody(t *testing.T) {
	seeds, fourth := newFour(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	fourth.start()
	left := others(seeds, leader)[0]
	eventually(t, "the fourth stands by", func() bool { return standsBy(left, fourth) })
	for _, m := range append(others(seeds, left), fourth) {
		m.crash()
	}
	wantHandOverEnds(t, left)
}

// TestHandOverWithOneLeft: one that is left of three leads, with the vote of the
// one that stops.
func TestHandOverWithOneLeft(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	rest := others(machines, leader)
	rest[0].crash()
	register(t, "after", leader) // so that the one left holds more, and is chosen
	wantHandOverEnds(t, leader)
	if next := leaderOf(t, leader, rest[1]); next != rest[1] {
		t.Errorf("%s leads, want %s", next.name, rest[1].name)
	}
}
