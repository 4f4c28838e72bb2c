package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// maxTime bounds every time in the settings: sums and multiples of them stay numbers.
const maxSettingValue = int64(30 * 24 * time.Hour)

// keyTTLMargin is the time that a repeat of a deduplicated job may take from the write of its last byte
// to the worker, and by which clocks may differ: so much sooner the window counts as over.
const keyTTLMargin = int64(100 * time.Millisecond)

// checkScheduler checks the settings of the real scheduler and completes them: the simulator's adapter
// leaves the checks to the module.
func (s *Settings) checkScheduler() error {
	for _, check := range []func() error{
		s.checkFleet, s.checkClasses, s.checkTenants, s.checkDurationsAndCounts, s.checkFractionsAndPrices, s.checkReports,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	module := &s.Module
	module.PollEndpoints = true // on sockets there is no other way, whatever the simulator has
	module.EndpointLease = int64(pollpacing.MaxPropagationDelay + leaseMargin)
	for i := range module.Classes {
		if k := &module.Classes[i]; k.Effect == foxlift.Deduplicated {
			k.KeyTTL = max(0, k.KeyTTL-keyTTLMargin)
		}
	}
	return nil
}

// leaseGrace is the part of the drain grace by which the endpoint list's lease is longer than the time
// after which changes bind. The rest covers a process that is paused.
const leaseMargin = 300 * time.Millisecond

// checkFleet checks the settings of the scheduler itself and of the fleet.
func (s *Settings) checkFleet() error {
	c := &s.Module
	switch {
	case len(c.Classes) == 0:
		return errors.New("grades: none given")
	case c.Dispatchers > foxlift.MaxDispatchers:
		return fmt.Errorf("balancers: over %d", foxlift.MaxDispatchers)
	case c.Index < 0 || c.Index >= c.Dispatchers:
		return errors.New("slotNo: not under balancers")
	case s.Discovery != "" && !slices.Contains(discoveryModes, s.Discovery):
		return fmt.Errorf("discovery: %q is not one of %s", s.Discovery, strings.Join(discoveryModes, ", "))
	case s.Zone != "" && len(s.Zones) > 0 && c.Zone < 0:
		return fmt.Errorf("zone: %q is not one of dcs", s.Zone)
	}
	if c.SlowStartCapacity > 1 {
		return errors.New("obligations.startCapacity: over 1")
	}
	return nil
}

// checkClasses checks each class.
func (s *Settings) checkClasses() error {
	c := &s.Module
	for i, k := range c.Classes {
		switch {
		case k.Name == "":
			return fmt.Errorf("grades[%d].name: empty", i)
		case s.Classes[k.Name] != i:
			return fmt.Errorf("grades[%d].name: %q is there twice", i, k.Name)
		case k.LatencyObjective <= 0:
			return fmt.Errorf("grades[%d].aim: must be over 0", i)
		case k.Deadline <= 0:
			return fmt.Errorf("grades[%d].deadline: must be over 0", i)
		case k.ObjectiveStretch < 0:
			return fmt.Errorf("grades[%d].aimStretch, familyInfo.classStretch[%d]: negative", i, i)
		case k.KeyTTL < 0:
			return fmt.Errorf("grades[%d].keyTtl: negative", i)
		case max(k.LatencyObjective, k.Deadline, k.KeyTTL) > maxSettingValue:
			return fmt.Errorf("grades[%d]: a time of over %v", i, time.Duration(maxSettingValue))
		case k.Kind < -1 || k.Kind >= max(1, len(s.Kinds)):
			return fmt.Errorf("familyInfo.classKind[%d]: no such kind", i)
		}
	}
	return nil
}

// checkTenants checks each tenant.
func (s *Settings) checkTenants() error {
	c := &s.Module
	for i, t := range c.Tenants {
		if s.Tenants[t.Name] != i {
			return fmt.Errorf("projects[%d].name: %q is there twice", i, t.Name)
		}
		if t.Quota < 0 || math.IsNaN(t.Quota) {
			return fmt.Errorf("projects[%d].quotaRps: negative", i)
		}
	}
	return nil
}

// checkTimes checks that each time and number is within its bounds.
func (s *Settings) checkDurationsAndCounts() error {
	c := &s.Module
	for _, f := range []struct {
		key   string
		value int64
	}{
		{"bounds.connectTimeout", int64(s.ConnectTimeout)},
		{"bounds.connIdle", c.ConnIdle},
		{"bounds.maxRetryAfter", c.MaxRetryAfter},
		{"obligations.graceToAnswer", c.AnswerGrace},
		{"obligations.mustAskIn", c.MaxPollInterval},
		{"obligations.warmAfter", c.SlowStartDuration},
		{"obligations.fall", c.OverloadWindow},
		{"bounds.maxOpen", int64(s.MaxOpen)},
		{"bounds.maxAttempts", int64(c.MaxAttempts)},
	} {
		if f.value < 0 {
			return fmt.Errorf("%s: negative", f.key)
		}
		if f.value > maxSettingValue {
			return fmt.Errorf("%s: over %v", f.key, time.Duration(maxSettingValue))
		}
	}
	return nil
}

// checkFigures checks that no fraction or price is negative.
func (s *Settings) checkFractionsAndPrices() error {
	c := &s.Module
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"obligations.startCapacity", c.SlowStartCapacity},
		{"obligations.fallMultiple", c.OverloadMultiple},
		{"prices.crossZone", c.Prices.CrossZone},
		{"prices.handshake", c.Prices.Handshake},
		{"prices.origin", c.Prices.Fetch},
	} {
		if f.value < 0 {
			return fmt.Errorf("%s: negative", f.key)
		}
	}
	return nil
}

// checkReports checks the names of a load report's values.
func (s *Settings) checkReports() error {
	c := &s.Module
	for i, name := range s.GaugeNames {
		if name == "" || slices.Contains(s.GaugeNames[:i], name) {
			return fmt.Errorf("report.names[%d]: %q is empty or there twice", i, name)
		}
	}
	if len(c.Gauges) > foxlift.MaxGauges {
		return fmt.Errorf("report.names: more than %d", foxlift.MaxGauges)
	}
	return nil
}
