package api

import (
	"fmt"
	"slices"
	"strings"
)

// visitMark is where the depth-first search is with a step.
type visitMark uint8

const (
	unvisited visitMark = iota
	onPath
	visited
)

// cycleSearch looks for cycles between steps by depth-first search: an edge
// back to a step on the current path closes a cycle.
type cycleSearch struct {
	check *jobCheck
	marks []visitMark
	path  []int
}

// cycles notes each cycle found at the step that closes it. Steps that wait
// for themselves or for unknown ones are noted elsewhere.
func (c *jobCheck) cycles() {
	search := cycleSearch{check: c, marks: make([]visitMark, len(c.spec.Steps))}
	for index := range c.spec.Steps {
		if search.marks[index] == unvisited {
			search.visit(index)
		}
	}
}

// visit follows the After lists from one step.
func (s *cycleSearch) visit(index int) {
	s.marks[index] = onPath
	s.path = append(s.path, index)
	for number, name := range s.check.spec.Steps[index].After {
		next, known := s.check.steps[name]
		if !known || next == index {
			continue
		}
		switch s.marks[next] {
		case unvisited:
			s.visit(next)
		case onPath:
			s.note(index, number, next)
		}
	}
	s.path = s.path[:len(s.path)-1]
	s.marks[index] = visited
}

// note names the cycle that step index closes by waiting for step first.
func (s *cycleSearch) note(index, number, first int) {
	start := slices.Index(s.path, first)
	names := make([]string, 0, len(s.path)-start+1)
	for _, step := range s.path[start:] {
		names = append(names, s.check.spec.Steps[step].Name)
	}
	names = append(names, s.check.spec.Steps[first].Name)
	s.check.errors.add(fmt.Sprintf("steps[%d].after[%d]", index, number),
		strings.Join(names, " after "), "no cycle between steps")
}
