package netem

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// pieceBytes bounds what is passed on at once.
	pieceBytes  = 32 << 10
	dialTimeout = 2 * time.Second
)

// connection is one relayed connection: link is the direction from the process
// that opened it.
type connection struct {
	link      Link
	out, back *direction
	near, far *net.TCPConn
	// stop ends both pumps.
	stop context.CancelFunc
}

// serve relays until both directions have ended.
func (n *Network) serve(ctx context.Context, near *net.TCPConn, route Route, source string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	link := Link{From: source, To: route.Name}
	one := &connection{
		link: link, out: n.direction(link), back: n.direction(Link{From: link.To, To: link.From}), near: near, stop: stop,
	}
	release := n.keep(one)
	defer release()
	if !one.open(ctx, route.Target) {
		abort(near)
		return
	}
	closing := context.AfterFunc(ctx, func() { abort(one.near); abort(one.far) })
	defer closing()
	var pumps sync.WaitGroup
	pumps.Go(func() { one.pump(ctx, one.near, one.far, one.out) })
	pumps.Go(func() { one.pump(ctx, one.far, one.near, one.back) })
	pumps.Wait()
	_, _ = one.near.Close(), one.far.Close()
}

// open connects to the target. A connection that is begun while either
// direction is cut never comes about: it stays without an answer until the cut
// ends and is dropped then.
func (c *connection) open(ctx context.Context, target string) bool {
	if c.out.isCut() || c.back.isCut() {
		c.out.pass(ctx)
		c.back.pass(ctx)
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return false
	}
	c.far = far.(*net.TCPConn)
	return true
}

// pump passes on what comes from one end to the other. The end of the stream
// takes the same way as the data. A failure ends both directions.
func (c *connection) pump(ctx context.Context, from, to *net.TCPConn, through *direction) {
	buffer := make([]byte, pieceBytes)
	for {
		count, err := from.Read(buffer)
		if !through.pass(ctx) {
			return
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				c.stop()
				return
			}
		}
		if err != nil {
			c.finish(err, to)
			return
		}
	}
}

// finish passes on the end of a stream: an orderly one as such, another as a
// reset.
func (c *connection) finish(err error, to *net.TCPConn) {
	if !isEnd(err) || to.CloseWrite() != nil {
		c.stop()
	}
}

// abort closes a connection with a reset.
func abort(one *net.TCPConn) {
	_ = one.SetLinger(0) // fails only if it is closed already
	_ = one.Close()
}
