package scheduler

import (
	"reflect"
	"testing"

	"github.com/decklever/decklever/internal/scheduler/calendar"
	"github.com/decklever/decklever/internal/scheduler/repeats"
)

// maxLeaderFields bounds the fields of leader: it composes components, and has no
// state of its own.
const maxLeaderFields = 14

// components are the types that own a part of the leader's state.
func components() []reflect.Type {
	return []reflect.Type{
		reflect.TypeFor[workerRegistry](), reflect.TypeFor[assignments](), reflect.TypeFor[pendingWork](),
		reflect.TypeFor[gangs](), reflect.TypeFor[calendar.Calendar](), reflect.TypeFor[admissionControl](),
		reflect.TypeFor[healthReview](), reflect.TypeFor[drains](), reflect.TypeFor[repeats.Jobs](),
		reflect.TypeFor[proposer](), reflect.TypeFor[settings](), reflect.TypeFor[jobWaiters](),
	}
}

func TestLeader_ComposesComponents(t *testing.T) {
	leaderType := reflect.TypeFor[leader]()
	if count := leaderType.NumField(); count > maxLeaderFields {
		t.Errorf("got %d fields of leader, want at most %d", count, maxLeaderFields)
	}
	owned := make(map[reflect.Type]int)
	for i := range leaderType.NumField() {
		owned[leaderType.Field(i).Type]++
	}
	for _, component := range components() {
		if owned[component] != 1 {
			t.Errorf("got %d fields of leader with type %s, want 1", owned[component], component)
		}
	}
}

func TestComponents_ShareNoState(t *testing.T) {
	forbidden := map[reflect.Type]bool{reflect.TypeFor[leader](): true, reflect.TypeFor[term](): true}
	for _, component := range components() {
		forbidden[component] = true
	}
	for _, component := range components() {
		t.Run(component.Name(), func(t *testing.T) {
			for _, reached := range reachable(component) {
				if reached != component && forbidden[reached] {
					t.Errorf("%s reaches the state of %s", component, reached)
				}
			}
		})
	}
}

// reachable lists the types of this package that can be reached from a type by its
// fields. It ends at interfaces: those are narrow by design.
func reachable(from reflect.Type) []reflect.Type {
	seen := make(map[reflect.Type]bool)
	var list []reflect.Type
	var visit func(reflect.Type)
	visit = func(t reflect.Type) {
		if seen[t] {
			return
		}
		seen[t] = true
		if t.PkgPath() == from.PkgPath() {
			list = append(list, t)
		}
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Chan:
			visit(t.Elem())
		case reflect.Map:
			visit(t.Key())
			visit(t.Elem())
		case reflect.Struct:
			for i := range t.NumField() {
				visit(t.Field(i).Type)
			}
		}
	}
	visit(from)
	return list
}
