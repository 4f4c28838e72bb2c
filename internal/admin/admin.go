// Package admin serves the operators' address: readiness, metrics, and requests to take the scheduler out of service
// and back. It speaks HTTP/1.1 with one request per connection. A 2xx response means ready or done, a 4xx or 5xx one
// the opposite. A Server owns its listener and the goroutine that serves it.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// The request paths.
const (
	PathHealth  = "/admin/health"
	PathStats   = "/admin/stats"
	PathQuiesce = "/admin/quiesce"
	PathResume  = "/admin/resume"
)

const (
	readTimeout    = 4500 * time.Millisecond // for a complete request to arrive; some clients take 4 s
	writeTimeout   = 2 * time.Second         // for a response, from the end of the request's header
	maxHeaderBytes = 8 << 10
	stopTimeout    = 100 * time.Millisecond // for responses in progress when the server stops
)

// A Scheduler is the scheduler that the requests control. Its methods may be called from any goroutine and must not
// block.
type Scheduler interface {
	// Ready reports whether the scheduler serves clients.
	Ready() bool
	// Quiesce takes the scheduler out of service. It does nothing if the scheduler is out of service.
	Quiesce()
	// Resume puts the scheduler back into service. It does nothing if the scheduler is in service.
	Resume()
}

// A Server serves requests to the operators' address.
type Server struct {
	http     *http.Server
	listener *boundedListener
	served   chan struct{} // closed when the address is no longer served
}

// Listen starts to serve an address with at most the given number of connections. ctx applies to the start only. The
// metrics handler answers GET /admin/stats. An error names the configuration key of the address.
func Listen(
	ctx context.Context, address string, connections int, s Scheduler, metrics http.Handler, log *zap.Logger,
) (*Server, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin (LB_ADMIN): %w", err)
	}
	bounded := newBoundedListener(listener, connections)
	server := &Server{
		listener: bounded,
		served:   make(chan struct{}),
		http: &http.Server{
			Handler:        newHandler(s, metrics),
			ReadTimeout:    readTimeout,
			WriteTimeout:   readTimeout + writeTimeout, // the deadline starts at the accept for the first request
			MaxHeaderBytes: maxHeaderBytes,
			ConnContext:    bounded.connContext,
			ErrorLog:       zap.NewStdLog(zap.NewNop()), // invalid requests must not fill the log
		},
	}
	server.http.SetKeepAlivesEnabled(false)
	go server.serve(log)
	return server, nil
}

// serve accepts connections until the listener is closed.
func (s *Server) serve(log *zap.Logger) {
	defer close(s.served)
	if err := s.http.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("admin server: accept failed, the operators' address is no longer served", zap.Error(err))
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Stop shuts the server down and waits until it has ended. Responses in progress get stopTimeout to be written.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // an error of closing the listener, which Shutdown has already returned
	}
	<-s.served
}

// A route is the only method of a path, with its handler.
type route struct {
	method string
	handle http.HandlerFunc
}

// newHandler returns the handler of all requests. It answers 404 for an unknown path and 405 for a wrong method.
func newHandler(s Scheduler, metrics http.Handler) http.Handler {
	routes := map[string]route{
		PathHealth: {http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
			respondReady(w, s.Ready())
		}},
		PathStats: {http.MethodGet, metrics.ServeHTTP},
		PathQuiesce: {http.MethodPut, func(w http.ResponseWriter, _ *http.Request) {
			s.Quiesce()
			respond(w, http.StatusOK, "quiesced")
		}},
		PathResume: {http.MethodPut, func(w http.ResponseWriter, _ *http.Request) {
			s.Resume()
			respond(w, http.StatusOK, "resumed")
		}},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		markRequestReceived(r.Context())
		matched, known := routes[r.URL.Path]
		switch {
		case !known:
			respond(w, http.StatusNotFound, "no such path")
		case r.Method != matched.method:
			w.Header().Set("Allow", matched.method)
			respond(w, http.StatusMethodNotAllowed, "ask by "+matched.method)
		default:
			matched.handle(w, r)
		}
	})
}

// respondReady answers a readiness check: 200 if ready, 503 otherwise.
func respondReady(w http.ResponseWriter, ready bool) {
	if !ready {
		respond(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	respond(w, http.StatusOK, "ready")
}

// respond writes a response with one line of plain text.
func respond(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}
