package api

import (
	"fmt"
	"slices"
	"strings"
)

// visitState is the state of a step in the depth-first search.
type visitState uint8

const (
	unvisited visitState = iota
	onPath
	visited
)

// cycleSearch finds cycles between steps by depth-first search: an edge to a step
// on the current path closes a cycle.
type cycleSearch struct {
	validator *jobValidator
	states    []visitState
	path      []int
}

// checkCycles records each cycle at the After entry that closes it. Entries that
// name the step itself or an unknown step are recorded by checkAfter.
func (c *jobValidator) checkCycles() {
	search := cycleSearch{validator: c, states: make([]visitState, len(c.spec.Steps))}
	for index := range c.spec.Steps {
		if search.states[index] == unvisited {
			search.visit(index)
		}
	}
}

// visit searches all steps that can be reached over the After list of a step.
func (s *cycleSearch) visit(index int) {
	s.states[index] = onPath
	s.path = append(s.path, index)
	for number, name := range s.validator.spec.Steps[index].After {
		next, known := s.validator.stepIndex[name]
		if !known || next == index {
			continue
		}
		switch s.states[next] {
		case unvisited:
			s.visit(next)
		case onPath:
			s.addCycle(index, number, next)
		}
	}
	s.path = s.path[:len(s.path)-1]
	s.states[index] = visited
}

// addCycle records the cycle that entry number of the After list of step index
// closes. The cycle begins at step first, which is on the current path.
func (s *cycleSearch) addCycle(index, number, first int) {
	start := slices.Index(s.path, first)
	names := make([]string, 0, len(s.path)-start+1)
	for _, step := range s.path[start:] {
		names = append(names, s.validator.spec.Steps[step].Name)
	}
	names = append(names, s.validator.spec.Steps[first].Name)
	s.validator.errors.add(fmt.Sprintf("steps[%d].after[%d]", index, number),
		strings.Join(names, " after "), "no cycle between steps")
}
