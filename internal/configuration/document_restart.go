package configuration

// Reasons why changing a setting requires a restart.
const (
	restartIdentity  = "who and where the agent is; the other agents know it by that"
	restartPlatform  = "what the platform says of itself; it changes with the platform, which restarts its agents"
	restartSafety    = "whether a request may be repeated: attempts that are out were sent by it"
	restartResources = "connections, buffers and threads are laid out by it at the start"
	restartStop      = "the times of a planned stop are worked out from it at the start"
	restartOperator  = "what the operator weighs; the tuning rests on it"
	restartDiscovery = "how the list of backends is asked for, settled when discovery is connected"
)

// RestartReasons maps each field of balance.Settings that no document can change to the reason why it
// requires a restart. Fields of classes and tenants are named by path, such as Classes.Effect.
var RestartReasons = map[string]string{
	"Balancers": restartIdentity,
	"Self":      restartIdentity,
	"Zone":      restartIdentity,
	"Zones":     restartIdentity,

	"Classes.Effect":  restartSafety,
	"Classes.Group":   restartSafety,
	"Classes.Window":  restartSafety,
	"Classes.Stretch": restartPlatform,
	"Classes.Stream":  restartPlatform,

	"Kinds":    restartPlatform,
	"ByWork":   restartPlatform,
	"Marked":   restartPlatform,
	"WarmKeys": restartPlatform,
	"Weights":  restartPlatform,
	"Reports":  restartPlatform,
	"Fields":   restartPlatform,
	"Tick":     restartPlatform,

	"MayProbe":   restartPlatform,
	"MayCancel":  restartPlatform,
	"Peers":      restartPlatform,
	"RetryAfter": restartPlatform,

	"Subscribe": restartDiscovery,
	"AskWithin": restartDiscovery,

	"ConnectTimeout": restartResources,
	"IdleClose":      restartResources,
	"StreamsPerConn": restartResources,
	"MaxOpen":        restartResources,
	"CPUPerSecond":   restartResources,
	"CPUPerRequest":  restartResources,

	"DrainGrace":  restartStop,
	"AnswerGrace": restartStop,

	"GoalWhole":  restartOperator,
	"GoalWindow": restartOperator,
	"GoalClass":  restartOperator,
	"GoalTenant": restartOperator,
	"Prices":     restartOperator,
}
