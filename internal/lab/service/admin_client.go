package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// CallTimeout is the time limit of each call to the admin address.
const CallTimeout = time.Second

// AdminClient calls a scheduler's admin address as the platform does, with a new connection for each
// call.
type AdminClient struct{ Addr string }

// StatusError reports a response with a status other than 2xx.
type StatusError struct {
	Call   string
	Status int
}

// Error returns the call and the status of its response.
func (e *StatusError) Error() string { return fmt.Sprintf("%s returned status %d", e.Call, e.Status) }

// Health returns nil if the process is ready to serve, and an error otherwise.
func (c AdminClient) Health(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodGet, "/admin/health")
	return err
}

// Stats fetches the metrics.
func (c AdminClient) Stats(ctx context.Context) (Metrics, error) {
	text, err := c.call(ctx, http.MethodGet, "/admin/stats")
	if err != nil {
		return Metrics{}, err
	}
	return ParseMetrics(text)
}

// Quiesce takes the scheduler out of service: it stops being healthy and disconnects its clients.
func (c AdminClient) Quiesce(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPut, "/admin/quiesce")
	return err
}

// Resume puts the scheduler back into service.
func (c AdminClient) Resume(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPut, "/admin/resume")
	return err
}

// call makes one call to the admin address and returns the response's body.
func (c AdminClient) call(ctx context.Context, method, path string) (string, error) {
	return Fetch(ctx, method, "http://"+c.Addr+path)
}

// Fetch makes one HTTP call on a new connection, within CallTimeout, and returns the body of a 2xx
// response. Another status is a StatusError.
func Fetch(ctx context.Context, method, url string) (string, error) {
	limitedCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limitedCtx, method, url, nil)
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
