package settings

import (
	"errors"
	"fmt"

	"opalhook/balancer"
)

// platformNames maps the balancer's names of settings to the platform's names. A platform's name is the path
// in the settings object. For a setting of a class or a plan it is the key in the class or plan.
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

// PlatformError replaces the field name of a [balancer.SettingError] by the platform's name, which operators
// use in the configuration. It returns other errors unchanged.
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
