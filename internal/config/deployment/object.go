package deployment

// object is the JSON form of the settings object. It declares only the keys that are used; the simulator's protocol
// requires that other keys are ignored. Errors of encoding/json contain the names of the package, this type and its
// fields, so these names appear in operators' logs and in the recording of the simulator's adapter.
type object struct {
	Balancers int     `json:"balancers"`
	Rank      int     `json:"rank"`
	AZ        int     `json:"az"`
	TickMs    float64 `json:"tickMs"`
	Ceilings  struct {
		AttemptsCap     int     `json:"attemptsCap"`
		OpenCap         int     `json:"openCap"`
		Cancel          bool    `json:"cancel"`
		Probes          bool    `json:"probes"`
		RetryAfter      bool    `json:"retryAfter"`
		SecondCopies    bool    `json:"secondCopies"`
		MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`

		Multiplex        int     `json:"multiplex"`
		IdleCloseMs      float64 `json:"idleCloseMs"`
		ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
	} `json:"ceilings"`
	Zones   []string `json:"dcs"`
	Kinds   []string `json:"shapes"`
	Classes []struct {
		Name         string  `json:"name"`
		AimMs        float64 `json:"aimMs"`
		HardLimitMs  float64 `json:"hardLimitMs"`
		Worth        float64 `json:"worth"`
		LateWorth    float64 `json:"lateWorth"`
		Effect       string  `json:"effect"`
		DedupScope   string  `json:"dedupScope"`
		MemorySpanMs float64 `json:"memorySpanMs"`
		Stream       bool    `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Share     float64 `json:"share"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"tenants"`
	OverShareWorth float64 `json:"overShareWorth"`
	Callers        struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"callers"`
	Discovery  string `json:"discovery"`
	Weights    string `json:"weights"`
	FamilyInfo struct {
		AnswerWithinMs float64   `json:"answerWithinMs"`
		IdleLifeMs     float64   `json:"idleLifeMs"`
		LoadRatio      float64   `json:"loadRatio"`
		LoadWindowMs   float64   `json:"loadWindowMs"`
		LoadsAnyway    float64   `json:"loadsAnyway"`
		MayLoad        bool      `json:"mayLoad"`
		RAMMbByKind    []float64 `json:"ramMbByKind"`
		SaysCompany    bool      `json:"saysCompany"`
		SaysWarm       bool      `json:"saysWarm"`
		WhenAbsent     string    `json:"whenAbsent"`
		IdlePrice      float64   `json:"idlePrice"`
	} `json:"familyInfo"`
	Fees struct {
		CrossZone float64 `json:"crossZone"`
		LateFail  float64 `json:"lateFail"`
		Origin    float64 `json:"origin"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"fees"`
	Report struct {
		How string `json:"how"`
	} `json:"report"`
	Safety struct {
		AnswerSlackMs       float64 `json:"answerSlackMs"`
		AskWithinMs         float64 `json:"askWithinMs"`
		ColdMs              float64 `json:"coldMs"`
		ColdShare           float64 `json:"coldShare"`
		OverloadForMs       float64 `json:"overloadForMs"`
		StopSendingWithinMs float64 `json:"stopSendingWithinMs"`
		TipMultiple         float64 `json:"tipMultiple"`
	} `json:"safety"`
}
