// Package journal reads the journals in which workers write each actual start
// and end of a run, one JSON object a line. A journal is the checker's proof
// of what really ran; the product never reads it.
package journal
