package foxlift

import (
	"fmt"
	"math"
)

// The check that settings are finite numbers. Nothing is decided here.

// A namedValue is a setting, or a product of settings, with its name for an error.
type namedValue struct {
	name  string
	value float64
}

// checkFinite returns an error that names the first field of c that is infinite or not a number. A product that a field
// is a factor of is checked with it, since decisions use the product.
func (c *Config) checkFinite() error {
	for _, field := range c.floatFields() {
		if !isFinite(field.value) {
			return fmt.Errorf("foxlift: %s is not a finite number: %v", field.name, field.value)
		}
	}
	return nil
}

// floatFields returns all settings that are floating-point numbers, and their product that decisions use.
func (c *Config) floatFields() (fields []namedValue) {
	for i := range c.Classes {
		class := &c.Classes[i]
		fields = append(fields,
			namedValue{fmt.Sprintf("Classes[%d].ObjectiveStretch", i), class.ObjectiveStretch},
			namedValue{fmt.Sprintf("Classes[%d].PriorityWeight", i), class.PriorityWeight})
	}
	for i, tenant := range c.Tenants {
		fields = append(fields, namedValue{fmt.Sprintf("Tenants[%d].Quota", i), tenant.Quota})
	}
	for i, band := range c.Bands {
		fields = append(fields, namedValue{fmt.Sprintf("Bands[%d].Width", i), band.Width})
		for _, ratio := range band.Ratio {
			fields = append(fields, namedValue{fmt.Sprintf("Bands[%d].Ratio", i), ratio})
		}
	}
	return append(fields,
		namedValue{"SlowStartCapacity", c.SlowStartCapacity},
		namedValue{"SlotMemory", c.SlotMemory},
		namedValue{"OverloadMultiple", c.OverloadMultiple},
		namedValue{"OverloadMultiple times SlowStartCapacity", c.OverloadMultiple * c.SlowStartCapacity},
		namedValue{"Prices.CrossZone", c.Prices.CrossZone},
		namedValue{"Prices.Handshake", c.Prices.Handshake},
		namedValue{"Prices.Fetch", c.Prices.Fetch})
}

// isFinite reports whether a value is neither infinite nor NaN.
func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
