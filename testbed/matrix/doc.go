// Package matrix runs every chosen scenario on every chosen deployment with
// every chosen seed, and puts what came of it into one JSON document and one
// table.
package matrix
