package balance

// Parameters of the policy. They are dimensionless: every scale comes from the settings or from observation.
const (
	maxRetryTokens   = 100.0 // size of the retry bucket: a full one funds 20 retries at once, not 100
	retryCost        = 5.0   // tokens for a retry
	timeoutRetryCost = 10.0  // tokens for a retry after a time-out, which may mean a more serious fault
	successRefill    = 1.0   // tokens that a served attempt returns to the bucket
	minProcessShare  = 0.05  // minimum share of the agent's limit and tokens that one of its processes gets

	backoffUnit     = 1.0 / 32 // bound on the first backoff over the aim: a second would outlast most aims
	maxBackoffUnits = 8.0      // maximum of the bound on a backoff, in units

	// Weight of a new sample in a running mean, which then covers about the last 20 samples.
	meanStep         = 0.1
	priorSamples     = 2.0 // samples that the initial slowness of a backend counts for
	overdueLatencies = 3.0 // mean latencies after which an answer counts as lost
	maxSlowSample    = 8.0 // bound on one sample of a backend's slowness, as a multiple of the mean latency
	// Strikes that a served attempt removes: with one error in five answers or more, strikes still grow.
	strikeRecovery = 0.25
	// Multiple of the usual error share beyond which a backend's errors count as its own fault.
	excessErrorRatio   = 3.0
	commonErrorShare   = 0.01 // usual error share from which on a single error proves nothing
	minErrorRecovery   = 0.02 // minimum that any answer takes off a backend's excess errors
	maxExcessErrors    = 4.0  // bound on a backend's excess errors
	maxUsualErrorShare = 0.25 // maximum that one backend adds to the error share that is usual for the others
	maxStrikes         = 5.0  // the longest ejection is 2^(maxStrikes-1) times the first
	maxRejectionStreak = 5.0  // maximum of doublings of the pause after rejections in a row by a full backend
	coldFleetLoad      = 0.25 // share of a core's work that all agents send a cold backend if none is warm
	minColdRequests    = 0.25 // part of a request that a cold backend's budget must hold before it gets one
	// Minimum of a request's expected latency over the mean: requests of little work wait in queues as well.
	minWorkFactor       = 0.5
	maxWorkFactor       = 4.0  // maximum of a request's expected latency over the mean
	maxColdCost         = 2.0  // maximum expected latency of a cold backend's request, over its class's mean
	reportFadeLatencies = 10.0 // mean latencies over which a load report fades to the mean of all backends
	maxStaleShare       = 0.1  // share of stale load reports from which on no report steers picks
	minOtherLoad        = 0.1  // attempts added to load reports, so that one of 0 gives a finite weight
	// Weight of an idle backend without an open connection, the same as for one that is six times slower.
	newConnWeight = 0.005
	// A backend in another zone has the weight 1/(1 + crossZoneWeight * price of crossing zones).
	crossZoneWeight = 150.0

	// Mean latency over aim that the limit on attempts in flight keeps to. A lower target refuses requests of
	// uneven work, a higher one overloads backends.
	maxTargetDelay   = 0.55
	blindTargetDelay = 0.25 // the target of an agent that is not quiet and has no fresh load reports
	targetDelayRise  = 2.0  // maximum of target over base delay: backends may slow down under load
	// Lower bound of the target: under this share of the aim, no answer is late yet that a refusal would
	// save.
	minTargetDelay      = 0.2
	limitCutFactor      = 0.9      // factor of one cut of the limit on attempts in flight
	limitGrowth         = 0.7      // growth of that limit, in attempts per backend for each round of answers
	initialPerBackend   = 6.0      // initial in-flight limit of all agents together, per backend
	minPerBackend       = 5.0      // minimum of that limit: a lower one would leave cores idle
	minPerParallelism   = 1.5      // the same over a backend's parallelism, if load reports tell it
	maxBackendShares    = 3.0      // bound on the attempts at one backend, in mean shares of the limit
	holdMarginLatencies = 2.0      // a held request is given up this many mean latencies before its aim
	maxHoldMarginAims   = 0.75     // bound on that margin, as a share of the aim
	maxSavedLatencies   = 4.0      // bound on a quiet agent's saved attempt time, in mean latencies
	quietRatio          = 2.0      // agents per backend above which an agent is quiet
	quietMinPerBackend  = 2.0      // minPerBackend of a quiet agent, lower since its limit isn't rounded up
	subscribeWaitUnit   = 1.0 / 64 // maximum wait before the first Subscribe, as a share of AskWithin
	subscribeUnitAgents = 4.0      // agents up to which this unit holds; it grows in proportion with more
	delayMeanLatencies  = 10.0     // mean latencies that the running mean of the delay covers
	minRetryAfterAims   = 0.05     // minimum of the mean wait advised to a refused client, over the aim
	repeatValue         = 0.1      // value of a client's repeat over a first try: most of its aim has passed
)
