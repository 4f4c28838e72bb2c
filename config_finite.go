package foxlift

import (
	"fmt"
	"math"
)

// The check that settings are finite numbers. Nothing is decided here.

// checkFinite returns an error that names the first field of c that is infinite or not a number. A product that a field
// is a factor of is checked with it, since decisions use the product.
func (c *Config) checkFinite() error {
	for i := range c.Classes {
		class := &c.Classes[i]
		if err := checkFinite("Classes", i, "ObjectiveStretch", class.ObjectiveStretch); err != nil {
			return err
		}
		if err := checkFinite("Classes", i, "PriorityWeight", class.PriorityWeight); err != nil {
			return err
		}
	}
	for i, tenant := range c.Tenants {
		if err := checkFinite("Tenants", i, "Quota", tenant.Quota); err != nil {
			return err
		}
	}
	for i, band := range c.Bands {
		if err := checkFinite("Bands", i, "Width", band.Width); err != nil {
			return err
		}
		for _, ratio := range band.Ratio {
			if err := checkFinite("Bands", i, "Ratio", ratio); err != nil {
				return err
			}
		}
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"SlowStartCapacity", c.SlowStartCapacity},
		{"SlotMemory", c.SlotMemory},
		{"OverloadMultiple", c.OverloadMultiple},
		{"OverloadMultiple times SlowStartCapacity", c.OverloadMultiple * c.SlowStartCapacity},
		{"Prices.CrossZone", c.Prices.CrossZone},
		{"Prices.Handshake", c.Prices.Handshake},
		{"Prices.Fetch", c.Prices.Fetch},
	} {
		if !isFinite(field.value) {
			return fmt.Errorf("foxlift: %s is not a finite number: %v", field.name, field.value)
		}
	}
	return nil
}

// checkFinite returns an error that names a field of an element of a list if its value is not finite.
func checkFinite(list string, index int, field string, value float64) error {
	if isFinite(value) {
		return nil
	}
	return fmt.Errorf("foxlift: %s[%d].%s is not a finite number: %v", list, index, field, value)
}

// isFinite reports whether a value is neither infinite nor NaN.
func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
