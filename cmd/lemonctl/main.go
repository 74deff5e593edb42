// Command lemonctl is the operators' tool of lemonrail. It queries and controls running agents and control machines,
// plays recorded load, runs stand-in sites and test clusters to try agents against, and measures their cost.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli defines the commands; kong derives their names from the names of the fields.
type cli struct {
	Load struct {
		Inspect  inspectCmd  `cmd:"" help:"Summarise the contents of HAR files and access logs, and what play would send."`
		Play     playCmd     `cmd:"" help:"Play HAR files and access logs against agents on loopback addresses."`
		Generate generateCmd `cmd:"" help:"Write a generated log."`
		Rules    rulesCmd    `cmd:"" help:"Print the default rules that map entries to requests, as a starting point for --map."`
	} `cmd:"" help:"Recorded load."`
	Site struct {
		Up siteUpCmd `cmd:"" help:"Run a stand-in site and write its agents' configurations."`
	} `cmd:"" help:"Stand-in sites."`
	Limits   limitsCmd   `cmd:"" help:"Report from agents' notes why requests were refused or failed and why limits were cut."`
	FleetLog fleetLogCmd `cmd:"" help:"Aggregate the notes and logs of all agents of a fleet, by second and by backend."`
	Trial    struct {
		List trialListCmd `cmd:"" help:"List the stand-in days."`
		Run  trialRunCmd  `cmd:"" help:"Play stand-in days against agents and report the requests that were refused while nodes had free capacity."`
	} `cmd:"" help:"Stand-in days: measured behaviour of agents under faults."`
	Diameter struct {
		Decode diameterDecodeCmd `cmd:"" help:"Print the messages of a capture as trees."`
		Send   diameterSendCmd   `cmd:"" help:"Send requests from several clients and report the answers."`
		Serve  diameterServeCmd  `cmd:"" help:"Run a server that answers requests, with injected faults."`
	} `cmd:"" help:"Diameter messages, clients and servers."`
	Members struct {
		Show    membersShowCmd    `cmd:"" default:"withargs" help:"Show which agents each agent holds for alive, and where their views differ."`
		Compare membersCompareCmd `cmd:"" help:"Compare this membership protocol with others in simulated time, and print the errors of each."`
	} `cmd:"" help:"The agents' views of the fleet."`
	Cluster struct {
		Run    clusterRunCmd    `cmd:"" help:"Start many agents, inject faults by a timetable, and check that their views converge."`
		Lose   clusterLoseCmd   `cmd:"" help:"Lose a whole site under load, with and without a plan, and measure what clients are served."`
		Duties clusterDutiesCmd `cmd:"" help:"Measure the cost of duties in an idle fleet."`
		Shrink clusterShrinkCmd `cmd:"" help:"Kill most agents of a fleet, send all requests to the remaining ones, and measure what clients are served."`
	} `cmd:"" help:"Test clusters of many agents, with faults between them."`
	Sites struct {
		Show sitesShowCmd `cmd:"" help:"Show the state in which agents hold each site, and the share of its capacity that they plan with."`
		Plan sitesPlanCmd `cmd:"" help:"Compute where the load of a lost site goes and what is refused first, compared with two simple strategies."`
	} `cmd:"" help:"The loss of a whole site."`
	Duties struct {
		Show    dutiesShowCmd    `cmd:"" help:"Show which agent holds each duty, and the state of the voters."`
		HandOn  dutiesHandOnCmd  `cmd:"" name:"hand-on" help:"Name the agent that takes a duty over; the holder hands the duty over once that agent is ready."`
		Release dutiesReleaseCmd `cmd:"" help:"Make the holder of a duty release it."`
	} `cmd:"" help:"Duties that one agent holds at a time."`
	Config configCmd `cmd:"" help:"Settings that can be changed while the fleet runs."`
	Scale  struct {
		Processes     scaleProcessesCmd     `cmd:"" help:"Measure up to 60 real agents, with lists of several lengths."`
		Hollow        scaleHollowCmd        `cmd:"" help:"Measure the control clients of up to 2,500 agents in this process, over loopback sockets."`
		Configuration scaleConfigurationCmd `cmd:"" help:"Measure the configuration watches of up to 2,500 agents in this process, and four control processes."`
		Members       scaleMembersCmd       `cmd:"" help:"Measure the membership protocol alone in simulated time, with packet loss and partitioned regions."`
		Decisions     scaleDecisionsCmd     `cmd:"" help:"Measure the balancing decisions alone, with lists of several lengths."`
		Calls         scaleCallsCmd         `cmd:"" help:"Simulate call trees with failing leaves, and measure the load that retries add."`
		All           scaleAllCmd           `cmd:"" help:"Run processes, hollow, members, decisions and calls."`
	} `cmd:"" help:"Measure cost as a function of agents, backends and changes; prints slopes as text, JSON or an HTML page."`
	Overhead  overheadCmd  `cmd:"" help:"Compare the agent, a bare proxy and direct requests on this machine."`
	BareProxy bareProxyCmd `cmd:"" hidden:"" help:"Run the bare proxy that overhead compares the agent with."`
	Try       tryCmd       `cmd:"" help:"Start a stand-in site with agents, play a log against them, and report."`
}

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer // results
	err io.Writer // progress and errors
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr}))
}

// errRuleViolated is returned by a command that found a rule violated; the report has already been printed.
var errRuleViolated = errors.New("a rule was broken")

// run executes a command line and returns the exit code: 0 for success, 1 if the command failed, 2 if the command
// line is invalid.
func run(ctx context.Context, args []string, s streams) (code int) {
	var c cli
	exit := -1
	parser, err := kong.New(&c, kong.Name("lemonctl"), kong.Description("The operators' tool of lemonrail."), kong.UsageOnError(),
		kong.Writers(s.out, s.err), kong.Exit(func(n int) { exit = n; panic(parserExit{}) }))
	if err != nil {
		fmt.Fprintln(s.err, "lemonctl:", err)
		return 1
	}
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(parserExit); !ok {
				panic(p)
			}
			if code = exit; code != 0 {
				code = 2
			}
		}
	}()
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(s.err, "lemonctl:", err)
		return 2
	}
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(s); err != nil {
		fmt.Fprintln(s.err, "lemonctl:", err)
		return 1
	}
	return 0
}

// parserExit is the panic value that unwinds the stack when kong exits by itself, such as after --help.
type parserExit struct{}
