// Package matrix runs every chosen scenario on every chosen deployment with
// every chosen seed, and writes the outcomes as one JSON document and one
// Markdown table.
package matrix
