package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
)

const defaultMaxRequestBytes = 64 << 20

// ServerConfig says how a Server reads. A zero field means its default.
type ServerConfig struct {
	// MaxRequestBytes bounds the body of a request. Default 64 MiB.
	MaxRequestBytes int64
	// Logger takes panics and answers that could not be sent. Default: none.
	Logger *slog.Logger
	// Metrics counts calls and bytes. Optional.
	Metrics *Metrics
}

// Server is the http.Handler of POST /rpc/METHOD. Methods may be added while
// it serves.
type Server struct {
	config  ServerConfig
	codec   codec
	mutex   sync.RWMutex
	methods map[fleet.Method]methodHandler
}

// methodHandler reads a request's body and returns the answer's.
type methodHandler func(ctx context.Context, body []byte) ([]byte, error)

// NewServer returns a server without methods.
func NewServer(config ServerConfig) *Server {
	if config.MaxRequestBytes <= 0 {
		config.MaxRequestBytes = defaultMaxRequestBytes
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Server{config: config, codec: newCodec(), methods: map[fleet.Method]methodHandler{}}
}

// Handle serves method with handler; it panics if the method is served
// already, which is a mistake in the program.
//
// The handler's context ends at the caller's deadline, when the caller goes
// away, and when the process stops. It may return an *Error, which travels as
// it is, or an *api.Error, which travels under CodeRefused. Any other error
// becomes CodeUnavailable and so must mean that the call had no effect.
func Handle[Request, Answer any](s *Server, method fleet.Method, handler func(context.Context, Request) (Answer, error)) {
	s.register(method, func(ctx context.Context, body []byte) ([]byte, error) {
		var request Request
		if err := s.codec.decode(body, &request); err != nil {
			return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("decode %s: %v", method, err)}
		}
		answer, err := handler(ctx, request)
		if err != nil {
			return nil, err
		}
		encoded, err := s.codec.encode(answer)
		if err != nil {
			return nil, &Error{Code: CodeUnknownOutcome, Message: fmt.Sprintf("encode the answer of %s: %v", method, err)}
		}
		return encoded, nil
	})
}

func (s *Server) register(method fleet.Method, handler methodHandler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, exists := s.methods[method]; exists {
		panic(fmt.Sprintf("rpc: method %s is served twice", method))
	}
	s.methods[method] = handler
}

func (s *Server) find(method fleet.Method) (methodHandler, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	handler, ok := s.methods[method]
	return handler, ok
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer, err := s.serve(writer, request)
	if err != nil {
		s.refuse(writer, request, refusalOf(err))
		return
	}
	s.write(writer, request, http.StatusOK, answer)
}

func (s *Server) serve(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	name, found := strings.CutPrefix(request.URL.Path, pathPrefix)
	if !found || request.Method != http.MethodPost {
		return nil, &Error{Code: CodeBadRequest, Message: "expected POST " + pathPrefix + "METHOD"}
	}
	method := fleet.Method(name)
	handler, ok := s.find(method)
	if !ok {
		return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("no method %q here", name)}
	}
	body, err := s.readBody(writer, request)
	if err != nil {
		return nil, err
	}
	ctx := request.Context()
	if timeout, ok := parseTimeout(request.Header.Get(deadlineHeader)); ok {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	answer, err := s.run(ctx, method, handler, body)
	s.config.Metrics.count(sideServer, method, len(answer), len(body))
	return answer, err
}

func (s *Server) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, s.config.MaxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("request is over the limit of %d bytes", tooLarge.Limit)}
	}
	if err != nil {
		return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("read the request: %v", err)}
	}
	return body, nil
}

// run calls the handler and keeps its panic from ending the process.
func (s *Server) run(ctx context.Context, method fleet.Method, handler methodHandler, body []byte) (answer []byte, err error) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		s.config.Logger.Error("panic in an rpc handler",
			slog.String("method", string(method)),
			slog.Any("reason", reason),
			slog.String("stack", string(debug.Stack())))
		// How far the handler came is not known.
		answer, err = nil, &Error{Code: CodeUnknownOutcome, Message: fmt.Sprintf("internal failure in %s", method)}
	}()
	return handler(ctx, body)
}

// refusalOf gives the error the form in which it travels.
func refusalOf(err error) *Error {
	var refusal *Error
	if errors.As(err, &refusal) {
		return relayed(refusal)
	}
	var refused *api.Error
	if errors.As(err, &refused) {
		return &Error{Code: CodeRefused, Message: refused.Message, API: refused}
	}
	return &Error{Code: CodeUnavailable, Message: err.Error()}
}

// relayed changes a transport failure of a call that the handler made itself:
// its caller did have an answer, and only the effect is in question.
func relayed(refusal *Error) *Error {
	if refusal.Code != CodeTransport {
		return refusal
	}
	if refusal.Unsent {
		return &Error{Code: CodeUnavailable, Message: refusal.Message}
	}
	return &Error{Code: CodeUnknownOutcome, Message: refusal.Message}
}

func (s *Server) refuse(writer http.ResponseWriter, request *http.Request, refusal *Error) {
	sent := *refusal
	sent.Message = strings.ToValidUTF8(sent.Message, "?")
	body, err := s.codec.encode(&sent)
	if err != nil {
		s.config.Logger.Error("cannot encode a refusal", slog.Any("error", err))
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.write(writer, request, statusOf(&sent), body)
}

func (s *Server) write(writer http.ResponseWriter, request *http.Request, status int, body []byte) {
	writer.Header().Set("Content-Type", contentType)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	if _, err := writer.Write(body); err != nil {
		s.config.Logger.Debug("answer not sent", slog.String("path", request.URL.Path), slog.Any("error", err))
	}
}
