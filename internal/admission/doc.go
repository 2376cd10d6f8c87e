// Package admission decides what is taken in when not all can be: how a bound is
// shared so that a flood of one part leaves room to the others (Free, CallerFree,
// Tokens), and how long newcomers of a queue will wait (Flow, Gate). It is pure:
// time is an argument. docs/notes/admission.md weighs the ways.
package admission
