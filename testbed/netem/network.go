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

// Route is how one process is reached.
type Route struct {
	// Name is the process that is reached.
	Name string
	// Listen is the IP:port that others are given, Target the one that the
	// process listens on.
	Listen, Target string
	// Source is the one process that uses the route, for one that does not
	// choose its source address. Default: the source address says.
	Source string
}

// Config says what is relayed.
type Config struct {
	Routes []Route
	// Sources maps source IP addresses to process names.
	Sources map[string]string
	// Delay returns the usual delay of a link. Default none.
	Delay func(Link) time.Duration
	// Seed draws which data is held up by Cross.
	Seed uint64
}

// Network is all relays of a fleet. Its methods are safe for concurrent use.
type Network struct {
	config    Config
	listeners []net.Listener
	stop      context.CancelFunc
	running   sync.WaitGroup

	mutex       sync.Mutex
	directions  map[Link]*direction
	connections map[*connection]struct{}
}

// New listens on all routes. Close must be called in the end.
func New(config Config) (*Network, error) {
	ctx, stop := context.WithCancel(context.Background())
	n := &Network{config: config, stop: stop, directions: map[Link]*direction{}, connections: map[*connection]struct{}{}}
	for _, route := range config.Routes {
		listener, err := net.Listen("tcp", route.Listen)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("relay to %s: %w", route.Name, err), n.Close())
		}
		n.listeners = append(n.listeners, listener)
		n.running.Go(func() { n.accept(ctx, listener, route) })
	}
	return n, nil
}

// Close ends all relays and waits for that.
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

// source names the process that opened a connection; empty if it is unknown,
// such as the test bed itself.
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

// track lists a connection until the returned function is called.
func (n *Network) track(one *connection) (release func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.connections[one] = struct{}{}
	return func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.connections, one)
	}
}

// Partition lets nothing pass on the links and no new connection come about over
// them, in either direction. It returns what ends the cut.
func (n *Network) Partition(links ...Link) (heal func()) {
	return n.inject(links, func(d *direction) { d.partitions++ }, func(d *direction) { d.partitions-- })
}

// Stall keeps back what is sent on the links. It returns what releases it, in
// order.
func (n *Network) Stall(links ...Link) (release func()) {
	return n.inject(links, func(d *direction) { d.stalls++ }, func(d *direction) { d.stalls-- })
}

// Reorder holds up a share of the pieces of data on the links, each for a time
// drawn up to maxDelay, while other connections pass: answers come late and cross
// each other. It returns what ends it.
func (n *Network) Reorder(probability float64, maxDelay time.Duration, links ...Link) (end func()) {
	added := reordering{probability, maxDelay}
	remove := func(d *direction) {
		for index, one := range d.reorderings {
			if one == added {
				d.reorderings = append(d.reorderings[:index:index], d.reorderings[index+1:]...)
				return
			}
		}
	}
	return n.inject(links, func(d *direction) { d.reorderings = append(d.reorderings, added) }, remove)
}

// Reset resets the connections that use the links now; it returns their number.
func (n *Network) Reset(links ...Link) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	count := 0
	for one := range n.connections {
		for _, link := range links {
			if one.link == link || one.link == (Link{From: link.To, To: link.From}) {
				one.stop()
				count++
				break
			}
		}
	}
	return count
}

// inject applies a fault and returns what takes it back, once.
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

// isOrderlyEnd reports whether a read ended in order.
func isOrderlyEnd(err error) bool { return errors.Is(err, io.EOF) }
