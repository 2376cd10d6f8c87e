package model

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// interZoneDelay and intraZoneDelay are the one-way delays between two zones and within
	// a zone. A random jitter of up to intraZoneDelay is added to both.
	interZoneDelay = 1400 * time.Microsecond
	intraZoneDelay = 100 * time.Microsecond
	// dialTimeout bounds attempts to connect to a process, in particular to a partitioned
	// one.
	dialTimeout = 1500 * time.Millisecond
	// pipeChunks and pipeChunkBytes bound the data in flight in one direction of a
	// connection: the number of chunks and the size of each.
	pipeChunks     = 256
	pipeChunkBytes = 32 << 10
)

var (
	errRefused        = errors.New("connection refused")
	errConnectTimeout = errors.New("no answer to the attempt to connect")
)

// link is one direction between two processes.
type link struct{ from, to string }

// network carries data between the processes of a fleet. Data sent on a partitioned link is
// lost and its connection delivers nothing more in that direction, like a TCP connection
// whose packets are dropped. mutex guards all fields but pumps; zones may
// be read without it once all processes have been added.
type network struct {
	mutex  sync.Mutex
	random *rand.Rand
	// zones contains the zone of each process by process name.
	zones      map[string]string
	listeners  map[string]*listener
	partitions map[link]int
	// reorderProbability is the probability with which a chunk on a link for which
	// isReordered returns true is delayed by an additional reorderDelay.
	reorderProbability float64
	reorderDelay       time.Duration
	isReordered        func(link) bool
	open               map[*connection]struct{}
	pumps              sync.WaitGroup
}

func newNetwork(seed uint64) *network {
	return &network{
		random:     rand.New(rand.NewPCG(seed, 0x6e6574)),
		zones:      map[string]string{},
		listeners:  map[string]*listener{},
		partitions: map[link]int{},
		open:       map[*connection]struct{}{},
	}
}

// listener accepts the connections to one address of a process. It implements net.Listener.
type listener struct {
	network  *network
	process  string
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (n *network) listen(process, address string) *listener {
	l := &listener{network: n, process: process, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[address] = l
	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case one := <-l.incoming:
		return one, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// dialer returns a dial function for the process from. An attempt to connect over a
// partitioned link, in either direction, times out.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		n.mutex.Lock()
		target := n.listeners[address]
		partitioned := target != nil && (n.partitions[link{from, target.process}] > 0 || n.partitions[link{target.process, from}] > 0)
		n.mutex.Unlock()
		if target == nil {
			return nil, errRefused
		}
		if partitioned {
			<-ctx.Done()
			return nil, errConnectTimeout
		}
		return n.connect(ctx, from, target)
	}
}

func (n *network) connect(ctx context.Context, from string, target *listener) (net.Conn, error) {
	near, nearInside := net.Pipe()
	farInside, far := net.Pipe()
	c := &connection{network: n, out: link{from, target.process}, back: link{target.process, from}, near: nearInside, far: farInside}
	n.mutex.Lock()
	n.open[c] = struct{}{}
	n.mutex.Unlock()
	n.pumps.Go(func() { c.pump(nearInside, farInside, c.out) })
	n.pumps.Go(func() { c.pump(farInside, nearInside, c.back) })
	select {
	case target.incoming <- far:
		return near, nil
	case <-target.closed:
	case <-ctx.Done():
	}
	c.close()
	return nil, errRefused
}

// connection forwards data in both directions between the pipe of the dialing process (near)
// and that of the accepting process (far).
type connection struct {
	network   *network
	out, back link
	near, far net.Conn
}

func (c *connection) close() {
	_ = c.near.Close()
	_ = c.far.Close()
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	delete(c.network.open, c)
}

// chunk is data in flight, to be delivered at due.
type chunk struct {
	data []byte
	due  time.Time
}

// pump forwards data in one direction with the delay of the link until either end closes.
// Once a chunk meets a partition, that chunk and all later ones are dropped.
func (c *connection) pump(from, to net.Conn, direction link) {
	chunks := make(chan chunk, pipeChunks)
	var reading sync.WaitGroup
	defer reading.Wait()
	defer c.close()
	reading.Go(func() {
		defer close(chunks)
		buffer := make([]byte, pipeChunkBytes)
		for {
			count, err := from.Read(buffer)
			if count > 0 {
				chunks <- chunk{append([]byte(nil), buffer[:count]...), time.Now().Add(c.network.delay(direction))}
			}
			if err != nil {
				return
			}
		}
	})
	broken := false
	for one := range chunks {
		time.Sleep(time.Until(one.due))
		broken = broken || c.network.partitioned(direction)
		if broken {
			continue
		}
		if _, err := to.Write(one.data); err != nil {
			_ = from.Close()
			broken = true
		}
	}
}

// partitioned reports whether a link is partitioned now.
func (n *network) partitioned(direction link) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.partitions[direction] > 0
}

func (n *network) delay(direction link) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delay := intraZoneDelay
	if n.zones[direction.from] != n.zones[direction.to] {
		delay = interZoneDelay
	}
	if n.reorderProbability > 0 && n.isReordered(direction) && n.random.Float64() < n.reorderProbability {
		delay += n.reorderDelay
	}
	return delay + time.Duration(n.random.Int64N(int64(intraZoneDelay)))
}

// partition blocks links until heal is called, which also closes the connections on them.
func (n *network) partition(links ...link) (heal func()) {
	n.change(links, 1)
	return func() {
		n.change(links, -1)
		for _, one := range n.connectionsOn(links) {
			one.close()
		}
	}
}

func (n *network) change(links []link, by int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, one := range links {
		n.partitions[one] += by
	}
}

func (n *network) connectionsOn(links []link) []*connection {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []*connection
	for c := range n.open {
		for _, one := range links {
			if c.out == one || c.back == one {
				found = append(found, c)
				break
			}
		}
	}
	return found
}

// reset closes all connections of a process, as the operating system does when it exits.
func (n *network) reset(process string) {
	n.mutex.Lock()
	var found []*connection
	for c := range n.open {
		if c.out.from == process || c.out.to == process {
			found = append(found, c)
		}
	}
	n.mutex.Unlock()
	for _, one := range found {
		one.close()
	}
}

// reorder delays chunks on the links for which matches returns true, with the given
// probability, until end is called. Only one reordering can be active at a time.
func (n *network) reorder(probability float64, delay time.Duration, matches func(link) bool) (end func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reorderProbability, n.reorderDelay, n.isReordered = probability, delay, matches
	return func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.reorderProbability = 0
	}
}

// close closes all connections and waits until their goroutines have ended.
func (n *network) close() {
	n.mutex.Lock()
	var found []*connection
	for c := range n.open {
		found = append(found, c)
	}
	n.mutex.Unlock()
	for _, one := range found {
		one.close()
	}
	n.pumps.Wait()
}
