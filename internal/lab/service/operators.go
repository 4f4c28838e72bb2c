package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// AnswerLimit is the time limit of each call to the operators' address.
const CallTimeout = time.Second

// Operators calls a scheduler's operators' address as the platform does: one call on each
// connection.
type AdminClient struct{ Addr string }

// A StatusError is an answer whose status is not 2xx.
type StatusError struct {
	Call   string
	Status int
}

// Error names the call and its answer.
func (e *StatusError) Error() string { return fmt.Sprintf("%s was answered %d", e.Call, e.Status) }

// Health returns nil if the process is ready to serve.
func (o AdminClient) Health(ctx context.Context) error {
	_, err := o.call(ctx, http.MethodGet, "/admin/health")
	return err
}

// Stats fetches the figures.
func (o AdminClient) Stats(ctx context.Context) (Metrics, error) {
	text, err := o.call(ctx, http.MethodGet, "/admin/stats")
	if err != nil {
		return Metrics{}, err
	}
	return ParseMetrics(text)
}

// Quiesce takes the scheduler out of service: it disconnects its clients.
func (o AdminClient) Quiesce(ctx context.Context) error {
	_, err := o.call(ctx, http.MethodPut, "/admin/quiesce")
	return err
}

// Resume takes the scheduler back into service.
func (o AdminClient) Resume(ctx context.Context) error {
	_, err := o.call(ctx, http.MethodPut, "/admin/resume")
	return err
}

// call makes one call and returns its body.
func (o AdminClient) call(ctx context.Context, method, path string) (string, error) {
	return Fetch(ctx, method, "http://"+o.Addr+path)
}

// Fetch makes one call on a connection of its own, within AnswerLimit, and returns the body
// of a 2xx.
func Fetch(ctx context.Context, method, url string) (string, error) {
	limited, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, method, url, nil)
	if err != nil {
		return "", err
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode/100 != 2 {
		return "", &StatusError{method + " " + url, response.StatusCode}
	}
	return string(body), nil
}
