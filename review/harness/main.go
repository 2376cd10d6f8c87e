// Command harness runs one case of the review: it starts the product's programs as processes,
// plays workers, clients and the operator as the users' pages describe them, and checks one
// rule from outside. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

const (
	held       = 0
	broken     = 1
	notPlayed  = 2
	usageLines = "usage: harness CASE REPOSITORY RECORD"
)

// cases maps a name to a case. Its second argument is false if it is to be played without its
// disruption.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"leave":  leaveCase,
	"answer": answerCase,
	"status": statusCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageLines)
		return notPlayed
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	f, err := newFleet(os.Args[2], dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer f.stopAll()
	trouble := os.Getenv("TROUBLE") != "0"
	result, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		record.say("the case could not run: %v", err)
		return notPlayed
	}
	record.say("result: %s", map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN"}[result])
	return result
}

// boot starts the fleet with the first configuration and one worker on each side machine.
func (f *fleet) boot() ([]*worker, error) {
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var workers []*worker
	for i, agent := range f.agentControl {
		kind := []string{"a", "a", "b"}[i%3]
		w := newWorker(fmt.Sprintf("i-%08x", 0x7f3a0000+i), agent, service, zones[i%len(zones)], []string{kind, fmt.Sprintf("r1-%d", i/3)}, f.record)
		workers = append(workers, w)
		w.start()
	}
	if err := f.putConfig(0, 5, 15e9); err != nil {
		return workers, err
	}
	return workers, f.awaitReady(15e9)
}
