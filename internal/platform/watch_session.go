package platform

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// A watchSession is a sequence of calls to one discovery, up to the first that fails.
type watchSession struct {
	watch       *endpointWatch
	discovery   string
	afterSwitch bool // the watch has just switched to this discovery
	client      *discoveryClient

	complete      bool            // the next call asks for the complete list
	synced        bool            // a response has been applied, and discovery has not lost count since
	pendingUpdate *endpointUpdate // what the core has to be told; nil: nothing but that the list is confirmed
}

// An endpointUpdate is a response in the module's terms.
type endpointUpdate struct {
	kind    foxlift.EndpointUpdate
	workers []foxlift.Worker
}

// run makes calls until one fails or ctx ends, and returns when that one was made.
func (s *watchSession) run(ctx context.Context) (calledAt time.Time, err error) {
	s.client = &discoveryClient{
		addr: s.discovery, dialTimeout: s.watch.pacer.DialTimeout(), onReading: s.watch.setReading,
	}
	defer s.client.close()
	// Discovery has little time for each of many schedulers, and a call costs it by the entry: only a
	// scheduler that has no list at all asks for the complete one.
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

// poll makes one call and applies its response.
func (s *watchSession) poll(ctx context.Context, calledAt time.Time) error {
	err := s.call(ctx)
	// The core is told of a response once the next call is out: nothing that happens here may delay that.
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
	if !response.Complete && *response.Version < version { // discovery has lost count
		s.complete, s.pendingUpdate, s.synced = true, nil, false
		return nil
	}
	if !s.synced {
		s.watch.log.Info("endpoint watch: synced with discovery", zap.String("discovery", s.discovery),
			zap.Int64("version", *response.Version))
	}
	workers, err := s.watch.applyResponse(ctx, response)
	if err != nil {
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

// call sends the next call to discovery. Its connection is recorded before that: the response may be there
// as soon as the call is out, and is binding from then on, however long the core is busy.
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

// nextCall returns the next call's target, and how long it may take.
func (s *watchSession) nextCall() (target string, timeout time.Duration) {
	if s.complete {
		return pathMembers, s.watch.completeTimeout()
	}
	hold := s.watch.pacer.WatchHold()
	version, answered := s.watch.progress()
	if !answered {
		hold = firstWatchHold // a discovery that is silent shows soon after the start
	}
	target = fmt.Sprintf("%s?%s=%d&%s=%d", pathMembers, queryIndex, version, queryWait, hold.Milliseconds())
	return target, s.watch.pacer.Timeout(hold)
}

// report tells the core of the last response.
func (s *watchSession) report() {
	switch {
	case s.pendingUpdate != nil:
		s.watch.observer.UpdateEndpoints(s.pendingUpdate.kind, s.pendingUpdate.workers)
	case s.synced:
		s.watch.observer.ConfirmEndpoints()
	}
}

// receive reads the response to the last call.
func (s *watchSession) receive() (*endpointsResponse, error) {
	response, err := s.client.receive(processResponseBound())
	if err == nil && s.complete && !response.Complete {
		return nil, responseError{fmt.Errorf("%w: the response is not the complete list", errInvalidEndpoints)}
	}
	return response, err
}
