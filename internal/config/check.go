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

// maxSettingValue bounds every duration, in nanoseconds, and every count in the settings, so that sums and
// multiples of them do not overflow.
const maxSettingValue = int64(30 * 24 * time.Hour)

// keyTTLMargin is subtracted from the deduplication window of a class. It covers the time from the write of the
// last byte of a repeated job until the worker has it, and the difference between clocks.
const keyTTLMargin = int64(100 * time.Millisecond)

// checkScheduler checks the settings of the real scheduler and sets the values that follow from running on
// sockets: PollEndpoints, EndpointLease and, reduced by keyTTLMargin, the KeyTTL of deduplicated classes. The
// simulator's adapter does not call it: there the decision module checks its own configuration.
func (s *Settings) checkScheduler() error {
	for _, check := range []func() error{
		s.checkFleet, s.checkClasses, s.checkTenants, s.checkDurationsAndCounts, s.checkFractionsAndPrices, s.checkReports,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	module := &s.Module
	module.PollEndpoints = true // sockets only support polling, whatever the simulator is configured to use
	module.EndpointLease = int64(pollpacing.MaxPropagationDelay + leaseMargin)
	for i := range module.Classes {
		if class := &module.Classes[i]; class.Effect == foxlift.Deduplicated {
			class.KeyTTL = max(0, class.KeyTTL-keyTTLMargin)
		}
	}
	return nil
}

// leaseMargin is the time by which the endpoint list's lease exceeds MaxPropagationDelay. It uses a part of the
// drain grace; the rest of the drain grace covers a pause of the process.
const leaseMargin = 300 * time.Millisecond

// checkFleet checks the settings of this scheduler and of the fleet as a whole.
func (s *Settings) checkFleet() error {
	module := &s.Module
	switch {
	case len(module.Classes) == 0:
		return errors.New("grades: at least one class is required")
	case module.Dispatchers > foxlift.MaxDispatchers:
		return fmt.Errorf("balancers: %d is over the maximum of %d", module.Dispatchers, foxlift.MaxDispatchers)
	case module.Index < 0 || module.Index >= module.Dispatchers:
		return fmt.Errorf("slotNo: %d is negative or not less than balancers (%d)", module.Index, module.Dispatchers)
	case s.Discovery != "" && !slices.Contains(discoveryModes, s.Discovery):
		return fmt.Errorf("discovery: %q is not one of %s", s.Discovery, strings.Join(discoveryModes, ", "))
	case s.Zone != "" && len(s.Zones) > 0 && module.Zone < 0:
		return fmt.Errorf("zone: %q is not in dcs", s.Zone)
	}
	if module.SlowStartCapacity > 1 {
		return fmt.Errorf("obligations.startCapacity: %g is over 1", module.SlowStartCapacity)
	}
	return nil
}

// checkClasses checks the values of each class, and that class names are unique.
func (s *Settings) checkClasses() error {
	module := &s.Module
	for i, class := range module.Classes {
		switch {
		case class.Name == "":
			return fmt.Errorf("grades[%d].name: must not be empty", i)
		case s.Classes[class.Name] != i:
			return fmt.Errorf("grades[%d].name: %q is also the name of another class", i, class.Name)
		case class.LatencyObjective <= 0:
			return fmt.Errorf("grades[%d].aim: %d is not greater than 0", i, class.LatencyObjective)
		case class.Deadline <= 0:
			return fmt.Errorf("grades[%d].deadline: %d is not greater than 0", i, class.Deadline)
		case class.ObjectiveStretch < 0:
			return fmt.Errorf("grades[%d].aimStretch, familyInfo.classStretch[%d]: sum %g is negative",
				i, i, class.ObjectiveStretch)
		case math.IsInf(class.ObjectiveStretch, 0):
			return fmt.Errorf("grades[%d].aimStretch, familyInfo.classStretch[%d]: sum is not finite", i, i)
		case class.KeyTTL < 0:
			return fmt.Errorf("grades[%d].keyTtl: %d is negative", i, class.KeyTTL)
		case max(class.LatencyObjective, class.Deadline, class.KeyTTL) > maxSettingValue:
			return fmt.Errorf("grades[%d]: aim, deadline or keyTtl is over the maximum of %v",
				i, time.Duration(maxSettingValue))
		case class.Kind < -1 || class.Kind >= max(1, len(s.Kinds)):
			return fmt.Errorf("familyInfo.classKind[%d]: %d is not the index of a kind in flavors", i, class.Kind)
		}
	}
	return nil
}

// checkTenants checks that tenant names are unique and quotas are not negative.
func (s *Settings) checkTenants() error {
	module := &s.Module
	for i, tenant := range module.Tenants {
		if s.Tenants[tenant.Name] != i {
			return fmt.Errorf("projects[%d].name: %q is also the name of another tenant", i, tenant.Name)
		}
		if tenant.Quota < 0 || math.IsNaN(tenant.Quota) {
			return fmt.Errorf("projects[%d].quotaRps: %g is negative or not a number", i, tenant.Quota)
		}
	}
	return nil
}

// checkDurationsAndCounts checks that each duration and count in its list is from 0 to maxSettingValue.
func (s *Settings) checkDurationsAndCounts() error {
	module := &s.Module
	for _, setting := range []struct {
		key   string
		value int64
	}{
		{"bounds.connectTimeout", int64(s.ConnectTimeout)},
		{"bounds.connIdle", module.ConnIdle},
		{"bounds.maxRetryAfter", module.MaxRetryAfter},
		{"obligations.graceToAnswer", module.AnswerGrace},
		{"obligations.mustAskIn", module.MaxPollInterval},
		{"obligations.warmAfter", module.SlowStartDuration},
		{"obligations.fall", module.OverloadWindow},
		{"bounds.maxOpen", int64(s.MaxOpen)},
		{"bounds.maxAttempts", int64(module.MaxAttempts)},
	} {
		if setting.value < 0 {
			return fmt.Errorf("%s: %d is negative", setting.key, setting.value)
		}
		if setting.value > maxSettingValue {
			return fmt.Errorf("%s: %d is over the maximum of %d", setting.key, setting.value, maxSettingValue)
		}
	}
	return nil
}

// checkFractionsAndPrices checks that no fraction, factor or price is negative.
func (s *Settings) checkFractionsAndPrices() error {
	module := &s.Module
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"obligations.startCapacity", module.SlowStartCapacity},
		{"obligations.fallMultiple", module.OverloadMultiple},
		{"prices.crossZone", module.Prices.CrossZone},
		{"prices.handshake", module.Prices.Handshake},
		{"prices.origin", module.Prices.Fetch},
	} {
		if setting.value < 0 {
			return fmt.Errorf("%s: %g is negative", setting.key, setting.value)
		}
	}
	return nil
}

// checkReports checks that the names of the values in a load report are unique and not empty, and that there are
// at most foxlift.MaxGauges.
func (s *Settings) checkReports() error {
	module := &s.Module
	for i, name := range s.GaugeNames {
		if name == "" || slices.Contains(s.GaugeNames[:i], name) {
			return fmt.Errorf("report.names[%d]: %q is empty or a duplicate", i, name)
		}
	}
	if len(module.Gauges) > foxlift.MaxGauges {
		return fmt.Errorf("report.names: %d names, at most %d are allowed", len(module.Gauges), foxlift.MaxGauges)
	}
	return nil
}
