package integration

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
)

// errCut is returned for a dial or read on a link that is cut, and for a lost read.
var errCut = errors.New("link is cut")

// links simulates the network between the callers and nodes of a test. It can cut links in
// one direction and lose reads at random with a seed.
type links struct {
	mutex  sync.Mutex
	random *rand.Rand
	// nameByAddress maps the address of a node to its name.
	nameByAddress map[string]string
	cut           map[link]bool
	open          map[*linkConnection]struct{}
	lostReads     int
}

// link is a direction: from the name of the dialing process to that of the listening one.
type link struct{ from, to string }

func newLinks(seed uint64, nodes []*node) *links {
	l := &links{
		random:        rand.New(rand.NewPCG(seed, 0)),
		nameByAddress: map[string]string{},
		cut:           map[link]bool{},
		open:          map[*linkConnection]struct{}{},
	}
	for _, n := range nodes {
		l.nameByAddress[n.address] = n.name
		n.dialer = l.dialer(n.name, 0)
	}
	return l
}

// dialer returns the dial function of the process from. Each read on its connections fails
// with lossProbability, which also closes the connection.
func (l *links) dialer(from string, lossProbability float64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l.mutex.Lock()
		direction := link{from: from, to: l.nameByAddress[address]}
		cut := l.cut[direction]
		l.mutex.Unlock()
		if cut {
			return nil, errCut
		}
		underlying, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		connection := &linkConnection{Conn: underlying, links: l, link: direction, lossProbability: lossProbability}
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.cut[direction] { // it was cut during the dial
			_ = underlying.Close()
			return nil, errCut
		}
		l.open[connection] = struct{}{}
		return connection, nil
	}
}

// cutAll cuts links until heal is called, and closes their open connections.
func (l *links) cutAll(cuts ...link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, direction := range cuts {
		l.cut[direction] = true
	}
	for connection := range l.open {
		if l.cut[connection.link] {
			_ = connection.Conn.Close()
			delete(l.open, connection)
		}
	}
}

// heal ends all cuts.
func (l *links) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.cut)
}

// drawLoss returns true with the given probability, and then counts a lost read.
func (l *links) drawLoss(probability float64) bool {
	if probability == 0 {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lost := l.random.Float64() < probability
	if lost {
		l.lostReads++
	}
	return lost
}

// linkConnection is a connection over a link. It is in links.open until it is closed.
type linkConnection struct {
	net.Conn
	links           *links
	link            link
	lossProbability float64
}

// Read discards the data and closes the connection with probability c.lossProbability.
func (c *linkConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == nil && c.links.drawLoss(c.lossProbability) {
		_ = c.Close()
		return 0, errCut
	}
	return n, err
}

func (c *linkConnection) Close() error {
	c.links.mutex.Lock()
	delete(c.links.open, c)
	c.links.mutex.Unlock()
	return c.Conn.Close()
}
