// Package process makes a whole process of a daemon's parts: its logger, the
// watch of its settings, its health and its listeners. The packages below it
// are the daemons of the product; other programs may embed them and add
// listeners of their own.
package process
