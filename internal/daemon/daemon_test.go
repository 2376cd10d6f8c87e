package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/decklever/decklever/internal/requestcontext"
	"github.com/decklever/decklever/internal/testaddress"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// steps records the steps of a test in the order in which they happen.
type steps struct {
	mutex sync.Mutex
	done  []string
}

func (s *steps) add(step string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.done = append(s.done, step)
}

func (s *steps) want(t *testing.T, want ...string) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !slices.Equal(s.done, want) {
		t.Errorf("got steps %v, want %v", s.done, want)
	}
}

// runningDaemon is a daemon under test.
type runningDaemon struct {
	address string
	stop    context.CancelFunc
	result  chan error
}

func startDaemon(t *testing.T, config Config) *runningDaemon {
	t.Helper()
	addresses := make(chan net.Addr, 1)
	config.Listen = "127.0.0.1:0"
	config.OnListening = func(address net.Addr) { addresses <- address }
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	result := make(chan error, 1)
	go func() { result <- Run(ctx, config) }()
	select {
	case address := <-addresses:
		return &runningDaemon{address: address.String(), stop: stop, result: result}
	case err := <-result:
		t.Fatalf("start the daemon: %v", err)
		return nil
	}
}

// blockUntilCancelled returns a handler for one request. It closes entered, and responds
// with 503 once the request's context ends because the daemon stops.
func blockUntilCancelled(entered chan<- struct{}, s *steps) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(entered)
		<-request.Context().Done()
		if requestcontext.CallerGone(request.Context()) {
			s.add("caller has gone")
		}
		s.add("request ended")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
}

// get sends a request on a new connection. The channel receives the response's status code,
// or 0 if there was no response.
func get(address string) <-chan int {
	status := make(chan int, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + address)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	return status
}

// A stop with a request in progress must not wait for StopTimeout: BeforeStop, the end of
// the request and the end of the background functions follow in this order.
func TestStop_RunsStepsInOrderWithOpenRequest(t *testing.T) {
	var s steps
	entered := make(chan struct{})
	d := startDaemon(t, Config{
		Handler:     blockUntilCancelled(entered, &s),
		StopTimeout: time.Minute, // a stop that waits for this timeout exceeds the time of the test
		BeforeStop:  func(context.Context) { s.add("handed over") },
		Background: []func(context.Context) error{
			func(ctx context.Context) error { <-ctx.Done(); s.add("background ended"); return ctx.Err() },
			func(context.Context) error { return nil },
		},
	})
	status := get(d.address)
	<-entered
	d.stop()
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("request in progress at the stop: got status %d, want 503", got)
	}
	s.want(t, "handed over", "request ended", "background ended")
	if got := <-get(d.address); got != 0 {
		t.Errorf("request after the stop: got status %d, want no response", got)
	}
}

// http.Server.Shutdown waits up to 5 s for a connection that has sent nothing, which
// exceeds the StopTimeout of 2 s; the daemon closes such connections itself.
func TestStop_NewConnectionsDoNotDelay(t *testing.T) {
	d := startDaemon(t, Config{Handler: http.NotFoundHandler(), StopTimeout: 2 * time.Second})
	connection, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if got := <-get(d.address); got != http.StatusNotFound { // accepted after the connection without a request
		t.Fatalf("got status %d, want 404", got)
	}
	d.stop()
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
}

func TestStop_OnSignal(t *testing.T) {
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGTERM, syscall.SIGINT) // prevents the signals' default action, which ends the test process
	defer signal.Stop(ignored)
	for _, sent := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		d := startDaemon(t, Config{Handler: http.NotFoundHandler()})
		if err := syscall.Kill(os.Getpid(), sent); err != nil {
			t.Fatal(err)
		}
		if err := <-d.result; err != nil {
			t.Fatalf("stop on signal %v: got error %v, want none", sent, err)
		}
	}
}

func TestRun_BackgroundErrorStopsDaemon(t *testing.T) {
	var s steps
	broken := errors.New("broken")
	d := startDaemon(t, Config{
		Handler:    http.NotFoundHandler(),
		BeforeStop: func(context.Context) { s.add("handed over") },
		Background: []func(context.Context) error{func(context.Context) error { return broken }},
	})
	if err := <-d.result; !errors.Is(err, broken) {
		t.Fatalf("got error %v, want that of the background function", err)
	}
	s.want(t, "handed over")
}

// BeforeStop, a handler and a background function that never return must not block the
// stop: Run returns errStopTimeout.
func TestStop_ReportsWorkPastTimeout(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	var stuck sync.WaitGroup
	stuck.Add(3)
	hang := func() { defer stuck.Done(); <-release }
	d := startDaemon(t, Config{
		Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) { close(entered); hang() }),
		StopTimeout: 40 * time.Millisecond,
		BeforeStop:  func(context.Context) { hang() },
		Background:  []func(context.Context) error{func(context.Context) error { hang(); return nil }},
	})
	status := get(d.address)
	<-entered
	d.stop()
	if err := <-d.result; !errors.Is(err, errStopTimeout) {
		t.Errorf("got error %v, want errStopTimeout", err)
	}
	close(release)
	stuck.Wait()
	<-status
}

func TestRun_ListenFailureIsReturned(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	err = Run(t.Context(), Config{Listen: listener.Addr().String(), Handler: http.NotFoundHandler()})
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("got error %v, want EADDRINUSE", err)
	}
}

// Each listener serves its own handler, and the stop closes all of them.
func TestExtraListeners_ServeUntilStop(t *testing.T) {
	answering := func(status int) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(status) })
	}
	extra := make(chan net.Addr, 1)
	d := startDaemon(t, Config{
		Handler: answering(http.StatusOK),
		ExtraListeners: []Listener{{
			Address:     "127.0.0.1:0",
			Handler:     answering(http.StatusTeapot),
			OnListening: func(address net.Addr) { extra <- address },
		}},
	})
	address := (<-extra).String()
	if own, other := <-get(d.address), <-get(address); own != http.StatusOK || other != http.StatusTeapot {
		t.Errorf("got status codes %d and %d, want %d and %d", own, other, http.StatusOK, http.StatusTeapot)
	}
	d.stop()
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
	if status := <-get(address); status != 0 {
		t.Errorf("request to the extra listener after the stop: got status %d, want no response", status)
	}
}

// If one address is in use, Run fails and closes the listeners that it has opened already.
func TestExtraListeners_AddressInUseClosesAll(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	address := testaddress.New(t)
	err = Run(t.Context(), Config{
		Listen: address, Handler: http.NotFoundHandler(),
		ExtraListeners: []Listener{{Address: taken.Addr().String(), Handler: http.NotFoundHandler()}},
	})
	if err == nil {
		t.Fatal("listen on an address in use: got no error, want one")
	}
	again, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("listen again on the first address after the failed start: %v", err)
	}
	_ = again.Close()
}

// During ShutdownDelay, after OnStopping and BeforeStop, the daemon still serves requests and
// asks callers to close their connections.
func TestShutdownDelay_ServesUntilItEnds(t *testing.T) {
	const delay = 300 * time.Millisecond
	var s steps
	beforeStopCalled := make(chan struct{})
	d := startDaemon(t, Config{
		Handler:       http.HandlerFunc(func(http.ResponseWriter, *http.Request) { s.add("served") }),
		OnStopping:    func() { s.add("stopping") },
		BeforeStop:    func(context.Context) { s.add("handed over"); close(beforeStopCalled) },
		ShutdownDelay: delay,
	})
	d.stop()
	<-beforeStopCalled
	started := time.Now()
	response, err := http.Get("http://" + d.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if !response.Close {
		t.Error("response during the shutdown delay: got no \"Connection: close\", want one")
	}
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took < delay/2 {
		t.Errorf("got a stop after %v, want about %v", took, delay)
	}
	s.want(t, "stopping", "handed over", "served")
}

// A daemon that stops because of a failure gains nothing by ShutdownDelay and skips it.
func TestShutdownDelay_SkippedAfterFailure(t *testing.T) {
	failure := errors.New("broken")
	started := time.Now()
	err := Run(t.Context(), Config{
		Listen: "127.0.0.1:0", Handler: http.NotFoundHandler(), ShutdownDelay: time.Minute,
		Background: []func(context.Context) error{func(context.Context) error { return failure }},
	})
	if !errors.Is(err, failure) || time.Since(started) > 10*time.Second {
		t.Errorf("got error %v after %v, want %v without the delay", err, time.Since(started), failure)
	}
}
