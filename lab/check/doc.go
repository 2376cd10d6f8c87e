// Package check holds the lab's checker: pure functions that compare what
// callers were told (the ledger) with what workers really ran (the journals)
// and report each broken promise of docs/DESIGN.md. It trusts nothing that the
// product says about itself.
package check
