package raft

import (
	"fmt"
	"testing"
	"time"
)

// testNode is a Node whose owner persists and applies immediately.
type testNode struct {
	*Node
	t       *testing.T
	applied []Entry
	reads   []ReadState
}

func testMember(id ReplicaID) Member { return Member{ID: id, Name: "machine-" + string(id)} }

func testMembership(ids ...ReplicaID) Membership {
	var membership Membership
	for _, id := range ids {
		membership.Voters = append(membership.Voters, testMember(id))
	}
	return membership
}

func initialState(ids ...ReplicaID) RestoredState {
	return RestoredState{Snapshot: SnapshotMeta{Index: 1, Term: 1, Membership: testMembership(ids...)}}
}

func newTestNode(t *testing.T, config Config, restored RestoredState) *testNode {
	t.Helper()
	node, err := New(config, restored)
	if err != nil {
		t.Fatal(err)
	}
	return &testNode{Node: node, t: t}
}

// processReady does the work of each Ready until there is none, and returns the
// messages.
func (n *testNode) processReady() []Message {
	var messages []Message
	for n.HasReady() {
		ready := n.Ready()
		messages = append(append(messages, ready.EarlyMessages...), ready.Messages...)
		n.applied = append(n.applied, ready.Committed...)
		n.reads = append(n.reads, ready.ReadStates...)
		n.Advance(ready)
	}
	return messages
}

// step delivers a message that the node must accept, and then does the work of
// Ready.
func (n *testNode) step(now time.Duration, message Message) []Message {
	n.t.Helper()
	message.To = n.config.ID
	if err := n.Step(now, message); err != nil {
		n.t.Fatalf("step %+v: %v", message, err)
	}
	return n.processReady()
}

// requireOneMessage returns the only message of a kind, and fails the test if there
// is not exactly one.
func requireOneMessage(t *testing.T, messages []Message, kind MessageKind) Message {
	t.Helper()
	found := messagesOfKind(messages, kind)
	if len(found) != 1 {
		t.Fatalf("got %d messages of kind %d in %+v, want 1", len(found), kind, messages)
	}
	return found[0]
}

func messagesOfKind(messages []Message, kind MessageKind) []Message {
	var found []Message
	for _, message := range messages {
		if message.Kind == kind {
			found = append(found, message)
		}
	}
	return found
}

// testCluster delivers every message immediately unless the filter drop discards it.
type testCluster struct {
	t     testing.TB
	now   time.Duration
	nodes []*testNode
	drop  func(Message) bool
}

func newTestCluster(t *testing.T, ids ...ReplicaID) *testCluster {
	t.Helper()
	c := &testCluster{t: t, drop: func(Message) bool { return false }}
	for _, id := range ids {
		c.nodes = append(c.nodes, newTestNode(t, Config{ID: id}, initialState(ids...)))
	}
	return c
}

func (c *testCluster) node(id ReplicaID) *testNode {
	for _, node := range c.nodes {
		if node.config.ID == id {
			return node
		}
	}
	return nil
}

// deliverAll delivers messages until none is in flight.
func (c *testCluster) deliverAll() {
	c.t.Helper()
	for range 1000 {
		var messages []Message
		for _, node := range c.nodes {
			messages = append(messages, node.processReady()...)
		}
		if len(messages) == 0 {
			return
		}
		for _, message := range messages {
			to := c.node(message.To)
			if to == nil || c.drop(message) {
				continue
			}
			if err := to.Step(c.now, message); err != nil {
				c.t.Fatalf("step %+v: %v", message, err)
			}
		}
	}
	c.t.Fatal("messages are still in flight after 1000 rounds of delivery")
}

// advance moves the time forward by duration, tick by tick.
func (c *testCluster) advance(duration time.Duration) {
	c.t.Helper()
	for end := c.now + duration; c.now < end; {
		c.now += DefaultTickInterval
		for _, node := range c.nodes {
			node.Tick(c.now)
		}
		c.deliverAll()
	}
}

// elect makes a replica leader, by letting only its election timeout expire.
func (c *testCluster) elect(id ReplicaID) *testNode {
	c.t.Helper()
	node := c.node(id)
	c.now += 2 * DefaultElectionTimeoutMax
	node.Tick(c.now - DefaultElectionTimeoutMax)
	node.processReady()
	node.Tick(c.now)
	c.deliverAll()
	c.advance(2 * DefaultTickInterval)
	if status := node.Status(); status.Role != RoleLeader || !status.TermReady {
		c.t.Fatalf("replica %s did not become leader: %+v", id, status)
	}
	return node
}

func (c *testCluster) propose(node *testNode, count int) {
	c.t.Helper()
	for i := range count {
		if _, _, err := node.Propose(c.now, [][]byte{fmt.Appendf(nil, "command-%d", i)}); err != nil {
			c.t.Fatal(err)
		}
	}
	c.deliverAll()
}

// isolate partitions a replica from all others.
func (c *testCluster) isolate(id ReplicaID) {
	c.drop = func(message Message) bool { return message.To == id || message.From == id }
}

// heal ends a partition and any other loss of messages.
func (c *testCluster) heal() { c.drop = func(Message) bool { return false } }
