package wire

import (
	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

// Settings returns the module's configuration of an instance's settings, and the tables of its names.
func Settings(instance string, v *fastjson.Value) (*foxlift.Config, *Names, error) {
	s, err := config.ParseSettings(v.MarshalTo(nil))
	if err != nil {
		return nil, nil, err
	}
	n := &Names{
		Instance: instance, workers: map[string]string{},
		classes: s.Classes, tenants: s.Tenants, zones: s.Zones, kinds: s.Kinds,
	}
	return &s.Module, n, nil
}
