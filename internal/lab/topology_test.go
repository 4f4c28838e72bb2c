package lab

import (
	"encoding/json"
	"testing"

	"github.com/vatu-meals/foxlift/internal/config"
)

// The scheduler's parser accepts the settings of each deployment of the lab.
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
				t.Errorf("%s: ParseSettings() of scheduler %d: %v", name, scheduler, err)
			}
		}
		if topology.Schedulers == 0 {
			t.Errorf("%s: topology has 0 schedulers, want at least 1", name)
		}
	}
}
