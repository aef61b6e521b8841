package simwire

import "opalhook/balancer"

// The simulator's values and the corresponding values of the balancer.
var (
	endpointStates = map[string]balancer.EndpointState{
		"IN":   balancer.Up,
		"LAME": balancer.Draining,
		"OUT":  balancer.Removed,
	}
	updateKinds = map[string]balancer.UpdateKind{
		"Partial":   balancer.UpdateDelta,
		"Complete":  balancer.UpdateSnapshot,
		"Persisted": balancer.UpdateCached,
		"Error":     balancer.UpdateFailed,
	}
	results = map[string]balancer.Result{
		"0":   balancer.OK,
		"255": balancer.ErrorResponse,
		"254": balancer.Overloaded,
		"253": balancer.TimedOut,
		"252": balancer.ConnectFailed,
		"251": balancer.Reset,
		"250": balancer.Cancelled,
		"249": balancer.NotSent,
	}
)

// Names of the numbers in a load report. Other names are ignored.
const (
	loadInFlight    = "outstanding"
	loadQueued      = "backlog"
	loadUtilization = "utilization"
)

// absent is the text of a value that is not set.
const absent = "-"
