package balance

// Constants are dimensionless; every scale comes from the settings or from what
// is observed.
const (
	bucketCap     = 100.0 // retry tokens at the most: a quiet balancer funds 20 retries at once, not 100
	retryCost     = 5.0   // tokens for a retry ...
	timeoutCost   = 10.0  // ... and for one after a time-out, which may mean a deeper trouble
	successRefill = 1.0   // tokens that a served attempt brings back
	leastPart     = 0.05  // of what is this agent's, that one of its processes has

	backoffUnit    = 1.0 / 32 // of the class's aim: a one-second unit would outlast most aims
	backoffCeiling = 8.0      // the longest backoff, in units

	smooth       = 0.1   // weight of a new sample in a running mean, about the last 20 samples
	priorSamples = 2.0   // answers that the mean of all counts for in a backend's slowness at the start
	overdue      = 3.0   // mean latencies after which an answer may as well be lost
	slowBound    = 8.0   // one sample says at most that a backend is so many times slower than the mean
	strikeHeal   = 0.25  // strikes that a served attempt takes back: one error in five keeps them growing
	oddErrors    = 3.0   // a backend's share of errors that is so many times the usual one is its own fault
	evenErrors   = 0.01  // usual share of errors from which on a single one says nothing
	errorHeal    = 0.02  // of an error in a backend's excess that any answer takes back at least
	errorCap     = 4.0   // the most that an excess counts
	oddMost      = 0.25  // the most that a backend adds to what is usual for the others
	strikeCap    = 5.0   // longest ejection is 2^(cap-1) times the first
	fullRow      = 5.0   // times in a row that a full backend's rest doubles at the most
	coldTrickle  = 0.25  // of a core's work all agents send a cold backend where none is warm
	turnSaved    = 0.25  // of a request that a cold backend's budget has saved up before it gets one
	hintLeast    = 0.5   // of the mean latency that little told work is expected to take: it queues too
	hintMost     = 4.0   // and the most that much work is
	heavy        = 2.0   // a cold backend gets no request of more than so many times the mean work
	reportSpan   = 10.0  // mean latencies over which a report on a backend fades to the mean of all
	staleMost    = 0.1   // share of reports older than what they came with, above which none steers
	crowdLeast   = 0.1   // least crowd that a backend's chance counts with, in attempts
	newConnBias  = 0.005 // chance of an idle backend without an open connection: as of one six times slower
	crossWeight  = 150.0 // a backend in another zone counts as 1 over 1 + so many times the price of crossing

	aimedDelay   = 0.55     // mean latency over aim to keep to: less refuses uneven work, more crowds servers
	aimedBlind   = 0.25     // the same without fresh reports, for an agent that is not quiet
	aimedRise    = 2.0      // and above so many times its low: servers may slow down when crowded
	aimedLeast   = 0.2      // but under this share of the aim nothing is lost yet that a refusal would save
	limitCut     = 0.9      // one cut of the in-flight limit
	limitGrow    = 0.7      // and its growth, in attempts per backend for each round of answers
	startPerBack = 6.0      // in-flight limit at the start, for all agents together per backend
	floorPerBack = 5.0      // and the least it falls to: less would leave cores idle
	floorPerWide = 1.5      // or so many times what a backend works on at once, where reports tell
	backCap      = 3.0      // no backend holds more than so many mean shares of the limit
	holdMargin   = 2.0      // a held request leaves when fewer than so many mean latencies remain to its aim
	holdAtMost   = 0.75     // of the aim; a request may always be held for the rest of it
	saveAtMost   = 4.0      // a quiet agent saves up so many mean latencies of its part
	quietRatio   = 2.0      // agents per backend above which an agent is quiet
	quietFloor   = 2.0      // and its floor, lower since no rounding up leaves it more than its part
	askUnit      = 1.0 / 64 // of the longest time between two asks: the wait before the first one ...
	askFleet     = 4.0      // of up to so many agents
	paceSpan     = 10.0     // mean latencies that the mean delay spans
	adviceLeast  = 0.05     // of the aim, that a refused client is told to wait on the average
	repeatValue  = 0.1      // value of a client's repeat against a first try: most of its aim has passed
)
