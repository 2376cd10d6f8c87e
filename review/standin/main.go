// Command standin plays the cases of the review that cannot be put as a day of the bench. Each
// case starts the project's own programs as separate processes with the commands of the deploy
// file, on loopback addresses, and plays the clients, the operator and the workers itself.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	cases := map[string]func(*record, bool) (bool, error){
		"late-beat":   lateBeat,
		"stale-order": staleOrder,
		"memory":      memory,
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, disruption: %v", os.Args[1], trouble)
	kept, err := play(record, trouble)
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(notRun)
	case kept:
		record.add("the rule held")
		fmt.Println("the rule held")
		os.Exit(held)
	default:
		record.add("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
}
