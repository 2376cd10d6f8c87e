package netem

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Route describes how one process is reached.
type Route struct {
	// Name is the name of the process that the route leads to.
	Name string
	// Listen is the IP:port that other processes connect to, Target the IP:port
	// that the process itself listens on.
	Listen, Target string
	// Source is the only process that uses the route, for a process that does not
	// choose its source address. Default: determined by the source address.
	Source string
}

// Config configures a Network.
type Config struct {
	Routes []Route
	// Sources maps source IP addresses to process names.
	Sources map[string]string
	// Delay returns the delay of a link without faults. Default: no delay.
	Delay func(Link) time.Duration
	// Seed seeds the random choice of the chunks that Reorder delays.
	Seed uint64
}

// Network is the emulated network of a fleet. Its methods are safe for concurrent use.
// It owns its listeners, the forwarded connections, and the state of each link; mutex
// guards the two maps.
type Network struct {
	config    Config
	listeners []net.Listener
	stop      context.CancelFunc
	running   sync.WaitGroup

	mutex       sync.Mutex
	directions  map[Link]*direction
	connections map[*connection]struct{}
}

// New listens on all routes. The caller must call Close.
func New(config Config) (*Network, error) {
	ctx, stop := context.WithCancel(context.Background())
	n := &Network{config: config, stop: stop, directions: map[Link]*direction{}, connections: map[*connection]struct{}{}}
	for _, route := range config.Routes {
		listener, err := net.Listen("tcp", route.Listen)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("forward to %s: %w", route.Name, err), n.Close())
		}
		n.listeners = append(n.listeners, listener)
		n.running.Go(func() { n.accept(ctx, listener, route) })
	}
	return n, nil
}

// Close closes all listeners and connections and waits until their goroutines have ended.
func (n *Network) Close() error {
	var failures []error
	for _, listener := range n.listeners {
		failures = append(failures, listener.Close())
	}
	n.stop()
	n.running.Wait()
	return errors.Join(failures...)
}

func (n *Network) accept(ctx context.Context, listener net.Listener, route Route) {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		client := accepted.(*net.TCPConn)
		n.running.Go(func() { n.serve(ctx, client, route, n.source(client, route)) })
	}
}

// source returns the name of the process that opened a connection, or "" if the process
// is unknown, for example the test bed itself.
func (n *Network) source(client net.Conn, route Route) string {
	if route.Source != "" {
		return route.Source
	}
	host, _, err := net.SplitHostPort(client.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return n.config.Sources[host]
}

func (n *Network) direction(link Link) *direction {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	found, known := n.directions[link]
	if !known {
		var delay time.Duration
		if n.config.Delay != nil {
			delay = n.config.Delay(link)
		}
		found = newDirection(delay, n.config.Seed+uint64(len(n.directions)))
		n.directions[link] = found
	}
	return found
}

// track registers a connection until the returned function is called.
func (n *Network) track(conn *connection) (release func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.connections[conn] = struct{}{}
	return func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.connections, conn)
	}
}

// Partition blocks all data on the links, and new connections that use them in either
// direction. The returned function heals the partition.
func (n *Network) Partition(links ...Link) (heal func()) {
	return n.inject(links, func(d *direction) { d.partitions++ }, func(d *direction) { d.partitions-- })
}

// Stall delays all data that is sent on the links until the returned function is called;
// the data is then forwarded in order.
func (n *Network) Stall(links ...Link) (release func()) {
	return n.inject(links, func(d *direction) { d.stalls++ }, func(d *direction) { d.stalls-- })
}

// Reorder delays each chunk of data on the links with the given probability, by a random
// time of up to maxDelay. Data stays in order within a connection, but responses on
// different connections arrive late and in another order than they were sent. The
// returned function ends the fault.
func (n *Network) Reorder(probability float64, maxDelay time.Duration, links ...Link) (end func()) {
	added := reordering{probability, maxDelay}
	remove := func(d *direction) {
		for index, present := range d.reorderings {
			if present == added {
				d.reorderings = append(d.reorderings[:index:index], d.reorderings[index+1:]...)
				return
			}
		}
	}
	return n.inject(links, func(d *direction) { d.reorderings = append(d.reorderings, added) }, remove)
}

// Reset resets all current connections that use one of the links in either direction and
// returns their number.
func (n *Network) Reset(links ...Link) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	count := 0
	for conn := range n.connections {
		for _, link := range links {
			if conn.link == link || conn.link == (Link{From: link.To, To: link.From}) {
				conn.stop()
				count++
				break
			}
		}
	}
	return count
}

// inject begins a fault on the links. The returned function ends it; further calls have
// no effect.
func (n *Network) inject(links []Link, begin, end func(*direction)) func() {
	for _, link := range links {
		n.direction(link).change(begin)
	}
	return sync.OnceFunc(func() {
		for _, link := range links {
			n.direction(link).change(end)
		}
	})
}

// isOrderlyEnd reports whether a read error is the regular end of the stream.
func isOrderlyEnd(err error) bool { return errors.Is(err, io.EOF) }
