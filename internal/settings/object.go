package settings

// object is the platform's settings object with the platform's names. Unknown keys are ignored. Times are in
// seconds and rates are per second.
type object struct {
	Instances    int            `json:"instances"`
	Me           int            `json:"me"`
	Zone         string         `json:"zone"`
	Tick         float64        `json:"tick"`
	RegistryMode string         `json:"registryMode"`
	FamilyInfo   familyObject   `json:"familyInfo"`
	Feedback     feedbackObject `json:"feedback"`
	Lanes        []laneObject   `json:"lanes"`
	Penalties    penaltyObject  `json:"penalties"`
	PolicyLimits limitsObject   `json:"policyLimits"`
	Rules        rulesObject    `json:"rules"`
	Tariffs      []tariffObject `json:"tariffs"`
}

// familyObject describes the fleet's peer messages and the metering of requests.
type familyObject struct {
	InboxPerS float64 `json:"inboxPerS"` // peer messages per second that a node can receive; 0: unlimited
	UnitsTop  float64 `json:"unitsTop"`  // largest number of quota units of a request; 0: unknown
	PostPaid  bool    `json:"postPaid"`  // whether a request's units are an estimate until its first OK
}

// feedbackObject describes how app servers report their load.
type feedbackObject struct {
	How string `json:"how"` // a key of loadReportModes
}

// laneObject describes a class of requests.
type laneObject struct {
	Name        string  `json:"name"`
	Idempotency string  `json:"idempotency"` // a key of idempotencies
	KeyScope    string  `json:"keyScope"`    // a key of dedupScopes
	MemorySpan  float64 `json:"memorySpan"`
	OnTime      float64 `json:"onTime"`
	Deadline    float64 `json:"deadline"`
	Worth       float64 `json:"worth"`
	LateWorth   float64 `json:"lateWorth"` // fraction of worth
	Streamed    bool    `json:"streamed"`
}

// penaltyObject contains the prices of a node's actions, in points.
type penaltyObject struct {
	CrossZone float64 `json:"crossZone"`
	Peer      float64 `json:"peer"`
	Probe     float64 `json:"probe"`
	Waste     float64 `json:"waste"`
}

// limitsObject contains the actions that a node is allowed to take, and their limits.
type limitsObject struct {
	Cancel         bool    `json:"cancel"`
	ParallelTries  bool    `json:"parallelTries"`
	Peers          bool    `json:"peers"`
	Probes         bool    `json:"probes"`
	RetryAfter     bool    `json:"retryAfter"`
	MostTries      int     `json:"mostTries"`
	MaxRetryAfter  float64 `json:"maxRetryAfter"`
	ConnIdle       float64 `json:"connIdle"`
	ConnectTimeout float64 `json:"connectTimeout"`
}

// rulesObject contains intervals and timeouts, and the behavior of cold and overloaded app servers.
type rulesObject struct {
	AnswerSlack  float64 `json:"answerSlack"`
	AskWithin    float64 `json:"askWithin"`
	DrainGrace   float64 `json:"drainGrace"`
	ColdFrom     float64 `json:"coldFrom"` // fraction of the capacity
	RampTime     float64 `json:"rampTime"`
	FallMultiple float64 `json:"fallMultiple"` // multiple of the capacity
	OverloadFor  float64 `json:"overloadFor"`
}

// tariffObject describes a plan. Rates and bursts are in quota units.
type tariffObject struct {
	Name          string  `json:"name"`
	QuotaRate     float64 `json:"quotaRate"`
	PeakUnits     float64 `json:"peakUnits"`
	NeverOverRate float64 `json:"neverOverRate"`
	HardBurst     float64 `json:"hardBurst"`
	CapSlack      float64 `json:"capSlack"`
	MaxOut        int     `json:"maxOut"`
	WorthFactor   float64 `json:"worthFactor"`
	ExtraWorth    float64 `json:"extraWorth"` // fraction of the request's worth
	OverCost      float64 `json:"overCost"`   // fraction of the request's worth
}
