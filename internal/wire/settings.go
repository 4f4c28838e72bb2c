package wire

import (
	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

// ParseSettings parses the settings of an instance. It returns the configuration of its dispatcher and its name tables.
func ParseSettings(instance string, v *fastjson.Value) (*foxlift.Config, *NameTables, error) {
	settings, err := config.ParseSettings(v.MarshalTo(nil))
	if err != nil {
		return nil, nil, err
	}
	names := &NameTables{
		Instance: instance, workers: map[string]string{},
		classes: settings.Classes, tenants: settings.Tenants, zones: settings.Zones, kinds: settings.Kinds,
	}
	return &settings.Module, names, nil
}
