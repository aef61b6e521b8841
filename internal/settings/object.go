package settings

// object mirrors the platform's settings object under the platform's names; keys that are not named here are skipped.
// Times are in seconds, rates a second.
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

type familyObject struct {
	InboxPerS float64 `json:"inboxPerS"` // messages
	UnitsTop  float64 `json:"unitsTop"`  // quota units
	PostPaid  bool    `json:"postPaid"`
}

type feedbackObject struct {
	How string `json:"how"` // a key of loadReportModes
}

// laneObject is a class of requests.
type laneObject struct {
	Name        string  `json:"name"`
	Idempotency string  `json:"idempotency"` // a key of idempotencies
	KeyScope    string  `json:"keyScope"`    // a key of dedupScopes
	MemorySpan  float64 `json:"memorySpan"`
	OnTime      float64 `json:"onTime"`
	Deadline    float64 `json:"deadline"`
	Worth       float64 `json:"worth"`
	LateWorth   float64 `json:"lateWorth"` // share of the worth
	Streamed    bool    `json:"streamed"`
}

// penaltyObject is what things cost, in points.
type penaltyObject struct {
	CrossZone float64 `json:"crossZone"`
	Peer      float64 `json:"peer"`
	Probe     float64 `json:"probe"`
	Waste     float64 `json:"waste"`
}

// limitsObject is what a node may do.
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

type rulesObject struct {
	AnswerSlack  float64 `json:"answerSlack"`
	AskWithin    float64 `json:"askWithin"`
	DrainGrace   float64 `json:"drainGrace"`
	ColdFrom     float64 `json:"coldFrom"` // share of the capacity
	RampTime     float64 `json:"rampTime"`
	FallMultiple float64 `json:"fallMultiple"` // of the capacity
	OverloadFor  float64 `json:"overloadFor"`
}

// tariffObject is a plan of customers; what it counts are quota units.
type tariffObject struct {
	Name          string  `json:"name"`
	QuotaRate     float64 `json:"quotaRate"`
	PeakUnits     float64 `json:"peakUnits"`
	NeverOverRate float64 `json:"neverOverRate"`
	HardBurst     float64 `json:"hardBurst"`
	CapSlack      float64 `json:"capSlack"`
	MaxOut        int     `json:"maxOut"`
	WorthFactor   float64 `json:"worthFactor"`
	ExtraWorth    float64 `json:"extraWorth"` // share of the worth
	OverCost      float64 `json:"overCost"`   // share of the worth
}
