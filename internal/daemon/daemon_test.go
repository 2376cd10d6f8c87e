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

	"github.com/decklever/decklever/internal/testaddress"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// steps notes what happened, in order.
type steps struct {
	mutex sync.Mutex
	done  []string
}

func (s *steps) note(step string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.done = append(s.done, step)
}

func (s *steps) want(t *testing.T, want ...string) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !slices.Equal(s.done, want) {
		t.Errorf("steps %v, want %v", s.done, want)
	}
}

// running is a daemon under test.
type running struct {
	address string
	stop    context.CancelFunc
	result  chan error
}

func run(t *testing.T, config Config) *running {
	t.Helper()
	addresses := make(chan net.Addr, 1)
	config.Listen = "127.0.0.1:0"
	config.Listening = func(address net.Addr) { addresses <- address }
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	result := make(chan error, 1)
	go func() { result <- Run(ctx, config) }()
	select {
	case address := <-addresses:
		return &running{address: address.String(), stop: stop, result: result}
	case err := <-result:
		t.Fatalf("not started: %v", err)
		return nil
	}
}

// holding is a handler that answers once its context ends.
func holding(entered chan<- struct{}, s *steps) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(entered)
		<-request.Context().Done()
		s.note("request ended")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
}

// get sends a request on a connection of its own and delivers the status, or
// 0 if there was no answer.
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

func TestStopsInOrderWithARequestHeldOpen(t *testing.T) {
	var s steps
	entered := make(chan struct{})
	d := run(t, Config{
		Handler:     holding(entered, &s),
		StopTimeout: time.Minute, // a stop that only this bound ends fails the test by its time
		BeforeStop:  func(context.Context) { s.note("handed over") },
		Background: []func(context.Context) error{
			func(ctx context.Context) error { <-ctx.Done(); s.note("background ended"); return ctx.Err() },
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
		t.Errorf("the held request was answered %d", got)
	}
	s.want(t, "handed over", "request ended", "background ended")
	if got := <-get(d.address); got != 0 {
		t.Errorf("still answers: %d", got)
	}
}

func TestSilentConnectionsDoNotDelayTheStop(t *testing.T) {
	d := run(t, Config{Handler: http.NotFoundHandler(), StopTimeout: 2 * time.Second})
	connection, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if got := <-get(d.address); got != http.StatusNotFound { // accepted later than the silent one
		t.Fatalf("status %d", got)
	}
	d.stop()
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
}

func TestSignalsStop(t *testing.T) {
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGTERM, syscall.SIGINT) // keeps the test alive whoever else listens
	defer signal.Stop(ignored)
	for _, sent := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		d := run(t, Config{Handler: http.NotFoundHandler()})
		if err := syscall.Kill(os.Getpid(), sent); err != nil {
			t.Fatal(err)
		}
		if err := <-d.result; err != nil {
			t.Fatalf("%v: %v", sent, err)
		}
	}
}

func TestFailureOfAPartStopsTheDaemon(t *testing.T) {
	var s steps
	broken := errors.New("broken")
	d := run(t, Config{
		Handler:    http.NotFoundHandler(),
		BeforeStop: func(context.Context) { s.note("handed over") },
		Background: []func(context.Context) error{func(context.Context) error { return broken }},
	})
	if err := <-d.result; !errors.Is(err, broken) {
		t.Fatalf("got %v", err)
	}
	s.want(t, "handed over")
}

func TestWorkThatDoesNotEndIsReported(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	var stuck sync.WaitGroup
	stuck.Add(3)
	hang := func() { defer stuck.Done(); <-release }
	d := run(t, Config{
		Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) { close(entered); hang() }),
		StopTimeout: 40 * time.Millisecond,
		BeforeStop:  func(context.Context) { hang() },
		Background:  []func(context.Context) error{func(context.Context) error { hang(); return nil }},
	})
	status := get(d.address)
	<-entered
	d.stop()
	if err := <-d.result; !errors.Is(err, errStopTimeout) {
		t.Errorf("got %v", err)
	}
	close(release)
	stuck.Wait()
	<-status
}

func TestListenFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	err = Run(t.Context(), Config{Listen: listener.Addr().String(), Handler: http.NotFoundHandler()})
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("got %v", err)
	}
}

// TestExtraListenersServeFromStartToStop: each with its own handler.
func TestExtraListenersServeFromStartToStop(t *testing.T) {
	answering := func(status int) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(status) })
	}
	extra := make(chan net.Addr, 1)
	d := run(t, Config{
		Handler: answering(http.StatusOK),
		Extra: []Listener{{
			Address:   "127.0.0.1:0",
			Handler:   answering(http.StatusTeapot),
			Listening: func(address net.Addr) { extra <- address },
		}},
	})
	address := (<-extra).String()
	if own, other := <-get(d.address), <-get(address); own != http.StatusOK || other != http.StatusTeapot {
		t.Errorf("answers %d and %d, want %d and %d", own, other, http.StatusOK, http.StatusTeapot)
	}
	d.stop()
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
	if status := <-get(address); status != 0 {
		t.Errorf("the extra listener answers %d after the stop", status)
	}
}

// TestTakenExtraAddressEndsTheStart: nothing is left listening.
func TestTakenExtraAddressEndsTheStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	address := testaddress.New(t)
	err = Run(t.Context(), Config{
		Listen: address, Handler: http.NotFoundHandler(),
		Extra: []Listener{{Address: taken.Addr().String(), Handler: http.NotFoundHandler()}},
	})
	if err == nil {
		t.Fatal("started on a taken address")
	}
	again, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("the first address is still listened on: %v", err)
	}
	_ = again.Close()
}

// TestShutdownDelayServesOn: readiness goes first, then the hand-over, then
// the daemon serves on and asks callers to leave, and only then stops.
func TestShutdownDelayServesOn(t *testing.T) {
	const delay = 300 * time.Millisecond
	var s steps
	handedOver := make(chan struct{})
	d := run(t, Config{
		Handler:       http.HandlerFunc(func(http.ResponseWriter, *http.Request) { s.note("served") }),
		Stopping:      func() { s.note("stopping") },
		BeforeStop:    func(context.Context) { s.note("handed over"); close(handedOver) },
		ShutdownDelay: delay,
	})
	d.stop()
	<-handedOver
	started := time.Now()
	response, err := http.Get("http://" + d.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if !response.Close {
		t.Error("the answer does not ask for the connection to be closed")
	}
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took < delay/2 {
		t.Errorf("stopped after %v, want about %v", took, delay)
	}
	s.want(t, "stopping", "handed over", "served")
}

// TestFailedPartStopsWithoutDelay: there is nothing to be gained by waiting.
func TestFailedPartStopsWithoutDelay(t *testing.T) {
	failure := errors.New("broken")
	started := time.Now()
	err := Run(t.Context(), Config{
		Listen: "127.0.0.1:0", Handler: http.NotFoundHandler(), ShutdownDelay: time.Minute,
		Background: []func(context.Context) error{func(context.Context) error { return failure }},
	})
	if !errors.Is(err, failure) || time.Since(started) > 10*time.Second {
		t.Errorf("%v after %v, want %v at once", err, time.Since(started), failure)
	}
}
