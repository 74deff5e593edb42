package configuration

// Reasons why a setting needs a restart.
const (
	fixedIdentity  = "who and where the agent is; the other agents know it by that"
	fixedPlatform  = "what the platform says of itself; it changes with the platform, which restarts its agents"
	fixedSafety    = "whether a request may be repeated: attempts that are out were sent by it"
	fixedResources = "connections, buffers and threads are laid out by it at the start"
	fixedStop      = "the times of a planned stop are worked out from it at the start"
	fixedOperator  = "what the operator weighs; the tuning rests on it"
	fixedDiscovery = "how the list of backends is asked for, settled when discovery is connected"
)

// NotChangeable says of each field of balance.Settings that no document changes why it needs a restart. Fields of
// classes, tenants and the like go by their path, as in Classes.Effect.
var NotChangeable = map[string]string{
	"Balancers": fixedIdentity,
	"Self":      fixedIdentity,
	"Zone":      fixedIdentity,
	"Zones":     fixedIdentity,

	"Classes.Effect":  fixedSafety,
	"Classes.Group":   fixedSafety,
	"Classes.Window":  fixedSafety,
	"Classes.Stretch": fixedPlatform,
	"Classes.Stream":  fixedPlatform,

	"Kinds":    fixedPlatform,
	"ByWork":   fixedPlatform,
	"Marked":   fixedPlatform,
	"WarmKeys": fixedPlatform,
	"Weights":  fixedPlatform,
	"Reports":  fixedPlatform,
	"Fields":   fixedPlatform,
	"Tick":     fixedPlatform,

	"MayProbe":   fixedPlatform,
	"MayCancel":  fixedPlatform,
	"Peers":      fixedPlatform,
	"RetryAfter": fixedPlatform,

	"Subscribe": fixedDiscovery,
	"AskWithin": fixedDiscovery,

	"ConnectTimeout": fixedResources,
	"IdleClose":      fixedResources,
	"StreamsPerConn": fixedResources,
	"MaxOpen":        fixedResources,
	"CPUPerSecond":   fixedResources,
	"CPUPerRequest":  fixedResources,

	"DrainGrace":  fixedStop,
	"AnswerGrace": fixedStop,

	"GoalWhole":  fixedOperator,
	"GoalWindow": fixedOperator,
	"GoalClass":  fixedOperator,
	"GoalTenant": fixedOperator,
	"Prices":     fixedOperator,
}
