// Package admin serves the operators' address: whether the scheduler is ready, its metrics, and taking
// it out of service and back. It is HTTP/1.1 with one request per connection: a 2xx means yes, a 4xx or
// 5xx no. A Server owns its listener and the goroutine that serves it.
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

// The paths of the requests.
const (
	PathHealth  = "/admin/health"
	PathStats   = "/admin/stats"
	PathQuiesce = "/admin/quiesce"
	PathResume  = "/admin/resume"
)

const (
	readTimeout    = 4500 * time.Millisecond // for a whole request to arrive; some clients take 4 s
	writeTimeout   = 2 * time.Second         // for a response, from the end of the request's header
	maxHeaderBytes = 8 << 10
	stopTimeout    = 100 * time.Millisecond // for the responses in progress when the server stops
)

// A Scheduler is what the requests act on. Its methods may be called on any goroutine and must return
// at once.
type Scheduler interface {
	// Ready reports whether clients are served.
	Ready() bool
	// Quiesce takes the scheduler out of service. While it is, another call changes nothing.
	Quiesce()
	// Resume ends that. Without a Quiesce before it, it changes nothing.
	Resume()
}

// A Server serves the operators' address.
type Server struct {
	http     *http.Server
	listener *boundedListener
	served   chan struct{} // closed when the address is no longer served
}

// Listen starts to serve an address, with a bound on its connections; ctx bounds the start alone. The
// metrics handler answers GET /admin/stats. The error says why the address cannot be listened on.
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
			WriteTimeout:   readTimeout + writeTimeout, // it counts from the accept for the first request
			MaxHeaderBytes: maxHeaderBytes,
			ConnContext:    bounded.connContext,
			ErrorLog:       zap.NewStdLog(zap.NewNop()), // what clients send must not fill the log
		},
	}
	server.http.SetKeepAlivesEnabled(false)
	go server.serve(log)
	return server, nil
}

func (s *Server) serve(log *zap.Logger) {
	defer close(s.served)
	if err := s.http.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("admin: the operators' address is no longer served", zap.Error(err))
	}
}

// Addr returns the address that is served.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Stop ends the server. Responses in progress have a moment to be written.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // an error of the listener's close, which Shutdown has told of
	}
	<-s.served
}

// An endpoint is a path's one method and its handler.
type route struct {
	method string
	handle http.HandlerFunc
}

// newHandler answers each request: an unknown path with 404, another method than the path's with 405.
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

func respondReady(w http.ResponseWriter, ready bool) {
	if !ready {
		respond(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	respond(w, http.StatusOK, "ready")
}

func respond(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}
