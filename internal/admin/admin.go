// Package admin serves the operators' second address: whether the scheduler is ready, its figures,
// and draining it. HTTP/1.1, one call per connection: a 2xx means yes, a 4xx or 5xx no.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Paths of the calls.
const (
	PathHealth  = "/admin/health"
	PathStats   = "/admin/stats"
	PathQuiesce = "/admin/quiesce"
	PathResume  = "/admin/resume"
)

const (
	readTimeout    = 4500 * time.Millisecond // for a whole call to come; some callers hold on for 4 s
	writeTimeout   = 2 * time.Second         // for an answer, from the end of the call's head
	maxHeaderBytes = 8 << 10                 // bytes of a call's head
	stopTimeout    = 100 * time.Millisecond  // for the answers under way when the server stops
)

// A Scheduler is what the calls act on. Its methods may be called on any goroutine and must
// return at once.
type Scheduler interface {
	// Ready reports whether clients are served.
	Ready() bool
	// Quiesce sends clients away. Another call while it holds changes nothing.
	Quiesce()
	// Resume ends that. Without a Quiesce before it, it changes nothing.
	Resume()
}

// A Server serves the second address.
type Server struct {
	http     *http.Server
	listener *boundedListener
}

// Listen starts to serve at an address, with so many connections at most. figures answers
// GET /admin/stats. The error says why the address cannot be listened on.
func Listen(address string, connections int, s Scheduler, figures http.Handler, log *zap.Logger) (*Server, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin (LB_ADMIN): %w", err)
	}
	bounded := newBoundedListener(listener, connections)
	a := &Server{listener: bounded, http: &http.Server{
		Handler:        routes(s, figures),
		ReadTimeout:    readTimeout,
		WriteTimeout:   readTimeout + writeTimeout, // it counts from the accept for the first call
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    bounded.connContext,
		ErrorLog:       zap.NewStdLog(zap.NewNop()), // what callers send must not fill the log
	}}
	a.http.SetKeepAlivesEnabled(false)
	go func() {
		if err := a.http.Serve(bounded); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("the second address is no longer served", zap.Error(err))
		}
	}()
	return a, nil
}

// Addr returns the address that is served.
func (a *Server) Addr() net.Addr { return a.listener.Addr() }

// Stop ends the server. Answers under way have a moment to be written.
func (a *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if a.http.Shutdown(ctx) != nil {
		a.http.Close()
	}
}

// A route is a path's one method and its handler.
type route struct {
	method string
	handle http.HandlerFunc
}

// routes answers each call: an unknown path with 404, another method than the path's with 405.
func routes(s Scheduler, figures http.Handler) http.Handler {
	table := map[string]route{
		PathHealth:  {http.MethodGet, func(w http.ResponseWriter, _ *http.Request) { respondReady(w, s.Ready()) }},
		PathStats:   {http.MethodGet, figures.ServeHTTP},
		PathQuiesce: {http.MethodPut, func(w http.ResponseWriter, _ *http.Request) { s.Quiesce(); respond(w, http.StatusOK, "quiesced") }},
		PathResume:  {http.MethodPut, func(w http.ResponseWriter, _ *http.Request) { s.Resume(); respond(w, http.StatusOK, "resumed") }},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		markRequestReceived(r.Context())
		found, known := table[r.URL.Path]
		switch {
		case !known:
			respond(w, http.StatusNotFound, "no such path")
		case r.Method != found.method:
			w.Header().Set("Allow", found.method)
			respond(w, http.StatusMethodNotAllowed, "ask by "+found.method)
		default:
			found.handle(w, r)
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
	io.WriteString(w, text+"\n")
}
