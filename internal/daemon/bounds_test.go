package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// patience bounds waits for a condition; none takes nearly as long.
const patience = 60 * time.Second

// dial connects and says nothing; closed tells when the other side has closed.
func dial(t *testing.T, address string) (connection net.Conn, closed <-chan struct{}) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(io.Discard, connection)
	}()
	return connection, done
}

func wait(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatalf("not within %v: %s", patience, what)
	}
}

func TestSilentConnectionsMakeWay(t *testing.T) {
	const limit = 4
	d := run(t, Config{Handler: http.NotFoundHandler(), MaxConnections: limit, ReadHeaderTimeout: patience})
	var closed []<-chan struct{}
	for range 2 * limit {
		_, end := dial(t, d.address)
		closed = append(closed, end)
	}
	if got := <-get(d.address); got != http.StatusNotFound {
		t.Errorf("a request among silent connections was answered %d", got)
	}
	for _, end := range closed[:limit+1] { // the request took the place of one more
		wait(t, "the connections that were silent for longest are closed", end)
	}
	for i, end := range closed[limit+1:] {
		select {
		case <-end:
			t.Errorf("connection %d within the limit was closed", limit+1+i)
		default:
		}
	}
	d.stop()
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
}

func TestConnectionBetweenRequestsMakesWay(t *testing.T) {
	d := run(t, Config{Handler: http.NotFoundHandler(), MaxConnections: 1})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	response, err := client.Get("http://" + d.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	// Its connection is idle, or about to be: until then the new one is refused.
	for deadline := time.Now().Add(patience); <-get(d.address) != http.StatusNotFound; {
		if time.Now().After(deadline) {
			t.Fatal("an idle connection keeps the only place")
		}
	}
}

func TestRequestsUnderWayAreKept(t *testing.T) {
	const limit = 2
	entered, release := make(chan struct{}, limit), make(chan struct{})
	d := run(t, Config{MaxConnections: limit, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})})
	var held []<-chan int
	for range limit {
		held = append(held, get(d.address))
		<-entered
	}
	for range 3 {
		if got := <-get(d.address); got != 0 {
			t.Errorf("a request beyond the limit was answered %d", got)
		}
	}
	close(release)
	for _, status := range held {
		if got := <-status; got != http.StatusOK {
			t.Errorf("a request under way was answered %d", got)
		}
	}
}

// TestUnreadAnswerIsCutOff: a caller that does not read holds no request.
func TestUnreadAnswerIsCutOff(t *testing.T) {
	returned := make(chan struct{})
	d := run(t, Config{WriteTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		defer close(returned)
		piece := make([]byte, 1<<20)
		for range 1024 { // more than any buffer between them
			if _, err := writer.Write(piece); err != nil {
				return
			}
		}
		t.Error("everything was written, though nobody read")
	})})
	connection, err := new(net.Dialer).DialContext(context.Background(), "tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	wait(t, "the handler returns", returned)
}
