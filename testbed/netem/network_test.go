package netem

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/decklever/decklever/internal/testaddress"
)

// testTimeout bounds waits that end much sooner when a test passes.
const testTimeout = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a server that sends back all data it receives, and returns its address.
func echo(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(accepted, accepted)
				_ = accepted.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// network starts a network that forwards to an echo server named "b", and returns it with
// its address. Connections from 127.5.0.1 come from "a", those from 127.5.0.2 from "c".
func network(t *testing.T) (*Network, string) {
	t.Helper()
	address := testaddress.New(t)
	n, err := New(Config{
		Routes:  []Route{{Name: "b", Listen: address, Target: echo(t)}},
		Sources: map[string]string{"127.5.0.1": "a", "127.5.0.2": "c"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Close(); err != nil {
			t.Error(err)
		}
	})
	return n, address
}

// client is one connection to the echo server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, source, address string) *client {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text+"\n"); err != nil {
		t.Fatal(err)
	}
}

// read returns the next line, or an error if none arrives in time.
func (c *client) read(within time.Duration) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return "", err
	}
	text, err := c.reader.ReadString('\n')
	return strings.TrimSpace(text), err
}

func (c *client) want(t *testing.T, text string) {
	t.Helper()
	if got, err := c.read(testTimeout); err != nil || got != text {
		t.Fatalf("read %q, %v, want %q", got, err, text)
	}
}

// wantNoData fails the test if a line arrives within 50 ms.
func (c *client) wantNoData(t *testing.T) {
	t.Helper()
	if got, err := c.read(50 * time.Millisecond); err == nil {
		t.Fatalf("got data %q, want none", got)
	}
}

func TestNetwork_FaultBlocksOneLinkAndDeliversInOrder(t *testing.T) {
	for name, fault := range map[string]func(*Network, ...Link) func(){"partition": (*Network).Partition, "stall": (*Network).Stall} {
		for _, link := range BothDirections("a", "b") {
			t.Run(name+" from "+link.From, func(t *testing.T) {
				n, address := network(t)
				affected, unaffected := dial(t, "127.5.0.1", address), dial(t, "127.5.0.2", address)
				affected.send(t, "0")
				affected.want(t, "0")
				first, second := fault(n, link), fault(n, link)
				affected.send(t, "1")
				affected.send(t, "2")
				unaffected.send(t, "x")
				unaffected.want(t, "x")
				first()
				first()
				affected.wantNoData(t)
				second()
				affected.want(t, "1")
				affected.want(t, "2")
			})
		}
	}
}

func TestPartition_NewConnectionIsNeverEstablished(t *testing.T) {
	for _, link := range BothDirections("a", "b") {
		n, address := network(t)
		heal := n.Partition(link)
		during := dial(t, "127.5.0.1", address)
		during.send(t, "1")
		during.wantNoData(t)
		heal()
		if got, err := during.read(testTimeout); err == nil {
			t.Fatalf("got %q on a connection opened during a partition, want an error", got)
		}
		after := dial(t, "127.5.0.1", address)
		after.send(t, "2")
		after.want(t, "2")
	}
}

func TestReorder_DataStaysInOrderOnItsConnection(t *testing.T) {
	n, address := network(t)
	end := n.Reorder(1, 20*time.Millisecond, BothDirections("a", "b")...)
	one := dial(t, "127.5.0.1", address)
	for _, text := range []string{"1", "2", "3"} {
		one.send(t, text)
	}
	for _, text := range []string{"1", "2", "3"} {
		one.want(t, text)
	}
	end()
	if d := n.direction(Link{From: "a", To: "b"}); len(d.reorderings) != 0 {
		t.Error("got an active reordering after its end, want none")
	}
}

func TestReset_OnlyConnectionsOfLinkAreReset(t *testing.T) {
	n, address := network(t)
	affected, unaffected := dial(t, "127.5.0.1", address), dial(t, "127.5.0.2", address)
	for _, one := range []*client{affected, unaffected} {
		one.send(t, "1")
		one.want(t, "1")
	}
	if count := n.Reset(Link{From: "b", To: "a"}); count != 1 {
		t.Errorf("got %d connections reset, want 1", count)
	}
	if got, err := affected.read(testTimeout); err == nil {
		t.Errorf("got %q on a reset connection, want an error", got)
	}
	unaffected.send(t, "2")
	unaffected.want(t, "2")
}

func TestConnection_EndIsForwardedInBothDirections(t *testing.T) {
	_, address := network(t)
	one := dial(t, "127.5.0.1", address)
	one.send(t, "1")
	if err := one.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	one.want(t, "1")
	if got, err := one.read(testTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("read %q, %v, want EOF", got, err)
	}
}

func TestConnection_UnreachableTargetIsReset(t *testing.T) {
	address := testaddress.New(t)
	n, err := New(Config{Routes: []Route{{Name: "b", Listen: address, Target: testaddress.New(t)}}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // the reset arrived before Dial returned
	}
	defer func() { _ = conn.Close() }()
	one := &client{conn, bufio.NewReader(conn)}
	if got, err := one.read(testTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %q, %v from an unreachable target, want the connection closed", got, err)
	}
}
