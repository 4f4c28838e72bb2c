package lab

import (
	"encoding/json"
	"testing"

	"github.com/vatu-meals/foxlift/internal/config"
)

// A scheduler takes the settings of each deployment that the lab starts schedulers for.
func TestSettingsAreValid(t *testing.T) {
	for name, topology := range map[string]Topology{
		"speed": speedTopology(), "cells": twelveWorkerTopology(fourCellsOperator), "lending": lendingTopology(),
	} {
		for scheduler := range topology.Schedulers {
			text, err := json.Marshal(topology.Settings(scheduler))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := config.ParseSettings(text); err != nil {
				t.Errorf("%s: scheduler %d: %v", name, scheduler, err)
			}
		}
		if topology.Schedulers == 0 {
			t.Errorf("%s: no scheduler", name)
		}
	}
}
