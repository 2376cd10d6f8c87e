package integration

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
)

var errCut = errors.New("link is cut")

// links are the connections between the processes of a test. They can be cut
// by direction, and lose answers by a seeded chance.
type links struct {
	mutex  sync.Mutex
	random *rand.Rand
	// names are the processes by address.
	names map[string]string
	cut   map[link]bool
	open  map[*linkConnection]struct{}
	lost  int
}

// link is from the one that dials to the one that listens.
type link struct{ from, to string }

func newLinks(seed uint64, nodes []*node) *links {
	l := &links{
		random: rand.New(rand.NewPCG(seed, 0)),
		names:  map[string]string{},
		cut:    map[link]bool{},
		open:   map[*linkConnection]struct{}{},
	}
	for _, n := range nodes {
		l.names[n.address] = n.name
		n.dialer = l.dialer(n.name, 0)
	}
	return l
}

// dialer makes the connections of one process; each of the reads on them is
// lost, with the connection, by the chance.
func (l *links) dialer(from string, loss float64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l.mutex.Lock()
		between := link{from: from, to: l.names[address]}
		cut := l.cut[between]
		l.mutex.Unlock()
		if cut {
			return nil, errCut
		}
		plain, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		connection := &linkConnection{Conn: plain, links: l, link: between, loss: loss}
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.cut[between] { // since it was looked at above
			_ = plain.Close()
			return nil, errCut
		}
		l.open[connection] = struct{}{}
		return connection, nil
	}
}

// cutAll cuts links until heal, with the connections on them.
func (l *links) cutAll(cuts ...link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, between := range cuts {
		l.cut[between] = true
	}
	for connection := range l.open {
		if l.cut[connection.link] {
			_ = connection.Conn.Close()
			delete(l.open, connection)
		}
	}
}

func (l *links) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.cut)
}

// loses draws whether an answer is lost.
func (l *links) loses(chance float64) bool {
	if chance == 0 {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lost := l.random.Float64() < chance
	if lost {
		l.lost++
	}
	return lost
}

type linkConnection struct {
	net.Conn
	links *links
	link  link
	loss  float64
}

// Read loses, by chance, what came.
func (c *linkConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == nil && c.links.loses(c.loss) {
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
