package rpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const defaultMaxRequestBytes = 64 << 20

// ServerConfig configures a Server. Zero fields take their defaults.
type ServerConfig struct {
	// MaxRequestBytes bounds the body of a request. Default 64 MiB.
	MaxRequestBytes int64
	// Logger receives panics of handlers and failures to send answers. Default: none.
	Logger *slog.Logger
	// Metrics counts calls and bytes. Optional.
	Metrics *Metrics
}

// Server is the http.Handler of POST /rpc/METHOD. It is safe for concurrent use; methods
// may be added while it serves.
type Server struct {
	config  ServerConfig
	codec   codec
	buffers *bufferPool
	calls   *callCounters
	// contentType is the Content-Type header of all answers, shared to avoid allocations.
	contentType []string

	// mutex guards methods.
	mutex   sync.RWMutex
	methods map[protocol.Method]methodHandler
}

// methodHandler decodes the body of a request, handles the request, and encodes the answer
// into answer.
type methodHandler func(ctx context.Context, body []byte, answer *bytes.Buffer) error

// NewServer returns a server without methods.
func NewServer(config ServerConfig) *Server {
	if config.MaxRequestBytes <= 0 {
		config.MaxRequestBytes = defaultMaxRequestBytes
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Server{
		config:      config,
		codec:       newCodec(),
		buffers:     newBufferPool(),
		calls:       config.Metrics.forSide(sideServer),
		contentType: []string{contentType},
		methods:     map[protocol.Method]methodHandler{},
	}
}

// Handle registers the handler of a method. It panics if the method already has a handler,
// which is a programming error.
//
// The handler's context ends at the caller's deadline, when the caller closes the
// connection, and when the process stops. The handler may return an *Error, which is sent
// unchanged unless it has CodeTransport (see forwardedError), or an *api.Error, which is
// sent with CodeRefused. Any other error is sent with CodeUnavailable; the handler must
// return one only if the call had no effect.
func Handle[Request, Answer any](s *Server, method protocol.Method, handler func(context.Context, Request) (Answer, error)) {
	s.register(method, func(ctx context.Context, body []byte, encoded *bytes.Buffer) error {
		var request Request
		if err := s.codec.decode(body, &request); err != nil {
			return &Error{Code: CodeBadRequest, Message: fmt.Sprintf("decode %s: %v", method, err)}
		}
		answer, err := handler(ctx, request)
		if err != nil {
			return err
		}
		if err := s.codec.encodeTo(answer, encoded); err != nil {
			return &Error{Code: CodeUnknownOutcome, Message: fmt.Sprintf("encode the answer of %s: %v", method, err)}
		}
		return nil
	})
}

func (s *Server) register(method protocol.Method, handler methodHandler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, exists := s.methods[method]; exists {
		panic(fmt.Sprintf("rpc: method %s is served twice", method))
	}
	s.methods[method] = handler
}

// handlerOf returns the handler of a method; false if there is none.
func (s *Server) handlerOf(method protocol.Method) (methodHandler, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	handler, ok := s.methods[method]
	return handler, ok
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer := s.buffers.get()
	defer s.buffers.put(answer)
	if err := s.serve(writer, request, answer); err != nil {
		s.writeError(writer, request, toError(err))
		return
	}
	s.write(writer, request, http.StatusOK, answer.Bytes())
}

// WithFallback returns a handler that serves the methods of the server and passes all other
// requests to next. Calls are most of the requests, and so avoid the cost of a mux.
func (s *Server) WithFallback(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		name, found := strings.CutPrefix(request.URL.Path, pathPrefix)
		if found {
			_, found = s.handlerOf(protocol.Method(name))
		}
		if found {
			s.ServeHTTP(writer, request)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// serve handles one call and encodes its answer into answer, which is empty on an error.
func (s *Server) serve(writer http.ResponseWriter, request *http.Request, answer *buffer) error {
	name, found := strings.CutPrefix(request.URL.Path, pathPrefix)
	if !found || request.Method != http.MethodPost {
		return &Error{Code: CodeBadRequest, Message: "expected POST " + pathPrefix + "METHOD"}
	}
	method := protocol.Method(name)
	handler, ok := s.handlerOf(method)
	if !ok {
		return &Error{Code: CodeBadRequest, Message: fmt.Sprintf("no method %q here", name)}
	}
	body := s.buffers.get()
	defer s.buffers.put(body)
	if err := s.readBody(writer, request, body); err != nil {
		return err
	}
	ctx := request.Context()
	if timeout, ok := parseTimeout(request.Header.Get(deadlineHeader)); ok {
		limited := withTimeout(ctx, timeout)
		defer limited.end()
		ctx = limited
	}
	err := s.run(ctx, method, handler, body.Bytes(), answer)
	if err != nil {
		answer.Reset()
	}
	s.calls.count(method, answer.Len(), body.Len())
	return err
}

// readBody reads the body of a request. It fails if the body exceeds MaxRequestBytes.
func (s *Server) readBody(writer http.ResponseWriter, request *http.Request, body *buffer) error {
	limit := s.config.MaxRequestBytes
	limited := request.Body
	if length := request.ContentLength; length < 0 || length > limit {
		limited = http.MaxBytesReader(writer, limited, limit)
	}
	err := body.readAll(limited, limit+1)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{Code: CodeBadRequest, Message: fmt.Sprintf("request is over the limit of %d bytes", tooLarge.Limit)}
	}
	if err != nil {
		return &Error{Code: CodeBadRequest, Message: fmt.Sprintf("read the request: %v", err)}
	}
	return nil
}

// run calls the handler. It logs a panic and returns an *Error with CodeUnknownOutcome for it.
func (s *Server) run(ctx context.Context, method protocol.Method, handler methodHandler, body []byte, answer *buffer) (err error) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		s.config.Logger.Error("panic in an rpc handler",
			slog.String("method", string(method)),
			slog.Any("reason", reason),
			slog.String("stack", string(debug.Stack())))
		// The handler may have taken effect before the panic.
		err = &Error{Code: CodeUnknownOutcome, Message: fmt.Sprintf("internal failure in %s", method)}
	}()
	return handler(ctx, body, &answer.Buffer)
}

// toError converts the error that a handler returned to the error that is sent.
func toError(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return forwardedError(failure)
	}
	var refused *api.Error
	if errors.As(err, &refused) {
		return &Error{Code: CodeRefused, Message: refused.Message, API: refused}
	}
	return &Error{Code: CodeUnavailable, Message: err.Error()}
}

// forwardedError converts the transport error of a call that the handler itself made to
// another process: CodeTransport is never sent, as the handler's caller does get an answer.
// The result says whether the handler's call may have taken effect. Other errors are
// returned unchanged.
func forwardedError(failure *Error) *Error {
	if failure.Code != CodeTransport {
		return failure
	}
	if failure.Unsent {
		return &Error{Code: CodeUnavailable, Message: failure.Message}
	}
	return &Error{Code: CodeUnknownOutcome, Message: failure.Message}
}

// writeError sends an error as the answer to a call.
func (s *Server) writeError(writer http.ResponseWriter, request *http.Request, failure *Error) {
	sent := *failure
	sent.Message = strings.ToValidUTF8(sent.Message, "?")
	body, err := s.codec.encode(&sent)
	if err != nil {
		s.config.Logger.Error("cannot encode an error answer", slog.Any("error", err))
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.write(writer, request, httpStatus(&sent), body)
}

// maxImplicitLength is the body size in bytes up to which write leaves Content-Length to
// net/http, which is cheaper than setting the header here. The limit of net/http is 2048.
const maxImplicitLength = 1 << 10

// write sends an answer. A failure is only logged, because the header is already written.
func (s *Server) write(writer http.ResponseWriter, request *http.Request, status int, body []byte) {
	header := writer.Header()
	header["Content-Type"] = s.contentType
	if len(body) > maxImplicitLength {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	writer.WriteHeader(status)
	if _, err := writer.Write(body); err != nil {
		s.config.Logger.Debug("answer not sent", slog.String("path", request.URL.Path), slog.Any("error", err))
	}
}
