package platform

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// watchSession makes calls to one discovery until a call fails.
type watchSession struct {
	watch       *endpointWatch
	discovery   string
	afterSwitch bool // the watch has just switched to this discovery
	client      *discoveryClient

	complete      bool            // the next call requests the complete list
	synced        bool            // a response has been applied, and discovery has not returned a lower version since
	pendingUpdate *endpointUpdate // update to report to the core; nil: a synced session only confirms the list
}

// endpointUpdate is a response as the decision module represents it.
type endpointUpdate struct {
	kind    foxlift.EndpointUpdate
	workers []foxlift.Worker
}

// run makes calls until one fails or ctx is done. It returns the time at which the failed call was made, and its error.
func (s *watchSession) run(ctx context.Context) (calledAt time.Time, err error) {
	s.client = &discoveryClient{
		addr: s.discovery, dialTimeout: s.watch.pacer.DialTimeout(), onReading: s.watch.setReading,
	}
	defer s.client.close()
	// Discovery serves many schedulers, and the cost of a response grows with its entries. So a session requests
	// the complete list only if needComplete is set, for example while the scheduler has no list at all.
	s.watch.mu.Lock()
	s.complete = s.watch.needComplete
	s.watch.mu.Unlock()
	for {
		calledAt = time.Now()
		if err := s.poll(ctx, calledAt); err != nil {
			return calledAt, err
		}
	}
}

// poll makes one call and applies its response. A response with changes and a lower version than the table's is not
// applied; the next call then requests the complete list. poll also reports the previous call's response to the core.
func (s *watchSession) poll(ctx context.Context, calledAt time.Time) error {
	err := s.call(ctx)
	// The last response is reported to the core after the next call was sent, because the core may be busy and
	// must not delay that call.
	s.report()
	if err != nil {
		return err
	}
	response, err := s.receive()
	if err != nil {
		s.watch.requireCompleteIfOversized(err)
		return err
	}
	version, answered := s.watch.progress()
	if !response.Complete && *response.Version < version { // the version has decreased: request the complete list
		s.complete, s.pendingUpdate, s.synced = true, nil, false
		return nil
	}
	if !s.synced {
		s.watch.log.Info("endpoint watch: synced with discovery", zap.String("discovery", s.discovery),
			zap.Int64("version", *response.Version))
	}
	workers, err := s.watch.applyResponse(ctx, response)
	if err != nil {
		s.watch.requireCompleteIfOversized(err)
		return err
	}
	s.complete, s.synced, s.pendingUpdate = false, true, nil
	switch {
	case response.Complete:
		s.pendingUpdate = &endpointUpdate{foxlift.EndpointsComplete, workers}
	case len(response.Endpoints) > 0 || !answered:
		s.pendingUpdate = &endpointUpdate{foxlift.EndpointsDelta, workers}
	}
	s.watch.pacer.NextDelay(pollpacing.Answered, time.Since(calledAt))
	return nil
}

// call sends the next call to discovery. It records the connection before that, because the response may arrive as
// soon as the call is sent. From its arrival until it is in the table attempts wait for it (findLive), so that it is in
// force for them even while the core is busy.
func (s *watchSession) call(ctx context.Context) error {
	target, timeout := s.nextCall()
	if err := s.client.connect(ctx); err != nil {
		return err
	}
	s.watch.mu.Lock()
	s.watch.unread.conn = s.client.conn
	s.watch.mu.Unlock()
	return s.client.send(target, timeout)
}

// nextCall returns the request target of the next call, and its timeout, which includes the hold of a watch.
func (s *watchSession) nextCall() (target string, timeout time.Duration) {
	if s.complete {
		return pathMembers, s.watch.completeTimeout()
	}
	hold := s.watch.pacer.WatchHold()
	version, answered := s.watch.progress()
	if !answered {
		hold = firstWatchHold // detects a silent discovery soon after the start
	}
	target = fmt.Sprintf("%s?%s=%d&%s=%d", pathMembers, queryIndex, version, queryWait, hold.Milliseconds())
	return target, s.watch.pacer.Timeout(hold)
}

// report reports the last response to the observer. It does nothing if the session is not synced.
func (s *watchSession) report() {
	switch {
	case s.pendingUpdate != nil:
		s.watch.observer.UpdateEndpoints(s.pendingUpdate.kind, s.pendingUpdate.workers)
	case s.synced:
		s.watch.observer.ConfirmEndpoints()
	}
}

// receive reads the response to the last call. It fails if a call for the complete list returns only changes.
func (s *watchSession) receive() (*endpointsResponse, error) {
	response, err := s.client.receive(processResponseBound())
	if err == nil && s.complete && !response.Complete {
		return nil, responseError{fmt.Errorf("%w: the response is not the complete list", errInvalidEndpoints)}
	}
	return response, err
}
