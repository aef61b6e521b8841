package settings

import (
	"errors"
	"fmt"

	"opalhook/balancer"
)

// platformNames are the platform's names of the balancer's settings, as paths in the settings object.
var platformNames = map[string]string{
	"NodeCount":                "instances",
	"NodeIndex":                "me",
	"Classes":                  "lanes",
	"SlowStartInitialFraction": "rules.coldFrom",
	"SlowStartDuration":        "rules.rampTime",
	"OverloadFactor":           "rules.fallMultiple",
	"OverloadWindow":           "rules.overloadFor",
	"MaxAttempts":              "policyLimits.mostTries",
	"PeerMessagesPerSecond":    "familyInfo.inboxPerS",
	"Tick":                     "tick",
	"DrainTimeout":             "rules.drainGrace",
	"Name":                     "name",
	"LatencyObjective":         "onTime",
	"Deadline":                 "deadline",
	"DedupWindow":              "memorySpan",
	"PriorityWeight":           "worth",
	"Rate":                     "quotaRate",
	"Burst":                    "peakUnits",
	"MaxConcurrent":            "maxOut",
	"HardLimitRate":            "neverOverRate",
	"HardLimitBurst":           "hardBurst",
	"HardLimitSlack":           "capSlack",
}

// PlatformError gives a [balancer.SettingError] the platform's name of the field, under which operators configured it.
// Other errors are returned as they are.
func PlatformError(err error) error {
	var setting *balancer.SettingError
	if !errors.As(err, &setting) {
		return err
	}
	name, known := platformNames[setting.Field]
	if !known {
		return err
	}
	translated := *setting
	translated.Field = name
	return fmt.Errorf("settings: %w", &translated)
}
